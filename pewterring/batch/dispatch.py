"""Chooses a worker for each batch item: the least expected time to the first event, within admission limits.

Tracks which item runs at which worker, and reports to routing and admission what each exchange shows about
its worker. What may go wrong: live requests wait behind items (a limit below is too high), or items wait
although workers are free (all of them are suspect).
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from loguru import logger

from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.items import QueuedItem
from pewterring.batch.state import RouteKey
from pewterring.configuration.model import Route, RouteType
from pewterring.distribution.messages import WorkerRecord
from pewterring.distribution.tables import Tables
from pewterring.routing.chooser import DEFAULT_PER_TOKEN_S, WorkerChooser
from pewterring.routing.load_report import Load
from pewterring.routing.prompt import PREFIX_HEADER, USAGE_HEADER, Prompt, read_prompt
from pewterring.routing.worker_state import WorkerState
from pewterring.standalone.policy.interface import RequestClass

MAX_WORKER_LOAD = 0.9  # a worker with this share of its slots in use, as far as known, gets no further item
NEARLY_FULL_LOAD = 0.75  # share of a worker's slots in use at which it may refuse an item for lack of a slot
# Items get no worker with more prefill of earlier items pending: live requests that arrive wait behind it.
MAX_PREFILL_S = 0.03
MAX_LOAD_SPREAD = 0.2  # share of slots by which a worker's load may exceed that of the least loaded worker
PROBE_AFTER_S = 2.0  # while all workers are suspect, an item probes a worker this long after its last failure
MIN_EXPECTED_S = 1e-4  # lower bound of the expected time: keeps the ratio to the elapsed time finite


class ExchangeOutcome(Enum):
    """How an exchange with a worker ended, as far as it shows whether the worker is healthy."""

    ANSWERED = auto()  # the answer was complete, even if it reported that the item failed
    DECLINED = auto()  # the worker answered that it did not run the item
    UNREACHABLE = auto()  # the worker could not be reached, or another worker has its address
    STALLED = auto()  # the worker sent nothing for too long
    BROKEN = auto()  # the worker ended the exchange without a usable answer
    STALE = auto()  # the worker had closed an idle connection, which does not show whether it is healthy
    CANCELLED = auto()  # this store cancelled the exchange, or had no connection for it


UNRESPONSIVE_OUTCOMES = (ExchangeOutcome.UNREACHABLE, ExchangeOutcome.STALLED)


class Dispatcher(Protocol):
    """Chooses workers for items and is notified how the exchanges with them end."""

    def assign(self, item: QueuedItem, avoid: str) -> WorkerRecord | None:
        """Assigns the item to a worker and counts it there from now on. None if no worker has free capacity.

        Args:
            item: The item to run.
            avoid: Id of a worker that is chosen only if no other worker can take the item.
        """

    def first_event(self, item: QueuedItem) -> None:
        """Notes that the first event of the item's exchange has arrived: its prefill is over."""

    def finished(self, item: QueuedItem, outcome: ExchangeOutcome) -> bool:
        """Notes that the exchange with the worker that `assign` returned has ended.

        Returns:
            Whether the worker had no capacity, as far as known, which explains that it declined the item.
        """


def batch_route(tables: Tables, key: RouteKey) -> Route | None:
    """The configured route for batch jobs with this host and path prefix, or None."""
    route = tables.configuration.route(key) if tables.configuration is not None else None
    return route if route is not None and route.route_type is RouteType.BATCH_JOB else None


def item_prompt(item: QueuedItem) -> Prompt:
    """The item's prompt, as its headers describe it: prefixes and numbers of tokens."""
    headers = {name.lower(): value for name, value in item.spec.headers.items()}
    return read_prompt(headers.get(PREFIX_HEADER), headers.get(USAGE_HEADER))


@dataclass(slots=True)
class _Assignment:
    """One item at one worker, from the choice of the worker to the end of the exchange."""

    service: str
    worker: WorkerState
    prompt: Prompt
    prefill_tokens: int  # prompt tokens that the worker must process before the first event
    assigned_at: float  # monotonic time
    is_probe: bool  # the worker was suspect when it was chosen
    is_unqueued: bool  # the worker had a free slot and no prefill pending that the item would wait for
    item_failed_before: bool  # the item's previous attempt failed too, perhaps because of the item itself
    in_prefill: bool = True  # no event has arrived yet
    reported_load: int | None = None  # requests at the worker by the head of its answer


