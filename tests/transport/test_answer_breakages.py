"""Guards that tie answers to their requests, each taken out: the tests of resets and surplus notice it."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from pewterring.transport import http_connection
from pewterring.transport.channel import Channel
from pewterring.transport.http_client import AddressConnections
from pewterring.transport.http_connection import WorkerConnection
from pewterring.transport.http_exchange import StaleConnectionError
from pewterring.transport.line_codec import MessageCodec
from tests.gateway import test_worker_resets as live
from tests.transport import test_http_resets as http
from tests.transport import test_line_resets as lines
from tests.transport.scripted import Ending, ScriptedTransport

Break = Callable[[pytest.MonkeyPatch], None]


def request_ids_come_back(patch: pytest.MonkeyPatch) -> None:
    """A channel numbers its requests from a counter that wraps at once."""

    def init(channel: Channel, *arguments: Any) -> None:
        made(channel, *arguments)
        channel._request_ids = itertools.cycle([1])  # type: ignore[assignment]

    made = Channel.__init__
    patch.setattr(Channel, "__init__", init)


def wait_given_up_but_connection_kept(patch: pytest.MonkeyPatch) -> None:
    """An exchange that is given up returns its connection to the pool."""

    def cancel(connection: WorkerConnection) -> None:
        connection._exchange = None
        connection._owner.release(connection, None)

    patch.setattr(WorkerConnection, "cancel", cancel)


def unsafe_call_sent_again(patch: pytest.MonkeyPatch) -> None:
    """A used connection that is lost is taken as proof that the request never arrived."""
    patch.setattr(StaleConnectionError, "sent", False)


def early_answer_cuts_the_body(patch: pytest.MonkeyPatch) -> None:
    """At the end of an answer the rest of the body is dropped and the connection is used again."""

    def release(self: AddressConnections, connection: WorkerConnection, keep_alive_s: int | None) -> None:
        assert isinstance(connection.transport, ScriptedTransport)
        connection.transport._waiting = b""
        connection.transport._room = None
        kept(self, connection, keep_alive_s)

    kept = AddressConnections.release
    patch.setattr(AddressConnections, "release", release)
    patch.setattr(WorkerConnection, "_can_be_reused", lambda _connection, _exchange, _head: True)


def surplus_ignored(patch: pytest.MonkeyPatch) -> None:
    """A connection with bytes after a whole answer is used again."""
    patch.setattr(WorkerConnection, "_can_be_reused", lambda _connection, _exchange, _head: True)


def answers_taken_as_they_come(patch: pytest.MonkeyPatch) -> None:
    """An answer is taken whatever id it shows."""
    patch.setattr(http_connection, "may_belong", lambda _head, _request, _reused: True)


def unnamed_answers_taken(patch: pytest.MonkeyPatch) -> None:
    """An answer without an id counts as one that shows the right one."""
    patch.setattr(http_connection, "names_request", lambda _head, _request: True)


def reset_ends_an_answer(patch: pytest.MonkeyPatch) -> None:
    """A reset is taken for an end in good order."""

    def connection_lost(connection: WorkerConnection, _exc: Exception | None) -> None:
        if connection._exchange is not None:
            connection._reader.end_of_input()
            connection._check_end()

    patch.setattr(WorkerConnection, "connection_lost", connection_lost)


def strangers_heard(patch: pytest.MonkeyPatch) -> None:
    """The first line of a peer is not looked at."""
    patch.setattr(MessageCodec, "check_greeting", lambda _codec, _line: None)


def half_a_line_handled(patch: pytest.MonkeyPatch) -> None:
    """What came of a line when the connection ends is handled."""
    ended = Channel._end

    def end(channel: Channel, reason: str) -> None:
        partial, channel._partial = bytes(channel._partial), bytearray()
        if partial and channel._greeted:
            channel._receive(partial)
        ended(channel, reason)

    patch.setattr(Channel, "_end", end)


@dataclass(frozen=True)
class Case:
    """A breakage and the test that must notice it."""

    breakage: Break
    test: Callable[[], None]


def reused_cut() -> None:
    live.test_an_answer_truncated_at_any_byte_is_no_reason_to_send_again(
        "non-idempotent", live.OK, Ending.RESET, True
    )


CASES = [
    Case(request_ids_come_back, lines.test_a_late_answer_meets_no_other_request),
    Case(wait_given_up_but_connection_kept, http.test_a_wait_that_is_given_up_takes_the_connection_along),
    Case(unsafe_call_sent_again, reused_cut),
    Case(early_answer_cuts_the_body, lambda: http.test_an_early_answer_leaves_the_body_its_place("success")),
    Case(surplus_ignored, lambda: http.test_bytes_after_a_whole_answer_end_the_connection("doubled")),
    Case(
        answers_taken_as_they_come,
        lambda: http.test_a_late_surplus_answer_is_not_taken_for_the_next_one("of another request"),
    ),
    Case(unnamed_answers_taken, http.test_a_connection_whose_answer_names_no_request_is_not_used_again),
    Case(
        reset_ends_an_answer,
        lambda: http.test_an_answer_cut_at_any_byte_is_not_whole("until the close", Ending.RESET, False),
    ),
    Case(
        strangers_heard,
        lambda: lines.test_a_stranger_is_cut_off_with_one_line_and_nothing_taken("another cluster"),
    ),
    Case(
        half_a_line_handled,
        lambda: lines.test_a_request_cut_at_any_byte_is_handled_whole_or_not_at_all(Ending.CLOSE),
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.breakage.__name__)
def test_a_guard_taken_out_is_noticed(case: Case) -> None:
    case.test()
    with pytest.MonkeyPatch.context() as patch:
        case.breakage(patch)
        with pytest.raises(AssertionError):
            case.test()
