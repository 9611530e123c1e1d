"""Choice of worker: the least expected time to the first token, by kept parts, load, zone and failures."""

import random
import zlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from pewterring.configuration.model import Configuration
from pewterring.distribution.messages import RegistrationState, WorkerRecord
from pewterring.routing.prompt import Prompt
from pewterring.routing.prompt_hints import worker_number
from pewterring.routing.worker_state import WorkerState

LEARNING_WEIGHT = 0.05  # of one sample in what is learnt: the last twenty or so count
BASE_S, PER_TOKEN_S = 0.02, 1e-5  # time to the first byte where nothing is learnt yet, without and per token
SLOW_FROM = 1.5  # slowness (ratio of times) up to which workers count as equal: single times vary by as much
FULL_LOAD = 1.0  # requests per slot from which on they wait at the worker

# Costs in base times: the time to the first byte of a prompt without reading, at an idle worker. They are
# added to what is expected there, so that each says how much longer a request may wait to avoid it.
# Connections and turns were weighed in paired plays (docs/decisions.md).
OTHER_ZONE_COST = 0.05  # bytes between zones are paid for; it decides among workers that are about as good
NEW_CONNECTION_COST = 0.2  # a connection takes a round trip, and operators pay for it
# At the most, for the worker that comes last in this process's order: less than another zone, so that it only
# decides among equals, and processes keep to different ones.
TURN_COST = 0.04
FULL_COST = 2.0  # a request that finds no free slot waits for another's end
OVERLOAD_COST = 10.0  # for each further load of 1: the wait grows with the queue
SUSPECT_COST = 50.0  # longer than any wait that is still in time: only where all others are worse


class ServiceTimes:
    """What is learnt of a service: the time to the first byte without reading, and per token to be read."""

    def __init__(self) -> None:
        self.base_s = BASE_S
        self.per_token_s = PER_TOKEN_S
        self._samples = 0

    def expected(self, tokens: int) -> float:
        """Seconds to the first byte at a worker with room, `tokens` to be read."""
        return self.base_s + self.per_token_s * tokens

    def learn(self, tokens: int, seconds: float) -> None:
        """Takes one sample: normalised least mean squares of base and slope."""
        self._samples += 1
        weight = max(LEARNING_WEIGHT, 1 / (1 + self._samples))
        scaled = tokens / 1000
        error = seconds - self.expected(tokens)
        error = max(-3 * self.expected(tokens), min(3 * self.expected(tokens), error))
        norm = 1 + scaled * scaled
        self.base_s = max(1e-4, self.base_s + weight * error / norm)
        self.per_token_s = max(1e-7, self.per_token_s + weight * error * scaled / norm / 1000)


