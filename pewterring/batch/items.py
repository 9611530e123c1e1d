"""Batch items as the store that leads their partition runs them, and how an attempt to run one may fail."""

from dataclasses import dataclass, field
from enum import Enum, auto

from loguru import logger

from pewterring.batch.messages import ItemSpec
from pewterring.batch.state import RouteKey

ItemKey = tuple[str, str]  # job id and item id


class Failure(Enum):
    """Why an attempt to run an item brought no complete answer."""

    UNREACHABLE = auto()  # not run: no connection was established, or another worker has the address now
    NOT_SENT = auto()  # not run: this store had no free connection to the worker
    DECLINED = auto()  # not run, as the worker answered: it is full, or the item is too large for it
    OTHER_VERSION = auto()  # status 421 for an item that expects a version: not run; the worker is healthy
    STALE = auto()  # an idle connection turned out to be closed, which does not make the worker suspect
    TRUNCATED = auto()  # the answer ended early or is malformed; the events received so far are kept
    STALLED = auto()  # the worker sent nothing for too long; the events received so far are kept
    SERVER_ERROR = auto()  # a status above 500, which may be the worker's fault or the item's
    REJECTED = auto()  # any other status, or HTTP cannot carry the item; the worker is healthy
    FAILED = auto()  # status 500: counts as a failed attempt
    IMPOSSIBLE = auto()  # status 422: no worker can run the item


# Failures that the item itself may have caused. Those with status 500 count towards the retry limit instead.
_ITEM_MAY_CAUSE = frozenset(
    {
        Failure.DECLINED,
        Failure.OTHER_VERSION,
        Failure.TRUNCATED,
        Failure.STALLED,
        Failure.SERVER_ERROR,
        Failure.REJECTED,
    }
)
# After this many attempts in a row that the item itself may have caused to fail, it starts after all others.
DEFER_AFTER_ATTEMPTS = 2


@dataclass(slots=True, eq=False)
class QueuedItem:
    """One item that has no result yet, with the part of its text received so far."""

    job: str
    route: RouteKey
    spec: ItemSpec
    events: list[str] = field(default_factory=list)  # data of the complete events received, in order
    last_event_id: str = ""
    failed_attempts: int = 0
    backoffs: int = 0  # consecutive attempts without progress
    fruitless_attempts: int = 0  # those of them whose failure the item itself may have caused
    has_progressed: bool = False  # the latest attempt has sent an event from which the next one can resume
    last_worker: str = ""  # id of the worker of the latest attempt
    started_at: float = 0.0  # monotonic time at which the latest attempt started

    @property
    def key(self) -> ItemKey:
        """Identifies the item across all jobs."""
        return self.job, self.spec.id

    @property
    def text(self) -> str:
        """The text of the result: the data of all events in order, joined by newlines."""
        return "\n".join(self.events)

    @property
    def is_deferred(self) -> bool:
        """Whether the item starts after all others, because it has failed repeatedly without progress."""
        return self.fruitless_attempts >= DEFER_AFTER_ATTEMPTS

    def count_fruitless(self, failure: Failure, worker_was_full: bool) -> bool:
        """Counts a failed attempt if it made no progress and the item itself may have caused the failure.

        Args:
            failure: Why the attempt failed.
            worker_was_full: Whether the worker is known to have had no capacity, which explains the failure.

        Returns:
            Whether the attempt counts.
        """
        if self.has_progressed:
            self.fruitless_attempts = 0
            return False
        if worker_was_full or failure not in _ITEM_MAY_CAUSE:
            return False
        self.fruitless_attempts += 1
        if self.fruitless_attempts == DEFER_AFTER_ATTEMPTS:
            self._log_deferred(failure)
        return True

    def _log_deferred(self, failure: Failure) -> None:
        logger.bind(
            event="item_deferred",
            job=self.job,
            item=self.spec.id,
            tokens=self.spec.tokens,
            worker=self.last_worker,
            failure=failure.name.lower(),
        ).info("An item failed repeatedly without progress; it is tried again after all other items.")
