"""Gradient concurrency limit: how many attempts may be in flight at a back end, inferred from latency."""

import math
from collections import deque

from pewterring.standalone.policy.interface import RequestClass


class Ceiling:
    """Gradient2 concurrency limit of a whole back end, for the attempts of all processes that share it."""

    TOLERANCE = 3.5  # accepted latency over unloaded latency: a few queueing waits, within any sane target
    MAX_TARGET_SHARE = 0.33  # of the latency target: bounds baseline drift when all servers slow together
    UPDATE_SAMPLES, WINDOW_SAMPLES = 48, 1024  # of the fleet per update, own ones in the rolling minimum
    WEIGHT, STEP = 1 / 32, 0.2  # weight of one sample in the running mean, and of one update in the limit
    CLIP = 4.0  # samples are clipped at this multiple of the mean: a few costly requests are no queue
    INITIAL_SLOTS, MIN_SLOTS = 4.0, 1.0  # per server: the initial limit, and the lowest one
    BUSY_SHARE = 0.75  # of the limit: it grows only while at least this share of it is in flight

    def __init__(self, fleet: int) -> None:
        self.update_samples = max(1, self.UPDATE_SAMPLES // fleet)
        self.step = min(0.5, self.STEP * max(1.0, fleet / self.UPDATE_SAMPLES))
        self.mean, self.count = dict[str, float](), dict[str, int]()  # by class: mean latency, sample count
        self.recent_means: dict[str, deque[float]] = {}  # by class; the lowest one is the unloaded latency
        self.rating, self.limit, self.servers = 0.0, 0.0, 0

    def rescale(self, rating: float, servers: int) -> None:
        """Scales the limit at once with the total rating of the servers on the list."""
        if rating > 0:
            self.limit = self.limit * rating / self.rating if self.rating else self.INITIAL_SLOTS * servers
            self.rating, self.servers = rating, servers

    def observe(self, cls: RequestClass, latency: float, fleet_in_flight: float) -> None:
        # Single latencies vary too much for a minimum: the sample is the running mean of the class.
        name, mean = cls.name, self.mean.get(cls.name, latency)
        count = self.count[name] = self.count.get(name, 0) + 1
        self.mean[name] = mean = mean + (min(latency, self.CLIP * mean) - mean) * max(self.WEIGHT, 1 / count)
        if count % self.update_samples:
            return
        recent = self.recent_means.setdefault(name, deque(maxlen=self.WINDOW_SAMPLES // self.update_samples))
        if count * self.WEIGHT >= 2:  # the first responses to arrive are the fastest: no baseline
            recent.append(mean)
        tolerated = min(self.TOLERANCE * min(recent, default=math.inf),
                        self.MAX_TARGET_SHARE * cls.latency_target)  # fmt: skip
        gradient = min(1.0, max(0.5, tolerated / max(mean, 1e-9)))
        new = self.limit * gradient + math.sqrt(self.limit)
        if new <= self.limit or fleet_in_flight >= self.BUSY_SHARE * self.limit:  # idle: no evidence to grow
            self.limit = max(self.MIN_SLOTS * self.servers, self.limit + (new - self.limit) * self.step)
