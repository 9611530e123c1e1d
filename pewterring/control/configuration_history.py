"""The operator's current configuration, and the versions accepted before it.

Implements compare-and-set for configurations: of several changes to the same base version one is accepted,
and a repeated change gets its previous answer while its digest is remembered. Once the digest is forgotten,
the result is `OutcomeUnknown`, because a rejection could be wrong.
"""

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.patch import parse_patch
from pewterring.configuration.patchable_document import PatchableDocument, patchable_steps
from pewterring.configuration.steps import Steps, complete, is_large
from pewterring.control.bounded_memory import drop_oldest
from pewterring.control.commands import (
    Accepted,
    Conflict,
    Invalid,
    NotAbove,
    OutcomeUnknown,
    PatchConfiguration,
    PutConfiguration,
    Result,
)
from pewterring.control.snapshot import Snapshot
from pewterring.control.state_changes import StateChanges

REMEMBERED_VERSIONS = 2048  # accepted digests; limits the memory and snapshot size that they take
NO_DOCUMENT = msgspec.Raw(b"null")  # the document before the first configuration


class ConfigurationHistory:
    """The current `version` and `document` (0 and null before the first one), and the accepted digests."""

    def __init__(self, changes: StateChanges) -> None:
        self.version = 0
        self.document = NO_DOCUMENT
        self.accepted_digests: dict[int, str] = {}  # by version, oldest first
        self.newest_forgotten_version = 0
        self._changes = changes
        # The current document, if it is large and was taken apart.
        self._patchable: PatchableDocument | None = None

    def has_accepted(self, version: int, digest: str) -> bool:
        """Whether this configuration was accepted, now or earlier, as far as its digest is remembered."""
        return self.accepted_digests.get(version) == digest

    def is_outdated(self, base: int, version: int, digest: str | None = None) -> bool:
        """Whether a change to version `base` conflicts now and at any later time, and was never accepted.

        Versions only rise, so a base below the current one stays outdated. Without a digest the answer is
        for any change to `version`.
        """
        if base >= self.version or version <= self.newest_forgotten_version:
            return False
        accepted_digest = self.accepted_digests.get(version)
        return accepted_digest is None or (digest is not None and digest != accepted_digest)

    def put(self, command: PutConfiguration) -> Result:
        """Accepts a complete configuration if its base is the current version."""
        return self._result_by_version(command) or self._accept(command, command.document)

    def patch(self, command: PatchConfiguration) -> Result:
        """Applies a patch if its base is the current version.

        The result is validated here because another configuration may have been committed since the patch
        arrived.
        """
        result = self._result_by_version(command)
        if result is not None:
            return result
        try:
            patch = parse_patch(bytes(command.patch))
            patchable = self._patchable or complete(patchable_steps(bytes(self.document)))
            document = patchable.patched(patch.version, patch.upserts, patch.deletes)
        except ConfigurationError as error:
            return Invalid(str(error))
        accepted = self._accept(command, msgspec.Raw(document))
        self._patchable = patchable if is_large(document) else None
        return accepted

    def preparation_steps(self) -> Steps[None] | None:
        """Takes a large document apart, so that the next patch costs little; None if there is no need."""
        document = bytes(self.document)
        if self._patchable is not None or not is_large(document):
            return None
        return self._prepare(document)

    def _prepare(self, document: bytes) -> Steps[None]:
        version = self.version
        try:
            patchable = yield from patchable_steps(document)
        except ConfigurationError:
            return  # each patch of it is refused for the same reason
        if self.version == version and self._patchable is None:
            self._patchable = patchable

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces all content by that of the snapshot."""
        self.version = snapshot.version
        self.document = snapshot.document.copy()
        self.accepted_digests = dict(snapshot.accepted_digests)
        self.newest_forgotten_version = snapshot.newest_forgotten_version
        self._patchable = None

    def _result_by_version(self, command: PutConfiguration | PatchConfiguration) -> Result | None:
        """The result that follows from the versions alone, or None if the content may be accepted."""
        if self.has_accepted(command.version, command.digest):
            return Accepted(repeated=True)
        if command.version <= self.newest_forgotten_version:  # perhaps accepted: a rejection could be wrong
            return OutcomeUnknown()
        if command.base != self.version:
            return Conflict(self.version)
        if command.version <= self.version:
            return NotAbove(self.version)
        return None

    def _accept(self, command: PutConfiguration | PatchConfiguration, document: msgspec.Raw) -> Result:
        self.version = command.version
        self.document = document.copy()
        self._patchable = None
        self.accepted_digests[command.version] = command.digest
        forgotten = drop_oldest(self.accepted_digests, REMEMBERED_VERSIONS)
        self.newest_forgotten_version = max((self.newest_forgotten_version, *forgotten))
        self._changes.configuration = True
        return Accepted()