class AdmissionDispatcher:
    """Assigns items within the capacity that admission leaves, by the least expected time to the first event.

    The services of a route get items in proportion to their weights. A worker gets no item while nearly all
    of its slots are in use, or while much prefill of earlier items is pending there: a live request that
    arrives would wait behind them.
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
                self._begin(item, self._new_assignment(now, service, worker, prompt, item))
                return worker.record
        return None

    def first_event(self, item: QueuedItem) -> None:
        """See `Dispatcher`. Updates expected times, the worker's speed and the concurrency limit."""
        assignment = self._assignments.get(item)
        if assignment is None or not assignment.in_prefill:
            return
        self._end_prefill(assignment)
        now = self._clock()
        elapsed_s = now - assignment.assigned_at
        times = self._chooser.times_of(assignment.service)
        expected_s = times.expected(assignment.prefill_tokens)
        if assignment.is_unqueued:
            # Times of items that waited for a slot are not learnt: they made the time per prompt token four
            # times too long, and a cached prefix then outweighed any load.
            times.learn(assignment.prefill_tokens, elapsed_s)
        ratio = elapsed_s / max(MIN_EXPECTED_S, expected_s)
        assignment.worker.record_ratio(ratio)
        assignment.worker.record_cached(assignment.prompt)
        request_class = RequestClass("/".join(item.route), latency_target=math.inf, deadline=math.inf)
        self._admissions.of(assignment.service).observe(now, request_class, ratio)

    def load_reported(self, item: QueuedItem, load: Load) -> None:
        """Notes the load that an item's worker reported in the head of its answer."""
        assignment = self._assignments.get(item)
        if assignment is not None:
            assignment.reported_load = load.running + load.waiting
            assignment.worker.record_load(self._clock(), load.running, load.waiting)

    def finished(self, item: QueuedItem, outcome: ExchangeOutcome) -> bool:
        """See `Dispatcher`."""
        assignment = self._assignments.pop(item, None)
        if assignment is None:
            return False
        if assignment.in_prefill:
            self._end_prefill(assignment)
        worker = assignment.worker
        worker.in_flight -= 1
        self._admissions.of(assignment.service).in_flight -= 1
        now = self._clock()
        if outcome is ExchangeOutcome.ANSWERED:
            worker.record_success()
        elif outcome is ExchangeOutcome.DECLINED:
            return self._record_declined(now, assignment)
        elif outcome is ExchangeOutcome.BROKEN:
            worker.record_rejection(now)
        elif outcome in UNRESPONSIVE_OUTCOMES and _shows_worker_fault(now, assignment, outcome):
            worker.record_failure(now)
            _log_suspected(now, item, assignment, outcome)
        return False

    def _record_declined(self, now: float, assignment: _Assignment) -> bool:
        """Notes that a worker declined an item. Returns whether it had no capacity, as far as known.

        A worker also declines an item that is larger than its memory, as though it were full. So the refusal
        shows that the worker responds, and never makes it suspect: other items may run there.
        """
        worker = assignment.worker
        worker.record_response()
        occupied = assignment.reported_load
        if occupied is None:
            occupied = self._producing_at(worker)
        was_full = occupied >= NEARLY_FULL_LOAD * worker.record.capacity
        if was_full:
            worker.record_load(now, worker.record.capacity, 0)
        else:
            worker.record_rejection(now)
        return was_full

    def _producing_at(self, worker: WorkerState) -> int:
        """The number of this store's items that certainly occupy a slot of the worker."""
        return sum(
            assignment.worker is worker and not assignment.in_prefill
            for assignment in self._assignments.values()
        )

    @staticmethod
    def _new_assignment(
        now: float, service: str, worker: WorkerState, prompt: Prompt, item: QueuedItem
    ) -> _Assignment:
        return _Assignment(
            service=service,
            worker=worker,
            prompt=prompt,
            prefill_tokens=worker.uncached_tokens(prompt),
            assigned_at=now,
            is_probe=worker.is_suspect(now),
            is_unqueued=not worker.pending_tokens and worker.load(now) < NEARLY_FULL_LOAD,
            item_failed_before=item.fruitless_attempts > 0,
        )

    def _begin(self, item: QueuedItem, assignment: _Assignment) -> None:
        self._assignments[item] = assignment
        assignment.worker.in_flight += 1
        assignment.worker.pending_tokens += assignment.prefill_tokens
        self._admissions.of(assignment.service).in_flight += 1

    @staticmethod
    def _end_prefill(assignment: _Assignment) -> None:
        assignment.in_prefill = False
        assignment.worker.pending_tokens -= assignment.prefill_tokens

    def _services_by_weight(self, route: Route) -> list[str]:
        """The route's services, the one with the fewest items in flight for its weight first."""
        weighted = [entry for entry in route.services if entry.weight > 0]
        weighted.sort(key=lambda entry: self._admissions.of(entry.service).in_flight / entry.weight)
        return [entry.service for entry in weighted]

    def _choose(self, now: float, service: str, prompt: Prompt, avoid: str) -> WorkerState | None:
        """The best worker with free capacity; `avoid` only if no other worker has any."""
        per_token_s = max(DEFAULT_PER_TOKEN_S, self._chooser.times_of(service).per_token_s)
        workers = self._chooser.ready(now, service)
        excluded = {worker.record.id for worker in workers if not _has_capacity(now, worker, per_token_s)}
        if len(excluded) == len(workers):
            return _worker_to_probe(now, workers)
        excluded |= _ids_above_spread(now, [worker for worker in workers if worker.record.id not in excluded])
        excluded = _with_avoided(now, workers, excluded, avoid)
        return self._chooser.choose(now, service, prompt, excluded)


