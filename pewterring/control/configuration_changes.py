"""Handles the calls that change the configuration, at the leader of the control group.

Small documents are validated at once. Large ones are validated between other events and taken one after the
other, each with its commit: of several changes to one version, the first one is validated and committed, and
the others are refused by their versions alone, without being read or written to the log.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.json_parts import DECODE_ERRORS
from pewterring.configuration.steps import complete, is_large
from pewterring.configuration.validation import (
    ValidatedDocument,
    configuration_steps,
    validated_patch_steps,
)
from pewterring.control.calls import ACKNOWLEDGED, Answer, Call, error_answer, read_base_version
from pewterring.control.commands import (
    Command,
    Conflict,
    Invalid,
    NotAbove,
    OutcomeUnknown,
    PatchConfiguration,
    PutConfiguration,
    Result,
)
from pewterring.control.document_validator import DocumentValidator, Validation
from pewterring.control.errors import TooManyDocumentsError
from pewterring.control.leadership import Leadership
from pewterring.control.state import ControlState


@dataclass(frozen=True, slots=True)
class ChangeForm:
    """How one form of change is validated, and the command that commits it on a base version."""

    validation: Validation
    command: Callable[[int, int, str, msgspec.Raw], Command]


REPLACEMENT = ChangeForm(configuration_steps, PutConfiguration)
PATCH = ChangeForm(validated_patch_steps, PatchConfiguration)  # its result is validated when it is applied


class _Version(msgspec.Struct):
    """The only field of a document that is needed to refuse an outdated one."""

    version: int


class ConfigurationChanges:
    """Validates and commits configurations and patches. Repeated calls get the same answer."""

    def __init__(self, state: ControlState, leadership: Leadership) -> None:
        self._state = state
        self._leadership = leadership
        self._validator = DocumentValidator()
        self._one_large_at_a_time = asyncio.Lock()

    async def change(self, call: Call, form: ChangeForm) -> Answer:
        """Answers a call that changes the configuration.

        Raises:
            ControlError: This machine does not lead, or the outcome of the command is not known.
        """
        base = read_base_version(call.base_version)
        if base is None:
            return error_answer(400, "Base-Version is not a number")
        try:
            if is_large(call.body):
                return await self._change_large(base, form, call.body)
            return await self._commit(base, form, complete(form.validation(call.body)))
        except ConfigurationError as error:
            return error_answer(400, str(error))
        except TooManyDocumentsError:
            return error_answer(503, "too many large documents at once")

    async def _change_large(self, base: int, form: ChangeForm, document: bytes) -> Answer:
        async with self._one_large_at_a_time:
            version = _version(document)
            if version is not None and self._state.is_outdated(base, version):
                return await self._outdated()
            validated = await self._validator.validate(form.validation, document)
            if self._state.is_outdated(base, validated.version, validated.digest):
                return await self._outdated()
            return await self._commit(base, form, validated)

    async def _outdated(self) -> Answer:
        """The answer that the log would give; no entry is needed, since it can never be another one."""
        await self._leadership.read_barrier()
        return _answer(Conflict(self._state.version))

    async def _commit(self, base: int, form: ChangeForm, validated: ValidatedDocument) -> Answer:
        # Such a call is never accepted, so it repeats no accepted call, even if its document was accepted.
        if validated.version <= base:
            return error_answer(400, f"version: not above Base-Version {base}")
        if self._state.has_accepted(validated.version, validated.digest):  # a repetition needs no log entry
            await self._leadership.read_barrier()
            return ACKNOWLEDGED
        command = form.command(base, validated.version, validated.digest, msgspec.Raw(validated.document))
        return _answer(await self._leadership.propose(command))


def _version(document: bytes) -> int | None:
    """The version that a document states; None if it can't be told, and validation has to say why."""
    try:
        return msgspec.json.decode(document, type=_Version).version
    except DECODE_ERRORS:
        return None


def _answer(result: Result) -> Answer:
    if isinstance(result, Conflict):
        return error_answer(412, f"version {result.current} is current")
    if isinstance(result, NotAbove):
        return error_answer(400, f"version: not above {result.current}")
    if isinstance(result, Invalid):
        return error_answer(400, result.reason)
    if isinstance(result, OutcomeUnknown):
        return error_answer(503, "too old to tell whether it was taken")
    return ACKNOWLEDGED
