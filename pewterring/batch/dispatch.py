"""The choice of a worker for an item: within the room that admission leaves, the least expected time."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.scheduler import QueuedItem
from pewterring.batch.state import RouteKey
from pewterring.configuration.model import Route, RouteType
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import PER_TOKEN_S, WorkerChooser
from pewterring.routing.load_report import Load
from pewterring.routing.prompt import PREFIX_HEADER, USAGE_HEADER, Prompt, read_prompt
from pewterring.routing.worker_state import WorkerState
from pewterring.standalone.policy.interface import RequestClass

WORKER_FILL = 0.9  # of a worker's slots that may be taken, by all that is known, when an item is placed there
SEEMS_FULL = 0.75  # of a worker's slots taken: it may well refuse an item for want of room
READING_S = 0.03  # what a worker may have to read of items: live requests that come wait behind it
SPREAD = 0.2  # of a worker's slots that it may have taken beyond the least taken one
PROBE_S = 2.0  # where no worker is thought well, one that failed so long ago is tried with an item
LEAST_EXPECTED_S = 1e-4  # keeps ratios finite


class ExchangeOutcome(Enum):
    """What an exchange with a worker tells of the worker."""

    ANSWERED = auto()
    REFUSED = auto()
    CUT = auto()
    STALE = auto()  # says nothing of the worker: it closes or forgets connections that rest
    CANCELLED = auto()


BAD_OUTCOMES = (ExchangeOutcome.REFUSED, ExchangeOutcome.CUT)


class Dispatcher(Protocol):
    """Chooses workers for items and is told how their exchanges ended."""

    def place(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """A worker for the item, whose place is taken from now on; not the one with id `avoid`, if another
        will do. None where there is no place now."""

    def first_event(self, item: QueuedItem) -> None:
        """The first event of the item's exchange came."""

    def finished(self, item: QueuedItem, outcome: ExchangeOutcome) -> None:
        """The exchange at the worker that `place` gave has ended."""


def batch_route(tables: Tables, key: RouteKey) -> Route | None:
    """The configuration's route for jobs of that host and prefix."""
    if tables.configuration is None:
        return None
    for route in tables.configuration.routes:
        if (route.host, route.path_prefix) == key and route.route_type is RouteType.BATCH_JOB:
            return route
    return None


def item_prompt(item: QueuedItem) -> Prompt:
    """What the item's headers say of its prompt."""
    headers = {name.lower(): value for name, value in item.spec.headers.items()}
    return read_prompt(headers.get(PREFIX_HEADER), headers.get(USAGE_HEADER))


@dataclass(slots=True)
class _Placement:
    """An item at a worker."""

    service: str
    worker: WorkerState
    prompt: Prompt
    tokens: int  # that the worker must read before the first event
    placed_at: float
    probe: bool  # the worker is tried although it is thought to fail
    clean: bool  # nothing was there that it would have to wait for
    reading: bool = True  # until the first event


