"""What parts of the emulated world need of the world."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

from pewterring.lab import schema
from pewterring.lab.account import Account
from pewterring.lab.engine import Engine
from pewterring.lab.host import Host
from pewterring.lab.rules import Rules
from pewterring.lab.workers import Worker
from pewterring.standalone.policy import interface as i


class Surroundings(Protocol):
    """The world as its parts see it."""

    scenario: schema.Scenario
    seed: int
    engine: Engine
    account: Account
    rules: Rules
    hosts: list[Host]
    workers: list[Worker]
    cut: Counter[str]  # zones that nothing enters or leaves

    def turn(self, host: Host, life: int, what: Callable[..., None], *given: Any) -> None:
        """Has something done at a gatekeeper, if it still lives and as soon as it does not stand still."""

    def tell(self, host: Host, event: i.Event) -> None:
        """Hands an event to a gatekeeper."""

    def reaches(self, a: str, b: str) -> bool:
        """Whether anything gets from one zone to another."""
        ...
