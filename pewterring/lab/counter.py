"""The counter service of the emulator: numbers by name on parts of fixed capacity, that may forget them."""

from collections.abc import Callable

from pewterring.lab.engine import Engine
from pewterring.lab.schema import Counters
from pewterring.standalone.policy import interface as i

MOST_LIFE = 60.0  # seconds; a name is forgotten when the life given in its first call is up


class CounterService:
    """Adds to numbers by name, one call at a time in each part; answers late, or not at all, under faults."""

    def __init__(self, engine: Engine, setup: Counters) -> None:
        self.engine, self.setup = engine, setup
        self.silent = self.split = 0  # faults that make it so just now
        self.times = 1.0
        self.numbers: list[dict[int, tuple[float, float]]] = [{}, {}]  # of each side: total, until
        self.free_at = [[0.0] * setup.parts, [0.0] * setup.parts]

    def forget(self) -> None:
        """Loses all numbers."""
        self.numbers = [{}, {}]

    def begin_split(self) -> None:
        """Two instances from now on: the second begins with a copy of the first one's numbers."""
        self.split += 1
        if self.split == 1:
            self.numbers[1] = dict(self.numbers[0])

    def end_split(self) -> None:
        """One instance again once no fault splits it: the second one's numbers are lost."""
        self.split -= 1
        if not self.split:
            self.numbers[1] = {}

    def add(
        self, side: int, name: int, amount: float, life: float, answer: Callable[[i.Code, float, float], None]
    ) -> None:
        """Calls answer(code, seconds it took, total) when the call was served, turned away or timed out."""
        now, setup = self.engine.now, self.setup
        side = side if self.split else 0
        if self.silent:
            return self.engine.after(setup.timeout_s, answer, i.Code.DEADLINE_EXCEEDED, setup.timeout_s, 0.0)
        free, part = self.free_at[side], name % setup.parts
        each = self.times * setup.parts / setup.per_s
        if free[part] - now > setup.line * each:
            took = 2 * setup.delay_s
            return self.engine.after(took, answer, i.Code.RESOURCE_EXHAUSTED, took, 0.0)
        free[part] = max(free[part], now + setup.delay_s) + each
        took = free[part] + setup.delay_s - now
        self.engine.at(free[part], self.count, side, name, amount, life, took, answer)
        if took > setup.timeout_s:  # it is added all the same
            self.engine.after(setup.timeout_s, answer, i.Code.DEADLINE_EXCEEDED, setup.timeout_s, 0.0)

    def count(
        self,
        side: int,
        name: int,
        amount: float,
        life: float,
        took: float,
        answer: Callable[[i.Code, float, float], None],
    ) -> None:
        now, numbers = self.engine.now, self.numbers[side]
        total, until = numbers.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(life, MOST_LIFE)
        numbers[name] = (total + amount, until)
        limit = self.setup.timeout_s
        if took <= limit and not self.silent:
            self.engine.after(self.setup.delay_s, answer, i.Code.OK, took, total + amount)
        elif took <= limit:  # it fell silent before it could say so: its caller waits in vain
            self.engine.after(limit - took + self.setup.delay_s, answer, i.Code.DEADLINE_EXCEEDED, limit, 0.0)

    def sweep(self) -> None:
        """Drops the numbers whose life is over."""
        for side, numbers in enumerate(self.numbers):
            self.numbers[side] = {k: v for k, v in numbers.items() if v[1] > self.engine.now}
