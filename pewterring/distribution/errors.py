"""Errors of the feed: each ends the session, and the node subscribes again, there or at another machine."""


class FeedError(Exception):
    """What a control machine sent is not used; the tables that the node has stay in force."""


class FeedGapError(FeedError):
    """A change does not follow on the tables that this node has."""


class StaleLeaderError(FeedError):
    """The tables are of an earlier leadership than those that this node has; ask another control machine."""

    def __init__(self, epoch: int, known_epoch: int) -> None:
        super().__init__(f"tables of term {epoch}, known are those of term {known_epoch}")
        self.epoch = epoch
        self.known_epoch = known_epoch


class StaleAnswerError(FeedError):
    """The tables were requested too long ago to count as current; request them again."""

    def __init__(self, age_s: float) -> None:
        super().__init__(f"the tables were requested {age_s:.1f} s ago")
        self.age_s = age_s
