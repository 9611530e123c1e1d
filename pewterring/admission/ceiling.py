"""The gradient ceiling: how many attempts a back end bears, inferred from latency."""

import math
from collections import deque

from pewterring.standalone.policy import interface as i


class Ceiling:
    """Gradient2: how many attempts the whole back end bears, inferred from latency."""

    TOLERANCE = 3.5  # queueing allowed over the unloaded latency; a few waits per service fit any sane aim
    AIM_SHARE = 0.33  # of the aim at most: bounds the baseline's upward drift when all servers slow together
    BATCH, WINDOW = 48, 1024  # answers of the whole fleet per update, own answers in the rolling minimum
    MEMORY, SMOOTH = 1 / 32, 0.2  # weight of one sample in the mean, of one update in the estimate
    CLIP = 4.0  # means one sample counts at most: a few costly requests are no queue
    START, FLOOR = 4.0, 1.0  # slots a server, at the start and at the least
    BUSY = 0.75  # the ceiling grows only while so much of it is out

    def __init__(self, fleet: int) -> None:
        self.batch = max(1, self.BATCH // fleet)
        self.smooth = min(0.5, self.SMOOTH * max(1.0, fleet / self.BATCH))
        self.mean, self.count = dict[str, float](), dict[str, int]()  # by class
        self.lows: dict[str, deque[float]] = {}
        self.rating, self.limit, self.servers = 0.0, 0.0, 0

    def rescale(self, rating: float, servers: int) -> None:
        """Slots belong to servers: the limit follows the serving rating on the list at once."""
        if rating > 0:
            self.limit = self.limit * rating / self.rating if self.rating else self.START * servers
            self.rating, self.servers = rating, servers

    def observe(self, cls: i.RequestClass, latency: float, fleet_out: float) -> None:
        # Single latencies vary too much for a minimum: a class's running mean is the sample.
        name, mean = cls.name, self.mean.get(cls.name, latency)
        n = self.count[name] = self.count.get(name, 0) + 1
        self.mean[name] = mean = mean + (min(latency, self.CLIP * mean) - mean) * max(self.MEMORY, 1 / n)
        if n % self.batch:
            return
        lows = self.lows.setdefault(name, deque(maxlen=self.WINDOW // self.batch))
        if n * self.MEMORY >= 2:  # the first answers to come back are the fastest: no baseline
            lows.append(mean)
        tolerated = min(self.TOLERANCE * min(lows, default=math.inf), self.AIM_SHARE * cls.latency_target)
        gradient = min(1.0, max(0.5, tolerated / max(mean, 1e-9)))
        new = self.limit * gradient + math.sqrt(self.limit)
        if new <= self.limit or fleet_out >= self.BUSY * self.limit:  # an idle fleet tells of no room above
            self.limit = max(self.FLOOR * self.servers, self.limit + (new - self.limit) * self.smooth)
