"""The choice of a worker for an item: within the capacity that admission leaves, the least expected time.

Owns which item is at which worker, and feeds what exchanges show of workers back to routing and admission.
What may go wrong: live requests wait behind items (a limit below is too high), or items wait though workers
are free (all of them are suspect).
"""

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
from pewterring.routing.chooser import DEFAULT_PER_TOKEN_S, WorkerChooser
from pewterring.routing.load_report import Load
from pewterring.routing.prompt import PREFIX_HEADER, USAGE_HEADER, Prompt, read_prompt
from pewterring.routing.worker_state import WorkerState
from pewterring.standalone.policy.interface import RequestClass

MAX_WORKER_LOAD = 0.9  # of a worker's slots that may be taken, as far as known, when an item is assigned
NEARLY_FULL_LOAD = 0.75  # of a worker's slots taken: it may well refuse an item for want of a slot
# Of items, pending at one worker: live requests that come wait behind it.
MAX_PREFILL_S = 0.03
MAX_LOAD_SPREAD = 0.2  # of its slots that a worker may have taken beyond the least loaded one
PROBE_AFTER_S = 2.0  # where all workers are suspect, one that failed so long ago is probed with an item
MIN_EXPECTED_S = 1e-4  # keeps ratios finite


class ExchangeOutcome(Enum):
    """What an exchange with a worker shows of the worker."""

    ANSWERED = auto()  # a complete answer, whatever it says of the item
    REFUSED = auto()  # not run, or not reached
    TRUNCATED = auto()  # the answer ended early
    STALE = auto()  # says nothing of the worker: it closes or forgets idle connections
    CANCELLED = auto()  # by this store


FAULT_OUTCOMES = (ExchangeOutcome.REFUSED, ExchangeOutcome.TRUNCATED)


