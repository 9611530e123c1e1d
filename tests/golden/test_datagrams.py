"""Datagrams of membership, admission, routing and the older gateway's peers: encoded and decoded exactly."""

import pytest

from pewterring.admission.digests import FLEET_MAGIC, GROUP_MAGIC, read_digest
from pewterring.routing.load_report import Load, parse_load
from tests.golden.datagram_cases import CASES, GOLDEN_FILE, Case, encoded, relayed_datagrams
from tests.golden.golden_files import read_hex_lines

GOLDEN = read_hex_lines(GOLDEN_FILE)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_a_message_is_encoded_to_the_golden_bytes(case: Case) -> None:
    assert case.encode() == GOLDEN[case.name]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_the_golden_bytes_are_decoded_to_the_message(case: Case) -> None:
    assert case.decode(GOLDEN[case.name]) == case.expected


def test_a_relay_sends_the_golden_datagrams() -> None:
    sent = relayed_datagrams()
    assert sent == {name: data for name, data in GOLDEN.items() if name.startswith("relay-")}
    read = [message.magic for data in sent.values() if (message := read_digest(data)) is not None]
    assert {GROUP_MAGIC, FLEET_MAGIC} == set(read)


def test_the_golden_file_holds_these_messages_and_no_other() -> None:
    assert list(GOLDEN) == list(encoded())


@pytest.mark.parametrize(
    ("value", "load"),
    [(b"3,2", Load(3, 2)), (b"0,0", Load(0, 0)), (b" 3 , 2 ,7", Load(3, 2)), (b"3", None), (None, None)],
)
def test_a_load_report_is_two_numbers_with_a_comma(value: bytes | None, load: Load | None) -> None:
    assert parse_load(value) == load
