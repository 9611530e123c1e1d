"""A gatekeeper's machine in the emulator: its process, what it holds and what it was told."""

from collections.abc import Callable
from typing import Any

from pewterring.lab.calls import Attempt, Call
from pewterring.lab.engine import START
from pewterring.lab.policies import Policy
from pewterring.lab.streams import Stream
from pewterring.standalone.policy import interface as i


class Host:
    """One gatekeeper's machine."""

    def __init__(self, number: int, zone: str, seed: int) -> None:
        self.number, self.zone, self.stream = number, zone, Stream(seed, "gatekeeper", number)
        self.policy: Policy | None = None
        self.life, self.up, self.leaving = 0, False, False
        self.frozen = 0  # faults under which it stands still
        self.backlog: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.calls: dict[int, Call] = {}  # not answered yet
        self.out: dict[tuple[int, int], Attempt] = {}
        self.entries: dict[int, i.Server] = {}  # the list, as it was told last
        self.seen, self.list_due, self.subscribed = 0, 0.0, False
        self.told_end: dict[int, float] = {}  # by worker: when it was told that nothing new goes there
        self.told_start: dict[int, float] = {}  # by worker: the last start that it was told of
        self.tokens, self.token_at = 0.0, START
