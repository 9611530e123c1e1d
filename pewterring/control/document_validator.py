"""Validates operators' large documents between other events, and remembers the outcomes.

A validation goes on when the call that began it has ended: operators end calls early and send the document
again, and the repeated call gets the outcome. One document is validated at a time.
"""

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from pewterring.configuration.digest import single_line
from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.steps import Steps, complete_between_events
from pewterring.configuration.validation import ValidatedDocument
from pewterring.control.bounded_memory import drop_oldest
from pewterring.control.errors import TooManyDocumentsError

MAX_WAITING = 8  # documents that are being validated or wait for it, several megabytes each
REMEMBERED_OUTCOMES = 64  # some hundred bytes each

Validation = Callable[[bytes], Steps[ValidatedDocument]]
DocumentKey = tuple[Validation, bytes]  # and the hash of the document's bytes


@dataclass(frozen=True, slots=True)
class _Valid:
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class _Invalid:
    path: str
    reason: str


class DocumentValidator:
    """Owns the tasks in which documents are validated. All methods are called on the event loop."""

    def __init__(self) -> None:
        self._outcomes: dict[DocumentKey, _Valid | _Invalid] = {}  # oldest first
        self._waiting: dict[DocumentKey, asyncio.Task[_Valid | _Invalid]] = {}
        self._one_at_a_time = asyncio.Lock()

    async def validate(self, validation: Validation, document: bytes) -> ValidatedDocument:
        """Returns the validated document.

        Raises:
            ConfigurationError: The document is invalid.
            TooManyDocumentsError: Too many documents wait; the call may be repeated later.
        """
        key = (validation, hashlib.sha256(document).digest())
        outcome = self._outcomes.get(key)
        if outcome is None:
            outcome = await asyncio.shield(self._waiting.get(key) or self._begin(key, document))
        if isinstance(outcome, _Invalid):
            raise ConfigurationError(outcome.path, outcome.reason)
        return ValidatedDocument(outcome.version, outcome.digest, single_line(document))

    def _begin(self, key: DocumentKey, document: bytes) -> "asyncio.Task[_Valid | _Invalid]":
        if len(self._waiting) >= MAX_WAITING:
            raise TooManyDocumentsError
        task = asyncio.get_running_loop().create_task(self._validate(key, document))
        self._waiting[key] = task
        task.add_done_callback(lambda _: self._waiting.pop(key, None))
        return task

    async def _validate(self, key: DocumentKey, document: bytes) -> _Valid | _Invalid:
        async with self._one_at_a_time:
            outcome = await _outcome(key[0](document))
        self._outcomes[key] = outcome
        drop_oldest(self._outcomes, REMEMBERED_OUTCOMES)
        return outcome


async def _outcome(steps: Steps[ValidatedDocument]) -> _Valid | _Invalid:
    try:
        validated = await complete_between_events(steps)
    except ConfigurationError as error:
        return _Invalid(error.path, error.reason)
    return _Valid(validated.version, validated.digest)