def _with_avoided(now: float, workers: Sequence[WorkerState], excluded: set[str], avoid: str) -> set[str]:
    """Adds to `excluded` the workers to avoid, as long as another worker remains.

    These are `avoid`, and the workers that have just rejected an item: such a worker has little load, and
    would otherwise attract all items while it rejects them.
    """
    rejecting = {worker.record.id for worker in workers if worker.is_rejecting(now)}
    for avoided in (rejecting | {avoid}, {avoid}):
        if any(worker.record.id not in excluded | avoided for worker in workers):
            return excluded | avoided
    return excluded


def _shows_worker_fault(now: float, assignment: _Assignment, outcome: ExchangeOutcome) -> bool:
    """Whether the outcome counts as a failure of the worker.

    Items that fail while their worker is suspect count as one failure together. An item that has just failed
    elsewhere may itself be why the worker stalls, unless this worker has failed for other items too.
    """
    worker = assignment.worker
    if worker.is_suspect(now) and not assignment.is_probe:
        return False
    item_may_stall = outcome is ExchangeOutcome.STALLED and assignment.item_failed_before
    return worker.has_failed or not item_may_stall


def _worker_to_probe(now: float, workers: Sequence[WorkerState]) -> WorkerState | None:
    """The worker to probe if all are suspect: the one that failed longest ago, at least `PROBE_AFTER_S` ago.

    Without probes, items waited up to eight seconds for free workers after a network partition between a
    store and all workers. An item has time for an attempt that fails; a live request has not.
    """
    if not all(worker.is_suspect(now) for worker in workers):
        return None
    due = [worker for worker in workers if worker.in_flight == 0 and now - worker.failed_at >= PROBE_AFTER_S]
    return min(due, key=lambda worker: worker.failed_at, default=None)


def _log_suspected(now: float, item: QueuedItem, assignment: _Assignment, outcome: ExchangeOutcome) -> None:
    """Logs why a worker is suspect, with what tells a fault of the worker from one of the item."""
    logger.bind(
        event="worker_suspected",
        worker=assignment.worker.record.id,
        service=assignment.service,
        outcome=outcome.name.lower(),
        load=round(assignment.worker.load(now), 2),
        job=item.job,
        item=item.spec.id,
        tokens=item.spec.tokens,
        attempts_without_progress=item.backoffs + 1,
    ).info("A worker gets no items for a while, because an item failed there.")


def _ids_above_spread(now: float, workers: Sequence[WorkerState]) -> set[str]:
    """Ids of the workers whose load exceeds that of the least loaded one by more than `MAX_LOAD_SPREAD`.

    Without this limit, items with a shared prefix filled the workers that cache it while others were half
    empty, and live requests that arrived at the full workers waited for a slot.
    """
    max_load = min(worker.load(now) for worker in workers) + MAX_LOAD_SPREAD
    return {worker.record.id for worker in workers if worker.load(now) > max_load}


def _has_capacity(now: float, worker: WorkerState, per_token_s: float) -> bool:
    """Whether the worker can take another item without delaying live requests. An idle worker always can."""
    if worker.is_suspect(now) or worker.pending_tokens * per_token_s > MAX_PREFILL_S:
        return False
    return worker.load(now) < MAX_WORKER_LOAD or worker.in_flight == 0 == worker.others_in_flight(now)
