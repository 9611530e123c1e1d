"""Choice of the worker with the lowest cost: the expected time to the first byte, plus penalties."""

import random
import zlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from pewterring.configuration.model import Configuration
from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.routing.prompt import Prompt
from pewterring.routing.prompt_hints import worker_number
from pewterring.routing.worker_state import WorkerState

LEARNING_WEIGHT = 0.05  # weight of one sample in the learnt times: about the last twenty samples count
DEFAULT_BASE_S = 0.02  # initial estimate of the time to the first byte without prefill
DEFAULT_PER_TOKEN_S = 1e-5  # initial estimate of the additional time per token of prefill
SLOW_RATIO = 1.5  # slowness up to which workers count as equally fast: single times vary by as much
FULL_LOAD = 1.0  # requests per slot from which on requests wait at the worker

# The costs are multiples of the base time, which is the time to the first byte without prefill at an idle
# worker. They are added to the expected time to the first byte: each says how much longer a request may wait
# to avoid it. docs/decisions.md discusses those of new connections and of the preference order.
OTHER_ZONE_COST = 0.05  # traffic between zones costs money; decides among workers that are about equally good
NEW_CONNECTION_COST = 0.2  # a new connection takes a round trip, and operators pay for it
# Cost of the last worker in this process's preference order, and the most that the order costs. It is lower
# than that of another zone, so it decides only among equal workers, and makes processes use different ones.
PREFERENCE_COST = 0.04
FULL_COST = 2.0  # a request that finds no free slot waits until another one ends
OVERLOAD_COST = 10.0  # per unit of load beyond `FULL_LOAD`: the wait grows with the queue
SUSPECT_COST = (
    50.0  # exceeds any wait within a deadline: suspect workers are chosen only if all others are worse
)


class ServiceTimes:
    """Learnt times of a service: seconds to the first byte without prefill, and more per token of prefill."""

    def __init__(self) -> None:
        self.base_s = DEFAULT_BASE_S
        self.per_token_s = DEFAULT_PER_TOKEN_S
        self._samples = 0

    def expected(self, tokens: int) -> float:
        """Expected seconds to the first byte at a worker with free slots, for a prefill of `tokens`."""
        return self.base_s + self.per_token_s * tokens

    def learn(self, tokens: int, seconds: float) -> None:
        """Adjusts base and slope to one sample by normalised least mean squares."""
        self._samples += 1
        weight = max(LEARNING_WEIGHT, 1 / (1 + self._samples))
        scaled = tokens / 1000
        error = seconds - self.expected(tokens)
        error = max(-3 * self.expected(tokens), min(3 * self.expected(tokens), error))
        norm = 1 + scaled * scaled
        self.base_s = max(1e-4, self.base_s + weight * error / norm)
        self.per_token_s = max(1e-7, self.per_token_s + weight * error * scaled / norm / 1000)


