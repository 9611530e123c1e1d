"""What one process knows of one worker: its load, what it keeps of prompts, and how attempts there ended."""

import math
from collections import OrderedDict

from pewterring.distribution.messages import WorkerRecord
from pewterring.routing.prompt import Prompt

REPORT_LIFE_S = 0.5  # a load report fades by 1/e in this time
SUSPECT_S = 1.0  # how long the first failure keeps requests away; doubled by each further one
SUSPECT_MOST_S = 8.0
MOST_DOUBLINGS = 3  # they reach `SUSPECT_MOST_S`
MOST_RATIO, SLOWNESS_WEIGHT = 10.0, 0.1  # of one sample: what it counts at most, its weight in the mean
# A worker that control does not hear is sent requests for so long after its last answer here: less than the
# silence by which control finds a worker that crashed.
VOUCHED_S = 2.0
KEPT_SHARE = 0.8  # of the worker's memory that is taken to hold parts of prompts


class WorkerState:
    """One incarnation of a worker as this process sees it."""

    def __init__(self, record: WorkerRecord, memory_tokens: int) -> None:
        self.record = record
        self.out = 0  # own attempts out
        self.turn = 0.0  # when its turn is among its zone's workers, from 0 to 1
        self.pending_tokens = 0  # of own attempts that have no first byte yet: tokens to be read
        self._memory_tokens = memory_tokens
        self._kept: OrderedDict[int, int] = OrderedDict()  # parts by last use
        self._kept_tokens = 0
        self._announced_until = -math.inf  # when it will have read what other gateways announced
        self._waits_until = -math.inf  # up to when requests there were told to wait
        self.heard_at = -math.inf  # when any byte of an answer last came from it
        self._silent = False  # it is suspected for its silence alone
        self._reading_until = -math.inf  # when it will have read the prompts that are known here
        self._reported = 0.0  # attempts of others by the last report
        self._reported_at = -math.inf
        self._failures = 0
        self._suspect_until = -math.inf
        self.failed_at = -math.inf  # when it was last taken for failing
        self.slowness = 1.0  # seen over expected time to the first byte, a running mean

    def others(self, now: float) -> float:
        """Attempts that others have there, by the last report, fading."""
        return self._reported * math.exp((self._reported_at - now) / REPORT_LIFE_S)

    def load(self, now: float) -> float:
        """Attempts out there, own and others', over its slots."""
        return (self.out + self.others(now)) / max(1, self.record.capacity)

    def take_report(self, now: float, running: int, waiting: int) -> None:
        """Takes what an answer said of the worker's load."""
        self._reported = max(0.0, running + waiting - self.out)
        self._reported_at = now

    def uncached(self, prompt: Prompt) -> int:
        """Tokens of the prompt that it must read: all behind the first part that it does not keep."""
        left = prompt.prompt_tokens
        for part, tokens in prompt.parts:
            if part not in self._kept:
                break
            left -= tokens
        return max(0, left)

    def announced_s(self, now: float) -> float:
        """Seconds that it will still read prompts that other gateways announced."""
        return max(0.0, self._announced_until - now)

    def announce(self, now: float, seconds: float, parts: tuple[tuple[int, int], ...]) -> None:
        """Another gateway sent it a prompt that takes `seconds` to read; it keeps the parts from now on."""
        self._announced_until = max(now, self._announced_until) + seconds
        self.expect_reading(now, seconds)
        self._keep_parts(parts)

    def expect_reading(self, now: float, seconds: float) -> None:
        """It is given a prompt that takes `seconds` to read."""
        self._reading_until = max(now, self._reading_until) + seconds

    def reading_after(self, moment: float) -> float:
        """Seconds after `moment` in which it reads prompts, for all that is known here."""
        return max(0.0, self._reading_until - moment)

    def heard(self, now: float) -> None:
        """A byte of an answer came from it."""
        self.heard_at = now
        if self._silent:
            self.answered()

    def fell_silent(self, now: float) -> None:
        """It says nothing for longer than it should; what it keeps is as it was if it is heard again.

        Symptom answered: a worker that was reading a long prompt was taken for one that had lost what it
        keeps, and its prompts were read once more at another worker.
        """
        self._silent = True
        self._failures += 1
        self._keep_away(now)

    def expect_wait(self, now: float, seconds: float) -> None:
        """Requests wait there; one sent now would probably wait for `seconds`."""
        self._waits_until = max(self._waits_until, now + seconds)

    def congested_s(self, now: float) -> float:
        """Seconds that a request would probably wait there, beyond what prompts to be read explain."""
        return max(0.0, self._waits_until - now)

    def vouched(self, now: float) -> bool:
        """Whether it answers this process, whatever control hears of it."""
        return now - self.heard_at < VOUCHED_S

    def misdirected(self, now: float) -> None:
        """Another worker has its address."""
        self.failed(now)
        self.heard_at = -math.inf

    def keeps(self, part: int) -> bool:
        """Whether it is thought to keep a part."""
        return part in self._kept

    def keep(self, prompt: Prompt) -> None:
        """Notes that it has read the prompt; the parts unused for longest give way."""
        self._keep_parts(prompt.parts)

    def _keep_parts(self, parts: tuple[tuple[int, int], ...]) -> None:
        for part, tokens in parts:
            if part in self._kept:
                self._kept.move_to_end(part)
            else:
                self._kept[part] = tokens
                self._kept_tokens += tokens
        while self._kept_tokens > KEPT_SHARE * self._memory_tokens and self._kept:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens

    def note_ratio(self, ratio: float) -> None:
        """Takes the seen over the expected time to a first byte."""
        self.slowness += (min(MOST_RATIO, ratio) - self.slowness) * SLOWNESS_WEIGHT

    def failed(self, now: float, certain: bool = True) -> None:
        """An attempt ended badly: keeps requests away for a while, longer each time.

        Not `certain`: one answer was cut or spoilt, which a worker that is well may do; only a second one
        without a good answer between them counts.
        """
        self._failures += 1
        if not certain and self._failures < 2:
            return
        self._silent = False
        self._keep_away(now)
        self._kept.clear()  # a worker that fails may have restarted
        self._kept_tokens = 0

    def _keep_away(self, now: float) -> None:
        doublings = min(self._failures - 1, MOST_DOUBLINGS)  # a power of any size is no float
        self._suspect_until = now + min(SUSPECT_MOST_S, SUSPECT_S * 2**doublings)
        self.failed_at = now

    def answered(self) -> None:
        """An attempt went well."""
        self._failures = 0
        self._silent = False
        self._suspect_until = -math.inf

    def suspect(self, now: float) -> bool:
        """Whether a failure is recent, or one attempt is out that is to show whether it answers again."""
        if self._suspect_until == -math.inf:
            return False
        return now < self._suspect_until or self.out > 0