class AdmissionDispatcher:
    """Places items in the room that admission leaves them, at the worker with the least expected time to the
    first event.

    Services of a route get items by their weights. A worker whose slots are nearly taken gets none, and none
    while it has much to read of items placed before: a live request that comes would wait behind them.
    """

    def __init__(
        self,
        tables: Callable[[], Tables],
        chooser: WorkerChooser,
        admissions: BatchAdmissions,
        clock: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._chooser = chooser
        self._admissions = admissions
        self._clock = clock
        self._placements: dict[QueuedItem, _Placement] = {}

    def place(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """See `Dispatcher`."""
        route = batch_route(self._tables(), item.route)
        if route is None:
            return None
        now = self._clock()
        prompt = item_prompt(item)
        for service in self._services_in_turn(route):
            if self._admissions.of(service).room(now) <= 0:
                continue
            worker = self._choose(now, service, prompt, avoid)
            if worker is not None:
                self._take(item, self._placement(now, service, worker, prompt))
                return worker.record
        return None

    def first_event(self, item: QueuedItem) -> None:
        """See `Dispatcher`: learns the service's times, the worker's speed and the ceiling."""
        placement = self._placements.get(item)
        if placement is None or not placement.reading:
            return
        self._end_reading(placement)
        now = self._clock()
        seconds = now - placement.placed_at
        times = self._chooser.times_of(placement.service)
        expected = times.expected(placement.tokens)
        if placement.clean:
            # Symptom answered: the time to read a token was learnt as four times what it is while items
            # waited for slots, and a shared part that a worker keeps then outweighed any load.
            times.learn(placement.tokens, seconds)
        ratio = seconds / max(LEAST_EXPECTED_S, expected)
        placement.worker.note_ratio(ratio)
        placement.worker.keep(placement.prompt)
        kind = RequestClass("/".join(item.route), aim=math.inf, deadline=math.inf)
        self._admissions.of(placement.service).observe(now, kind, ratio)

    def load_reported(self, worker: WorkerRecord, load: Load) -> None:
        """An answer told of a worker's load."""
        state = self._chooser.workers.get(worker.id)
        if state is not None:
            state.take_report(self._clock(), load.running, load.waiting)

    def finished(self, item: QueuedItem, outcome: ExchangeOutcome) -> None:
        """See `Dispatcher`."""
        placement = self._placements.pop(item, None)
        if placement is None:
            return
        if placement.reading:
            self._end_reading(placement)
        worker = placement.worker
        worker.out -= 1
        self._admissions.of(placement.service).out -= 1
        now = self._clock()
        if outcome is ExchangeOutcome.ANSWERED:
            worker.answered()
        elif outcome is ExchangeOutcome.REFUSED and worker.load(now) >= SEEMS_FULL:
            worker.take_report(now, worker.record.capacity, 0)
        elif outcome in BAD_OUTCOMES and (placement.probe or not worker.suspect(now)):
            # Answers workers that crash or leave: all their items end at once, which is one failure.
            worker.failed(now)

    @staticmethod
    def _placement(now: float, service: str, worker: WorkerState, prompt: Prompt) -> _Placement:
        clean = not worker.pending_tokens and worker.load(now) < SEEMS_FULL
        tokens = worker.uncached(prompt)
        return _Placement(service, worker, prompt, tokens, now, worker.suspect(now), clean)

    def _take(self, item: QueuedItem, placement: _Placement) -> None:
        self._placements[item] = placement
        placement.worker.out += 1
        placement.worker.pending_tokens += placement.tokens
        self._admissions.of(placement.service).out += 1

    @staticmethod
    def _end_reading(placement: _Placement) -> None:
        placement.reading = False
        placement.worker.pending_tokens -= placement.tokens

    def _services_in_turn(self, route: Route) -> list[str]:
        weighted = [part for part in route.services if part.weight > 0]
        weighted.sort(key=lambda part: self._admissions.of(part.service).out / part.weight)
        return [part.service for part in weighted]

    def _choose(self, now: float, service: str, prompt: Prompt, avoid: str) -> WorkerState | None:
        """The best worker with room: another than `avoid` where there is one."""
        per_token_s = max(PER_TOKEN_S, self._chooser.times_of(service).per_token_s)
        workers = self._chooser.ready(now, service)
        busy = {worker.record.id for worker in workers if not _has_room(now, worker, per_token_s)}
        if len(busy) == len(workers):
            return _probe(now, workers)
        busy |= _crowded(now, [worker for worker in workers if worker.record.id not in busy])
        alone = all(worker.record.id in busy or worker.record.id == avoid for worker in workers)
        return self._chooser.choose(now, service, prompt, busy if alone else busy | {avoid})


def _probe(now: float, workers: Sequence[WorkerState]) -> WorkerState | None:
    """The worker to try where none is thought well: the one that failed longest ago, if that is a while.

    Symptom answered: after a cut between a store and all workers, items waited for up to eight seconds though
    the workers were free. An item can wait for a try that fails; a live request could not.
    """
    if not all(worker.suspect(now) for worker in workers):
        return None
    due = [worker for worker in workers if worker.out == 0 and now - worker.failed_at >= PROBE_S]
    return min(due, key=lambda worker: worker.failed_at, default=None)


def _crowded(now: float, workers: Sequence[WorkerState]) -> set[str]:
    """The workers that have much more of their slots taken than the least taken one.

    Symptom answered: items of one shared part filled the workers that keep it while others were half empty,
    and live requests that came to the full ones waited for a slot.
    """
    most = min(worker.load(now) for worker in workers) + SPREAD
    return {worker.record.id for worker in workers if worker.load(now) > most}


def _has_room(now: float, worker: WorkerState, per_token_s: float) -> bool:
    if worker.suspect(now) or worker.pending_tokens * per_token_s > READING_S:
        return False
    return worker.load(now) < WORKER_FILL or worker.out == 0 == worker.others(now)