class WorkerChooser:
    """Owns the states of all services' workers at this process, and chooses among them."""

    def __init__(
        self, zone: str, rng: random.Random, is_connected: Callable[[str], bool] = lambda _address: True
    ) -> None:
        """`is_connected` tells whether this process has an idle connection to an address."""
        self._position = 0.0  # of this process among the processes of its zone, from 0 to 1
        self._is_connected = is_connected
        self._zone = zone
        self._rng = rng
        self.workers: dict[str, WorkerState] = {}
        self._by_service: dict[str, tuple[WorkerState, ...]] = {}
        self._unresponsive: dict[str, tuple[WorkerState, ...]] = {}  # by service
        self._by_number: dict[int, WorkerState] = {}
        self.times: dict[str, ServiceTimes] = {}

    def update(self, records: Mapping[str, WorkerRecord], configuration: Configuration | None) -> None:
        """Takes the tables. Workers that remain in them retain their states.

        The memory of a worker follows the newest configuration: a worker may be known before its service is.
        """
        states: dict[str, WorkerState] = {}
        for worker_id, record in records.items():
            memory_tokens = self._memory_tokens(record, configuration)
            state = self.workers.get(worker_id)
            if state is None:
                state = WorkerState(record, memory_tokens)
            elif memory_tokens:  # otherwise the last value stays: a service may be missing for a moment
                state.set_memory_tokens(memory_tokens)
            state.record = record
            states[worker_id] = state
        self.workers = states
        self._set_preferences()
        self._by_number = {worker_number(worker_id): state for worker_id, state in states.items()}
        self._by_service = _by_service(states.values(), RegistrationState.READY)
        self._unresponsive = _by_service(states.values(), RegistrationState.UNRESPONSIVE)

    def set_position(self, position: float) -> None:
        """Sets the position of this process among the processes of its zone, from 0 to 1."""
        if position != self._position:
            self._position = position
            self._set_preferences()

    def _set_preferences(self) -> None:
        """Orders the workers of each zone by preference. All processes use one order, from different starts.

        Without it, each of many processes opened connections to all workers for a request or two, and by
        chance several processes kept using the same workers.
        """
        by_group: dict[tuple[str, str], list[WorkerState]] = {}
        for state in self.workers.values():
            by_group.setdefault((state.record.service, state.record.zone), []).append(state)
        for group in by_group.values():
            group.sort(key=lambda state: worker_number(state.record.id))
            for index, state in enumerate(group):
                state.preference_offset = (index / len(group) - self._position) % 1.0

    @staticmethod
    def _memory_tokens(record: WorkerRecord, configuration: Configuration | None) -> int:
        """How many tokens the worker's memory holds; 0 if the configuration does not state it."""
        service = configuration.services.get(record.service) if configuration else None
        return service.engine.kv_tokens if service and service.engine else 0

    @property
    def has_unresponsive(self) -> bool:
        """Whether control considers any worker unresponsive."""
        return bool(self._unresponsive)

    def ready(self, now: float, service: str) -> Sequence[WorkerState]:
        """Workers that may get requests: ready ones, and unresponsive ones that respond to this process.

        Otherwise a network partition between control and workers would remove slots that gateways can use.
        """
        ready = self._by_service.get(service, ())
        unresponsive = self._unresponsive.get(service)
        if not unresponsive:
            return ready
        return (*ready, *(state for state in unresponsive if state.is_reachable(now)))

    def slots(self, now: float, service: str) -> int:
        """Total slots of the workers of a service that may get requests."""
        return sum(state.record.capacity for state in self.ready(now, service))

    def times_of(self, service: str) -> ServiceTimes:
        """The learnt times of a service."""
        return self.times.setdefault(service, ServiceTimes())

    def choose(
        self, now: float, service: str, prompt: Prompt, avoid: Collection[str] = ()
    ) -> WorkerState | None:
        """Chooses the worker with the lowest cost; workers in `avoid` only if there are no others."""
        states = self.ready(now, service)
        if not states:
            return None
        others = [state for state in states if state.record.id not in avoid]
        times = self.times_of(service)
        affinity_worker = self._affinity_worker(now, states, prompt)
        return min(
            others or states,
            key=lambda state: (
                self._cost(now, state, prompt, times, state is affinity_worker),
                self._rng.random(),
            ),
        )

    @staticmethod
    def _affinity_worker(now: float, states: Sequence[WorkerState], prompt: Prompt) -> WorkerState | None:
        """The worker to which all processes send prompts with the same shared blocks, by rendezvous hashing.

        None if a healthy worker is known to have the shared blocks cached, or if the prompt shares none.
        """
        if len(prompt.blocks) < 2:
            return None
        shared = prompt.blocks[-2][0]
        healthy = [state for state in states if not state.is_suspect(now)]
        if any(state.has_cached(shared) for state in healthy):
            return None
        return max(healthy or states, key=lambda state: zlib.crc32(f"{shared}/{state.record.id}".encode()))

    @staticmethod
    def prefill_wait_s(now: float, state: WorkerState, times: ServiceTimes) -> float:
        """Seconds that a request would wait at a worker for the prefills of prompts sent before it."""
        return state.announced_prefill_s(now) + times.per_token_s * state.pending_tokens

    def by_number(self, number: int) -> WorkerState | None:
        """The worker with this number in hints, as by `worker_number`."""
        return self._by_number.get(number)

    def _cost(
        self, now: float, state: WorkerState, prompt: Prompt, times: ServiceTimes, has_affinity: bool
    ) -> float:
        tokens = state.uncached_tokens(prompt)
        if has_affinity and prompt.blocks:
            tokens = min(tokens, prompt.blocks[-1][1])  # other processes send the shared blocks there
        load = state.load(now)
        wait_s = max(state.unexplained_wait_s(now), self.prefill_wait_s(now, state, times))
        cost = times.base_s * (1 + load) + times.per_token_s * tokens + wait_s
        if load >= FULL_LOAD:
            cost += times.base_s * (FULL_COST + OVERLOAD_COST * (load - FULL_LOAD))
        if state.record.zone != self._zone:
            cost += OTHER_ZONE_COST * times.base_s
        if not self._is_connected(state.record.address):
            cost += NEW_CONNECTION_COST * times.base_s
        cost += PREFERENCE_COST * state.preference_offset * times.base_s
        cost *= max(1.0, state.slowness / SLOW_RATIO)
        if state.is_suspect(now):
            cost += SUSPECT_COST * times.base_s
        return cost


def _by_service(workers: Iterable[WorkerState], state: str) -> dict[str, tuple[WorkerState, ...]]:
    by_service: dict[str, list[WorkerState]] = {}
    for worker in workers:
        if worker.record.state == state:
            by_service.setdefault(worker.record.service, []).append(worker)
    return {service: tuple(states) for service, states in by_service.items()}
