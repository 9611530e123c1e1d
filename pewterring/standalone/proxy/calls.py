"""What the gateway holds of each client's request: plain state."""

import asyncio
from dataclasses import dataclass, field

from pewterring.standalone.http.messages import Request, Response
from pewterring.standalone.network.clients import Client
from pewterring.standalone.network.ending import Ending
from pewterring.standalone.network.workers import Exchange
from pewterring.standalone.policy import interface as i


@dataclass(slots=True, eq=False)
class Call:
    request: i.Request
    http: Request
    client: Client
    cls: i.RequestClass  # as the settings were when it came
    attempts: list["Attempt"] = field(default_factory=list)
    out: int = 0  # attempts whose end the module has not been told
    finished: bool = False  # its final answer is given, or nobody waits for one
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    number: int
    server: int
    sent_at: float
    exchange: Exchange | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False
    unrun: bool = False  # its ending proves that it never ran


# What waits for the next turn, beside the events that the module gets as they are.


@dataclass(slots=True)
class Arrived:
    call: Call


@dataclass(slots=True)
class Ended:
    attempt: Attempt
    ending: Ending
    response: Response | None


@dataclass(slots=True)
class Gone:
    call: Call


@dataclass(slots=True)
class Overdue:
    call: Call


@dataclass(slots=True)
class Unanswered:
    call: Call


Item = (
    Arrived | Ended | Gone | Overdue | Unanswered | i.ServerList | i.TimerDue | i.PeerMessage | i.ProbeResult
)
