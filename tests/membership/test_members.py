"""The membership protocol: what each message does, and fleets of it under loss, cuts, kills and restarts."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pewterring.lab.gossip import Fleet
from pewterring.membership.members import Members, Setup
from pewterring.membership.messages import MOST_BYTES, ROOM, Kind, Message, Rumour, State, read, write

FAST = Setup(period_s=0.5)


def member(me: int = 0, size: int = 4, life: int = 7) -> Members:
    return Members(me, size, life, random.Random(me), FAST)


def said(data: bytes) -> Message:
    message = read(data)
    assert message is not None
    return message


numbers = st.integers(0, 2**32 - 1)
rumours = st.builds(Rumour, st.integers(0, 2**16 - 1), numbers, numbers, st.sampled_from(State))
messages = st.builds(
    Message, st.sampled_from(Kind), numbers, numbers, numbers, st.integers(0, 2**16 - 1),
    st.lists(rumours, max_size=ROOM).map(tuple),
)  # fmt: skip


@given(messages)
def test_messages_come_back_as_they_were_and_fit(message: Message) -> None:
    data = write(message)
    assert len(data) <= MOST_BYTES
    assert read(data) == message


@given(messages, st.data())
def test_what_is_cut_or_spoilt_is_not_believed_in_part(message: Message, data: st.DataObject) -> None:
    whole = write(message)
    cut = whole[: data.draw(st.integers(0, len(whole) - 1))]
    there = member()
    before = dict(there.members)
    found = read(cut)
    if found is None:
        assert there.hear(1.0, 1, cut) == []
        assert there.members == before
    else:  # cut between two rumours: a message of its own
        assert found.rumours == message.rumours[: len(found.rumours)]


@given(st.integers(-3, 9), st.binary(max_size=300))
def test_hostile_bytes_raise_nothing(sender: int, data: bytes) -> None:
    there = member()
    there.tick(0.0)
    there.hear(0.5, sender, data)
    there.tick(1.0)
    assert set(there.members) <= set(range(4))
    assert 0 in there.alive()


def test_one_that_says_nothing_is_pressed_asked_for_suspected_and_declared() -> None:
    a = member()
    for n in (1, 2, 3):
        a.hear(0.0, n, write(Message(Kind.PING, 0, n, 1, 0)))
    probed = -1
    kinds: list[Kind] = []
    now = 0.0
    while a.state(1) != State.DEAD and now < 200:
        for to, data in a.tick(now):
            message = said(data)
            if to == 1 and message.kind == Kind.PING and message.sequence:
                probed = message.sequence
            if message.kind == Kind.ASK and message.about == 1:
                kinds.append(Kind.ASK)
                assert message.sequence == probed
                assert to in (2, 3)
            if message.kind == Kind.PING and to != 1:  # the others answer
                a.hear(now, to, write(Message(Kind.ACK, 0, to, message.sequence, to)))
        now = max(now + 1e-6, a.due())
    assert kinds
    assert [c.state for c in a.changes if c.member == 1] == [State.ALIVE, State.SUSPECT, State.DEAD]
    assert a.alive() == [0, 2, 3]


def test_a_suspect_refutes_with_a_higher_incarnation() -> None:
    a, b = member(0), member(1, life=9)
    a.hear(0.0, 1, write(Message(Kind.PING, 0, 9, 1, 0)))
    a.hold(1.0, 1, 0, 9, State.SUSPECT)
    ((to, ack),) = a.hear(1.1, 1, write(Message(Kind.PING, 0, 9, 2, 0)))
    assert to == 1
    assert Rumour(1, 0, 9, State.SUSPECT) in said(ack).rumours
    b.hear(1.2, 0, ack)
    assert b.incarnation == 1
    ((_, ping),) = b.hear(1.3, 0, write(Message(Kind.PING, 0, 7, 5, 1)))
    a.hear(1.4, 1, ping)
    assert a.state(1) == State.ALIVE
    assert a.members[1].incarnation == 1


def test_old_news_do_not_raise_the_dead() -> None:
    a = member()
    a.hold(0.0, 1, 4, 9, State.DEAD)
    for incarnation, state in ((3, State.ALIVE), (4, State.ALIVE), (4, State.SUSPECT), (2, State.LEFT)):
        a.rumour(1.0, Rumour(1, incarnation, 9, state))
        assert a.state(1) == State.DEAD
    a.rumour(1.0, Rumour(1, 5, 9, State.ALIVE))
    assert a.state(1) == State.ALIVE


def test_a_restart_that_has_forgotten_all_takes_its_place_again() -> None:
    a, again = member(0), member(1, life=99)
    a.hold(0.0, 1, 6, 9, State.ALIVE)  # its former life, in good standing
    ((_, ack),) = a.hear(1.0, 1, write(Message(Kind.PING, 0, 99, 1, 0)))
    assert a.members[1].life == 9  # old incarnations override nothing
    again.hear(1.1, 0, ack)
    assert again.incarnation == 7
    assert again.conflicts == 0
    ((_, told),) = again.hear(1.2, 0, write(Message(Kind.PING, 0, 7, 2, 1)))
    a.hear(1.3, 1, told)
    assert (a.members[1].life, a.state(1)) == (99, State.ALIVE)


def test_two_under_one_name_are_noticed() -> None:
    one = member(1, life=10)
    one.rumour(0.0, Rumour(1, 0, 20, State.ALIVE))
    assert one.conflicts == 0  # a former life, perhaps
    one.rumour(1.0, Rumour(1, 2, 20, State.ALIVE))  # which speaks anew
    assert one.conflicts == 1
    assert one.incarnation == 3


def test_who_leaves_is_gone_at_once_and_says_no_more() -> None:
    a, b = member(0), member(1)
    a.hear(0.0, 1, write(Message(Kind.PING, 0, 7, 1, 0)))
    b.hear(0.0, 0, write(Message(Kind.PING, 0, 7, 1, 1)))
    ((to, bye),) = b.leave(1.0)
    a.hear(1.1, 1, bye)
    assert to == 0
    assert a.state(1) == State.LEFT
    assert a.alive() == [0]
    assert b.tick(2.0) == []
    assert b.hear(2.0, 0, write(Message(Kind.PING, 0, 7, 3, 1))) == []


def test_a_clock_that_steps_harms_nothing() -> None:
    a = member()
    a.hear(100.0, 1, write(Message(Kind.PING, 0, 1, 1, 0)))
    a.tick(100.0)
    a.tick(3.0)  # back
    a.hear(4.0, 1, write(Message(Kind.PING, 0, 1, 2, 0)))
    a.tick(10_000.0)  # forward: at worst a suspicion, which the next contact lets it refute
    assert a.state(1) in (State.ALIVE, State.SUSPECT)


@pytest.mark.parametrize("loss", [0.0, 0.33])
def test_a_fleet_agrees_and_declares_no_live_one_dead(loss: float) -> None:
    fleet = Fleet(30, 1, loss, setup=FAST)
    fleet.run(60)
    assert fleet.wrong() == (0, 0)
    assert fleet.declared(0) == 0
    sent = fleet.sent
    fleet.run(20)
    assert (fleet.sent - sent) / 20 / 30 < 12  # messages a second and instance
    fleet.kill(7)
    fleet.run(60)
    assert fleet.wrong() == (0, 0)
    fleet.start(7)  # it has forgotten everything
    fleet.run(30)
    assert fleet.wrong() == (0, 0)


def test_a_cut_heals() -> None:
    fleet = Fleet(12, 2, 0.1, setup=FAST)
    fleet.run(30)
    for n in range(4):
        fleet.side[n] = 1
    fleet.run(60)
    assert [len(v) for v in fleet.views()] == [4] * 4 + [8] * 8  # each side holds the other for dead
    fleet.side = [0] * 12
    fleet.run(60)
    assert fleet.wrong() == (0, 0)


def test_load_does_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (5, 60):
        fleet = Fleet(size, 3, 0.0, setup=FAST)
        fleet.run(40)
        before = fleet.sent
        fleet.run(20)
        rates.append((fleet.sent - before) / 20 / size)
    assert rates[1] < rates[0] * 1.2


def test_wrong_figures_are_named() -> None:
    with pytest.raises(ValueError, match="period_s must be above 0"):
        Setup(period_s=0.0)
    with pytest.raises(ValueError, match="member 4 of 4"):
        member(4)
