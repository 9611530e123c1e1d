"""State of a worker as one process knows it: load, expected prefills, cached blocks, and recent failures."""

import math
from collections import OrderedDict

from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.prompt import Prompt

REPORT_DECAY_S = 0.5  # time in which the weight of a load report decays by 1/e
SUSPECT_S = 1.0  # how long a worker is avoided after a first failure; doubled by each further one
MAX_SUSPECT_S = 8.0
MAX_DOUBLINGS = 3  # after these `MAX_SUSPECT_S` is reached
# How long others are preferred to a worker after a rejection; doubled by each further one.
REJECTING_S = 0.5
MAX_RATIO = 10.0  # upper bound of one sample of slowness
SLOWNESS_WEIGHT = 0.1  # weight of one sample in the moving average
# How long after its last response a worker still gets requests from this process while control receives none
# of its heartbeats. Shorter than the time after which control considers a crashed worker unresponsive.
REACHABLE_S = 2.0
CACHE_FRACTION = 0.8  # fraction of the worker's memory that is assumed to hold cached blocks


class WorkerState:
    """One incarnation of a worker as this process sees it. All times are seconds of one monotonic clock."""

    def __init__(self, record: WorkerRecord, memory_tokens: int) -> None:
        self.record = record
        self.in_flight = 0  # own attempts in flight
        # Position among the workers of its zone in this process's order of preference, from 0 to 1.
        self.preference_offset = 0.0
        self.pending_tokens = 0  # prefill tokens of own attempts that are waiting for their first byte
        self._memory_tokens = memory_tokens
        self._cached: OrderedDict[int, int] = OrderedDict()  # tokens by block, least recently used first
        self._cached_tokens = 0
        self._announced_until = -math.inf  # when prefills that other gateways announced will be done
        self._congested_until = -math.inf  # until when a new request would probably wait, by hints of waits
        self.last_byte_at = -math.inf  # when any byte of a response last arrived from it
        self._is_unresponsive = False  # it is suspect only because it sends nothing
        self._prefill_until = -math.inf  # when all prefills known to this process will be done
        self._reported = 0.0  # attempts of other processes by the last load report
        self._reported_at = -math.inf
        self._rejections = 0  # since the last success
        self._rejecting_until = -math.inf
        self._failures = 0
        self._suspect_until = -math.inf
        self.failed_at = -math.inf  # when it last became suspect
        self.slowness = 1.0  # moving average of observed over expected time to the first byte

    def others_in_flight(self, now: float) -> float:
        """Attempts of other processes at the worker by its last load report, which decays with age."""
        return self._reported * math.exp((self._reported_at - now) / REPORT_DECAY_S)

    def load(self, now: float) -> float:
        """Attempts in flight at the worker, from this and other processes, divided by its slots."""
        return (self.in_flight + self.others_in_flight(now)) / max(1, self.record.capacity)

    def record_load(self, now: float, running: int, waiting: int) -> None:
        """Takes the worker's load report: its numbers of running and of waiting requests."""
        self._reported = max(0.0, running + waiting - self.in_flight)
        self._reported_at = now

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Prefill tokens of a prompt: all tokens from its first block on that is not cached."""
        remaining = prompt.prompt_tokens
        for block, tokens in prompt.blocks:
            if block not in self._cached:
                break
            remaining -= tokens
        return max(0, remaining)

    def announced_prefill_s(self, now: float) -> float:
        """Seconds until the prefills that other gateways announced will be done."""
        return max(0.0, self._announced_until - now)

    def record_announced_prefill(
        self, now: float, seconds: float, blocks: tuple[tuple[int, int], ...]
    ) -> None:
        """Takes another gateway's announcement of a prompt whose prefill takes `seconds`.

        The prompt's shared blocks count as cached from now on.
        """
        self._announced_until = max(now, self._announced_until) + seconds
        self.expect_prefill(now, seconds)
        self._add_to_cache(blocks)

    def expect_prefill(self, now: float, seconds: float) -> None:
        """Notes that the worker was sent a prompt whose prefill takes `seconds`."""
        self._prefill_until = max(now, self._prefill_until) + seconds

    def prefill_s_after(self, moment: float) -> float:
        """Seconds of prefill that remain after `moment`, as far as this process knows."""
        return max(0.0, self._prefill_until - moment)

    def record_byte(self, now: float) -> None:
        """Notes that a byte of a response arrived from the worker."""
        self.last_byte_at = now
        if self._is_unresponsive:
            self.record_success()

    def mark_unresponsive(self, now: float) -> None:
        """Makes the worker suspect because it sent nothing for too long; its blocks still count as cached.

        Otherwise a worker that was busy with a long prefill would count as one that had lost its cache, and
        the prefill of its prompts would be repeated at another worker.
        """
        self._is_unresponsive = True
        self._failures += 1
        self._become_suspect(now)

    def expect_wait(self, now: float, seconds: float) -> None:
        """Notes that a request sent now would probably wait for `seconds`, as others wait there."""
        self._congested_until = max(self._congested_until, now + seconds)

    def unexplained_wait_s(self, now: float) -> float:
        """Seconds that a request would probably wait, for other reasons than known prefills."""
        return max(0.0, self._congested_until - now)

    def is_reachable(self, now: float) -> bool:
        """Whether the worker responded to this process recently, whatever control knows of it."""
        return now - self.last_byte_at < REACHABLE_S

    def record_wrong_worker(self, now: float) -> None:
        """Notes that another worker responds at this worker's address."""
        self.record_failure(now)
        self.last_byte_at = -math.inf

    def has_cached(self, block: int) -> bool:
        """Whether a block is assumed to be cached."""
        return block in self._cached

    def record_cached(self, prompt: Prompt) -> None:
        """Notes that the worker has done the prompt's prefill; least recently used blocks are evicted."""
        self._add_to_cache(prompt.blocks)

    def set_memory_tokens(self, memory_tokens: int) -> None:
        """Sets how many tokens the worker's memory holds, by the newest configuration."""
        self._memory_tokens = memory_tokens
        self._evict()

    def _add_to_cache(self, blocks: tuple[tuple[int, int], ...]) -> None:
        for block, tokens in blocks:
            if block in self._cached:
                self._cached.move_to_end(block)
            else:
                self._cached[block] = tokens
                self._cached_tokens += tokens
        self._evict()

    def _evict(self) -> None:
        """Drops the blocks that were used least recently, until the others fit into the worker's memory."""
        while self._cached_tokens > CACHE_FRACTION * self._memory_tokens and self._cached:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens

    def record_ratio(self, ratio: float) -> None:
        """Takes a sample of slowness: the observed over the expected time to a first byte."""
        self.slowness += (min(MAX_RATIO, ratio) - self.slowness) * SLOWNESS_WEIGHT

    def record_failure(self, now: float, certain: bool = True) -> None:
        """Notes a failed attempt, and makes the worker suspect for a time that doubles with each failure.

        Not `certain`: a response was truncated or corrupt, which may happen once at a healthy worker. Such a
        failure counts only if another failure preceded it without a successful response between them.
        """
        self._failures += 1
        if not certain and self._failures < 2:
            return
        self._is_unresponsive = False
        self._become_suspect(now)
        self._cached.clear()  # the worker may have restarted
        self._cached_tokens = 0

    def _become_suspect(self, now: float) -> None:
        doublings = min(self._failures - 1, MAX_DOUBLINGS)  # an unbounded power would overflow a float
        self._suspect_until = now + min(MAX_SUSPECT_S, SUSPECT_S * 2**doublings)
        self.failed_at = now

    def record_success(self) -> None:
        """Notes a successful attempt, after which the worker is no longer suspect."""
        self.record_response()
        self._rejections = 0
        self._rejecting_until = -math.inf

    def record_response(self) -> None:
        """Notes an answer that shows that the worker responds, after which it is no longer suspect."""
        self._failures = 0
        self._is_unresponsive = False
        self._suspect_until = -math.inf

    def record_rejection(self, now: float) -> None:
        """Notes that the worker ended an attempt at once without a usable answer.

        The cause may be the request. So the worker does not become suspect; others are preferred to it, for a
        time that doubles with each rejection.
        """
        if self.is_rejecting(now):
            return  # a worker that crashes ends all its attempts at once, which counts as one rejection
        doublings = min(self._rejections, MAX_DOUBLINGS)
        self._rejections += 1
        self._rejecting_until = now + REJECTING_S * 2**doublings

    def is_rejecting(self, now: float) -> bool:
        """Whether the worker has recently rejected a request, and has not answered any since."""
        return now < self._rejecting_until

    @property
    def has_failed(self) -> bool:
        """Whether an attempt has failed since the last successful one."""
        return self._failures > 0

    def is_suspect(self, now: float) -> bool:
        """Whether a failure is recent, or an attempt in flight may still show that the worker recovered."""
        if self._suspect_until == -math.inf:
            return False
        return now < self._suspect_until or self.in_flight > 0