class WorkerChooser:
    """The workers of all services as this process knows them, and the choice among them."""

    def __init__(
        self, zone: str, rng: random.Random, is_connected: Callable[[str], bool] = lambda _address: True
    ) -> None:
        """`is_connected` tells whether a connection to an address rests here."""
        self._place = 0.0  # of this process among those of its zone, from 0 to 1
        self._is_connected = is_connected
        self._zone = zone
        self._rng = rng
        self.workers: dict[str, WorkerState] = {}
        self._by_service: dict[str, tuple[WorkerState, ...]] = {}
        self._silent: dict[str, tuple[WorkerState, ...]] = {}  # by service
        self._by_number: dict[int, WorkerState] = {}
        self.times: dict[str, ServiceTimes] = {}

    def update(self, records: Mapping[str, WorkerRecord], configuration: Configuration | None) -> None:
        """Takes the table of workers. States of those that stay are kept."""
        kept: dict[str, WorkerState] = {}
        for worker_id, record in records.items():
            state = self.workers.get(worker_id)
            if state is None:
                state = WorkerState(record, self._cache_tokens(record, configuration))
            state.record = record
            kept[worker_id] = state
        self.workers = kept
        self._arrange()
        self._by_number = {worker_number(worker_id): state for worker_id, state in kept.items()}
        self._by_service = _by_service(kept.values(), RegistrationState.READY)
        self._silent = _by_service(kept.values(), RegistrationState.UNRESPONSIVE)

    def take_place(self, place: float) -> None:
        """Where this process stands among those of its zone, from 0 to 1."""
        if place != self._place:
            self._place = place
            self._arrange()

    def _arrange(self) -> None:
        """Gives each worker its turn: all processes know the workers in one order, and begin at their place.

        Symptom answered: with many processes, each opened connections to all workers for a request or two,
        and by chance several were kept to by the same ones.
        """
        by_group: dict[tuple[str, str], list[WorkerState]] = {}
        for state in self.workers.values():
            by_group.setdefault((state.record.service, state.record.zone), []).append(state)
        for group in by_group.values():
            group.sort(key=lambda state: worker_number(state.record.id))
            for index, state in enumerate(group):
                state.turn = (index / len(group) - self._place) % 1.0

    @staticmethod
    def _cache_tokens(record: WorkerRecord, configuration: Configuration | None) -> int:
        """Tokens that the worker's prefix cache holds; 0 where the configuration does not say."""
        service = configuration.services.get(record.service) if configuration else None
        return service.engine.kv_tokens if service and service.engine else 0

    @property
    def has_silent(self) -> bool:
        """Whether control has lost sight of workers."""
        return bool(self._silent)

    def ready(self, now: float, service: str) -> Sequence[WorkerState]:
        """Workers of a service that requests may go to: ready ones, and silent ones that answer this process.

        Symptom answered: a cut between control and workers that gateways still reach takes their slots away.
        """
        ready = self._by_service.get(service, ())
        silent = self._silent.get(service)
        if not silent:
            return ready
        return (*ready, *(state for state in silent if state.vouched(now)))

    def slots(self, now: float, service: str) -> int:
        """Slots of all such workers of a service."""
        return sum(state.record.capacity for state in self.ready(now, service))

    def times_of(self, service: str) -> ServiceTimes:
        """What is learnt of a service."""
        return self.times.setdefault(service, ServiceTimes())

    def choose(
        self, now: float, service: str, prompt: Prompt, avoid: Collection[str] = ()
    ) -> WorkerState | None:
        """The worker with the least expected time to the first byte; those in `avoid` only as a last way."""
        states = self.ready(now, service)
        if not states:
            return None
        others = [state for state in states if state.record.id not in avoid]
        times = self.times_of(service)
        home = self._home(now, states, prompt)
        return min(
            others or states,
            key=lambda state: (
                self._cost(now, state, prompt, times, state is home),
                self._rng.random(),
            ),
        )

    @staticmethod
    def _home(now: float, states: Sequence[WorkerState], prompt: Prompt) -> WorkerState | None:
        """Where all processes first send the prompts that share this one's parts, by rendezvous hash.

        None where a worker is known that keeps the shared part: then nothing needs guessing.
        """
        if len(prompt.parts) < 2:
            return None
        shared = prompt.parts[-2][0]
        well = [state for state in states if not state.suspect(now)]
        if any(state.keeps(shared) for state in well):
            return None
        return max(well or states, key=lambda state: zlib.crc32(f"{shared}/{state.record.id}".encode()))

    @staticmethod
    def wait_s(now: float, state: WorkerState, times: ServiceTimes) -> float:
        """Seconds that a request waits there for prompts sent before it."""
        return state.announced_s(now) + times.per_token_s * state.pending_tokens

    def by_number(self, number: int) -> WorkerState | None:
        """The worker that hints call by this number."""
        return self._by_number.get(number)

    def _cost(
        self, now: float, state: WorkerState, prompt: Prompt, times: ServiceTimes, is_home: bool
    ) -> float:
        tokens = state.uncached(prompt)
        if is_home and prompt.parts:
            tokens = min(tokens, prompt.parts[-1][1])  # others will have sent the shared parts there
        load = state.load(now)
        wait_s = max(state.congested_s(now), self.wait_s(now, state, times))
        cost = times.base_s * (1 + load) + times.per_token_s * tokens + wait_s
        if load >= FULL_LOAD:
            cost += times.base_s * (FULL_COST + OVERLOAD_COST * (load - FULL_LOAD))
        if state.record.zone != self._zone:
            cost += OTHER_ZONE_COST * times.base_s
        if not self._is_connected(state.record.address):
            cost += NEW_CONNECTION_COST * times.base_s
        cost += TURN_COST * state.turn * times.base_s
        cost *= max(1.0, state.slowness / SLOW_FROM)
        if state.suspect(now):
            cost += SUSPECT_COST * times.base_s
        return cost


def _by_service(workers: Iterable[WorkerState], state: str) -> dict[str, tuple[WorkerState, ...]]:
    found: dict[str, list[WorkerState]] = {}
    for worker in workers:
        if worker.record.state == state:
            found.setdefault(worker.record.service, []).append(worker)
    return {service: tuple(states) for service, states in found.items()}
