"""Encoding of messages: round trips, and rejection of truncated or hostile datagrams."""

from hypothesis import given
from hypothesis import strategies as st

from pewterring.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_NUMBER,
    MAX_UPDATES,
    Kind,
    MemberUpdate,
    Message,
    State,
    decode,
    encode,
)
from tests.membership.instances import instance

numbers = st.integers(0, MAX_NUMBER)
member_numbers = st.integers(0, 2**16 - 1)
updates = st.builds(MemberUpdate, member_numbers, numbers, numbers, st.sampled_from(State))
messages = st.builds(
    Message, st.sampled_from(Kind), numbers, numbers, numbers, member_numbers,
    st.lists(updates, max_size=MAX_UPDATES).map(tuple),
)  # fmt: skip


@given(messages)
def test_messages_survive_a_round_trip_and_fit(message: Message) -> None:
    data = encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == message


@given(messages, st.data())
def test_a_truncated_message_is_not_applied_partially(message: Message, data: st.DataObject) -> None:
    complete = encode(message)
    truncated = complete[: data.draw(st.integers(0, len(complete) - 1))]
    receiver = instance()
    before = dict(receiver.members.by_number)
    found = decode(truncated)
    if found is None:
        assert receiver.receive(1.0, 1, truncated) == []
        assert receiver.members.by_number == before
    else:  # truncated between two updates: a valid shorter message
        assert found.updates == message.updates[: len(found.updates)]


@given(st.integers(-3, 9), st.binary(max_size=300))
def test_hostile_bytes_raise_nothing(sender: int, data: bytes) -> None:
    receiver = instance()
    receiver.tick(0.0)
    receiver.receive(0.5, sender, data)
    receiver.tick(1.0)
    assert set(receiver.members.by_number) <= set(range(4))
    assert 0 in receiver.present()
