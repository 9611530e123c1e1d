"""Which validations of large documents are done, shared, remembered or refused."""

import asyncio
import contextlib

import pytest

from pewterring.configuration.errors import ConfigurationError
from pewterring.configuration.steps import Steps
from pewterring.configuration.validation import ValidatedDocument, configuration_steps
from pewterring.control.document_validator import MAX_WAITING, REMEMBERED_OUTCOMES, DocumentValidator
from pewterring.control.errors import TooManyDocumentsError
from tests.configuration.documents import encoded

VALID, INVALID = encoded(), encoded(routes=None)


class CountedValidation:
    """Validates documents, one turn of the event loop each, and counts how many run at once and in all."""

    def __init__(self) -> None:
        self.begun = 0
        self.running = 0
        self.most_at_once = 0

    def __call__(self, document: bytes) -> Steps[ValidatedDocument]:
        self.begun += 1
        self.running += 1
        self.most_at_once = max(self.most_at_once, self.running)
        try:
            yield
            return (yield from configuration_steps(document))
        finally:
            self.running -= 1


def test_a_validation_goes_on_when_its_call_has_ended() -> None:
    async def scenario() -> None:
        validator, validation = DocumentValidator(), CountedValidation()
        for _ in range(5):
            call = asyncio.create_task(validator.validate(validation, VALID))
            await asyncio.sleep(0)
            call.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await call
        assert (await validator.validate(validation, VALID)).version == 7
        assert validation.begun == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("document", [VALID, INVALID])
def test_outcomes_are_remembered(document: bytes) -> None:
    async def scenario() -> None:
        validator, validation = DocumentValidator(), CountedValidation()
        outcomes = []
        for _ in range(2):
            try:
                outcomes.append(str(await validator.validate(validation, document)))
            except ConfigurationError as error:
                outcomes.append(str(error))
        assert outcomes[0] == outcomes[1]
        assert validation.begun == 1

    asyncio.run(scenario())


def test_an_outcome_belongs_to_one_kind_of_validation() -> None:
    async def scenario() -> None:
        validator, first, second = DocumentValidator(), CountedValidation(), CountedValidation()
        await validator.validate(first, VALID)
        await validator.validate(second, VALID)
        assert (first.begun, second.begun) == (1, 1)

    asyncio.run(scenario())


def test_one_document_is_validated_at_a_time_and_too_many_are_refused() -> None:
    async def scenario() -> None:
        validator, validation = DocumentValidator(), CountedValidation()
        documents = [encoded(version=version) for version in range(1, MAX_WAITING + 2)]
        waiting = (validator.validate(validation, document) for document in documents)
        *accepted, refused = await asyncio.gather(*waiting, return_exceptions=True)
        assert all(isinstance(each, ValidatedDocument) for each in accepted)
        assert isinstance(refused, TooManyDocumentsError)
        assert validation.most_at_once == 1
        assert (await validator.validate(validation, documents[-1])).version == MAX_WAITING + 1

    asyncio.run(scenario())


def test_the_oldest_outcome_is_forgotten() -> None:
    async def scenario() -> None:
        validator, validation = DocumentValidator(), CountedValidation()
        for version in range(REMEMBERED_OUTCOMES + 1):
            await validator.validate(validation, encoded(version=version))
        await validator.validate(validation, encoded(version=0))
        assert validation.begun == REMEMBERED_OUTCOMES + 2

    asyncio.run(scenario())
