"""State that the gateway keeps for each client request and each of its attempts, without logic."""

import asyncio
from dataclasses import dataclass, field

from pewterring.standalone.http.messages import Request, Response
from pewterring.standalone.network.clients import Client
from pewterring.standalone.network.ending import Ending
from pewterring.standalone.network.workers import Exchange
from pewterring.standalone.policy import interface


@dataclass(slots=True, eq=False)
class Call:
    """A client request from its arrival until its final answer has been sent and all attempts have ended."""

    request: interface.Request
    http: Request
    client: Client
    cls: interface.RequestClass  # from the settings in force when the request arrived
    attempts: list["Attempt"] = field(default_factory=list)
    in_flight: int = 0  # attempts whose outcome has not been passed to the policy
    finished: bool = False  # the final answer has been sent, or the client has disconnected
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a call to one server."""

    call: Call
    number: int
    server: int
    sent_at: float
    exchange: Exchange | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False
    never_ran: bool = False  # the ending proves that the server did not execute the request


# Items queued for the next turn, in addition to the policy events that are queued unchanged.


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request."""

    call: Call


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, with or without a response."""

    attempt: Attempt
    ending: Ending
    response: Response | None


@dataclass(slots=True)
class ClientDisconnected:
    """The client closed its connection before the answer."""

    call: Call


@dataclass(slots=True)
class DeadlineReached:
    """The deadline of the call has passed; attempts still in flight time out."""

    call: Call


@dataclass(slots=True)
class DeadlineUnanswered:
    """Two loop iterations after the deadline: the call fails here if the policy has not answered it."""

    call: Call


Item = (
    RequestArrived
    | AttemptEnded
    | ClientDisconnected
    | DeadlineReached
    | DeadlineUnanswered
    | interface.ServerList
    | interface.TimerDue
    | interface.PeerMessage
    | interface.ProbeResult
)