class Dispatcher(Protocol):
    """Chooses workers for items and is notified how their exchanges ended."""

    def assign(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """Assigns the item to a worker, which counts it from now on; None where none has capacity now.

        Args:
            item: The item that is to run.
            avoid: Id of a worker that is chosen only where no other will do.
        """

    def first_event(self, item: QueuedItem) -> None:
        """The first event of the item's exchange came: prefill is over."""

    def finished(self, item: QueuedItem, outcome: ExchangeOutcome) -> None:
        """The exchange at the worker that `assign` returned has ended."""


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
class _Assignment:
    """One item at one worker, from its choice to the end of the exchange."""

    service: str
    worker: WorkerState
    prompt: Prompt
    tokens: int  # of prefill that the worker must do before the first event
    assigned_at: float
    is_probe: bool  # the worker was suspect when it was chosen
    is_unqueued: bool  # nothing was there that it would have to wait for
    in_prefill: bool = True  # until the first event


class AdmissionDispatcher:
    """Assigns items within the capacity that admission leaves, by the least expected time to first event.

    Services of a route get items by their weights. A worker whose slots are nearly taken gets none, and none
    while much prefill of earlier items is pending: a live request that comes would wait behind them.
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
        self._assignments: dict[QueuedItem, _Assignment] = {}

    def assign(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """See `Dispatcher`."""
        route = batch_route(self._tables(), item.route)
        if route is None:
            return None
        now = self._clock()
        prompt = item_prompt(item)
        for service in self._services_by_weight(route):
            if self._admissions.of(service).free_slots(now) <= 0:
                continue
            worker = self._choose(now, service, prompt, avoid)
            if worker is not None:
                self._begin(item, self._assignment(now, service, worker, prompt))
                return worker.record
        return None

    def first_event(self, item: QueuedItem) -> None:
        """See `Dispatcher`: learns the service's times, the worker's speed and the concurrency limit."""
        assignment = self._assignments.get(item)
        if assignment is None or not assignment.in_prefill:
            return
        self._end_prefill(assignment)
        now = self._clock()
        seconds = now - assignment.assigned_at
        times = self._chooser.times_of(assignment.service)
        expected = times.expected(assignment.tokens)
        if assignment.is_unqueued:
            # Symptom answered: the time to read a token was learnt as four times what it is while items
            # waited for slots, and a cached prefix then outweighed any load.
            times.learn(assignment.tokens, seconds)
        ratio = seconds / max(MIN_EXPECTED_S, expected)
        assignment.worker.record_ratio(ratio)
        assignment.worker.record_cached(assignment.prompt)
        kind = RequestClass("/".join(item.route), aim=math.inf, deadline=math.inf)
        self._admissions.of(assignment.service).observe(now, kind, ratio)

    def load_reported(self, worker: WorkerRecord, load: Load) -> None:
        """An answer's head reported a worker's load."""
        state = self._chooser.workers.get(worker.id)
        if state is not None:
            state.record_load(self._clock(), load.running, load.waiting)

    def finished(self, item: QueuedItem, outcome: ExchangeOutcome) -> None:
        """See `Dispatcher`."""
        assignment = self._assignments.pop(item, None)
        if assignment is None:
            return
        if assignment.in_prefill:
            self._end_prefill(assignment)
        worker = assignment.worker
        worker.in_flight -= 1
        self._admissions.of(assignment.service).in_flight -= 1
        now = self._clock()
        if outcome is ExchangeOutcome.ANSWERED:
            worker.record_success()
        elif outcome is ExchangeOutcome.REFUSED and worker.load(now) >= NEARLY_FULL_LOAD:
            worker.record_load(now, worker.record.capacity, 0)
        elif outcome in FAULT_OUTCOMES and (assignment.is_probe or not worker.is_suspect(now)):
            # For workers that crash or leave: all their items end at once, which counts as one failure.
            worker.record_failure(now)

    @staticmethod
    def _assignment(now: float, service: str, worker: WorkerState, prompt: Prompt) -> _Assignment:
        is_unqueued = not worker.pending_tokens and worker.load(now) < NEARLY_FULL_LOAD
        tokens = worker.uncached_tokens(prompt)
        return _Assignment(service, worker, prompt, tokens, now, worker.is_suspect(now), is_unqueued)

    def _begin(self, item: QueuedItem, assignment: _Assignment) -> None:
        self._assignments[item] = assignment
        assignment.worker.in_flight += 1
        assignment.worker.pending_tokens += assignment.tokens
        self._admissions.of(assignment.service).in_flight += 1

    @staticmethod
    def _end_prefill(assignment: _Assignment) -> None:
        assignment.in_prefill = False
        assignment.worker.pending_tokens -= assignment.tokens

    def _services_by_weight(self, route: Route) -> list[str]:
        """The route's services, the one furthest below its weight first."""
        weighted = [entry for entry in route.services if entry.weight > 0]
        weighted.sort(key=lambda entry: self._admissions.of(entry.service).in_flight / entry.weight)
        return [entry.service for entry in weighted]

    def _choose(self, now: float, service: str, prompt: Prompt, avoid: str) -> WorkerState | None:
        """The best worker with capacity: another than `avoid` where there is one."""
        per_token_s = max(DEFAULT_PER_TOKEN_S, self._chooser.times_of(service).per_token_s)
        workers = self._chooser.ready(now, service)
        busy = {worker.record.id for worker in workers if not _has_capacity(now, worker, per_token_s)}
        if len(busy) == len(workers):
            return _worker_to_probe(now, workers)
        busy |= _above_spread(now, [worker for worker in workers if worker.record.id not in busy])
        alone = all(worker.record.id in busy or worker.record.id == avoid for worker in workers)
        return self._chooser.choose(now, service, prompt, busy if alone else busy | {avoid})


def _worker_to_probe(now: float, workers: Sequence[WorkerState]) -> WorkerState | None:
    """The worker to probe where all are suspect: the one that failed longest ago, if long enough.

    Symptom answered: after a store was cut off from all workers, items waited for up to eight seconds though
    the workers were free. An item can wait for an attempt that fails; a live request could not.
    """
    if not all(worker.is_suspect(now) for worker in workers):
        return None
    due = [worker for worker in workers if worker.in_flight == 0 and now - worker.failed_at >= PROBE_AFTER_S]
    return min(due, key=lambda worker: worker.failed_at, default=None)


def _above_spread(now: float, workers: Sequence[WorkerState]) -> set[str]:
    """Ids of workers whose slots are taken much more than those of the least loaded one.

    Symptom answered: items of one shared prefix filled the workers that cache it while others were half
    empty, and live requests that came to the full ones waited for a slot.
    """
    limit = min(worker.load(now) for worker in workers) + MAX_LOAD_SPREAD
    return {worker.record.id for worker in workers if worker.load(now) > limit}


def _has_capacity(now: float, worker: WorkerState, per_token_s: float) -> bool:
    if worker.is_suspect(now) or worker.pending_tokens * per_token_s > MAX_PREFILL_S:
        return False
    return worker.load(now) < MAX_WORKER_LOAD or worker.in_flight == 0 == worker.others_in_flight(now)
