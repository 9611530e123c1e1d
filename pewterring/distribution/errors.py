"""Errors of the table feed. Each ends the session; the node then subscribes again, possibly elsewhere."""


class FeedError(Exception):
    """A message from a control machine is rejected; the node keeps its current tables."""


class FeedGapError(FeedError):
    """A change is not based on the tables of this node, so an earlier change is missing."""


class StaleLeaderError(FeedError):
    """The tables were sent by a leader of an earlier term than that of this node's tables."""

    def __init__(self, epoch: int, known_epoch: int) -> None:
        super().__init__(f"tables of term {epoch}, known are those of term {known_epoch}")
        self.epoch = epoch
        self.known_epoch = known_epoch


class StaleAnswerError(FeedError):
    """The answer took so long that its tables may be out of date; they must be requested again."""

    def __init__(self, age_s: float) -> None:
        super().__init__(f"the tables were requested {age_s:.1f} s ago")
        self.age_s = age_s
