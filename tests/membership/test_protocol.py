"""The membership protocol of one instance: the effect of each message and timeout."""

from pewterring.membership.messages import Kind, MemberUpdate, Message, State, encode
from tests.membership.instances import decoded, instance, ping


def test_a_member_that_does_not_answer_is_probed_indirectly_suspected_and_declared_dead() -> None:
    prober = instance()
    for sender in (1, 2, 3):
        prober.receive(0.0, sender, ping(sender, 1, 0))
    probed = -1
    kinds: list[Kind] = []
    now = 0.0
    while prober.state(1) != State.DEAD and now < 200:
        for target, data in prober.tick(now):
            message = decoded(data)
            if target == 1 and message.kind == Kind.PING and message.sequence:
                probed = message.sequence
            if message.kind == Kind.PING_REQUEST and message.about == 1:
                kinds.append(Kind.PING_REQUEST)
                assert message.sequence == probed
                assert target in (2, 3)
            if message.kind == Kind.PING and target != 1:  # the others answer
                ack = encode(Message(Kind.ACK, 0, target, message.sequence, target))
                prober.receive(now, target, ack)
        now = max(now + 1e-6, prober.due())
    assert kinds
    updates = [change.update for change in prober.members.changes]
    states = [update.state for update in updates if update.member == 1]
    assert states == [State.ALIVE, State.SUSPECT, State.DEAD]
    assert prober.present() == [0, 2, 3]


def test_a_suspect_refutes_with_a_higher_incarnation() -> None:
    observer, suspect = instance(0), instance(1, start_id=9)
    observer.receive(0.0, 1, ping(9, 1, 0))
    observer.members.apply(1.0, MemberUpdate(1, 0, 9, State.SUSPECT))
    ((target, ack),) = observer.receive(1.1, 1, ping(9, 2, 0))
    assert target == 1
    assert MemberUpdate(1, 0, 9, State.SUSPECT) in decoded(ack).updates
    suspect.receive(1.2, 0, ack)
    assert suspect.identity.incarnation == 1
    ((_, answer),) = suspect.receive(1.3, 0, ping(7, 5, 1))
    observer.receive(1.4, 1, answer)
    assert observer.state(1) == State.ALIVE
    assert observer.members.by_number[1].incarnation == 1


def test_stale_updates_do_not_revive_dead_members() -> None:
    observer = instance()
    observer.members.apply(0.0, MemberUpdate(1, 4, 9, State.DEAD))
    for incarnation, state in ((3, State.ALIVE), (4, State.ALIVE), (4, State.SUSPECT), (2, State.LEFT)):
        observer.apply(1.0, MemberUpdate(1, incarnation, 9, state))
        assert observer.state(1) == State.DEAD
    observer.apply(1.0, MemberUpdate(1, 5, 9, State.ALIVE))
    assert observer.state(1) == State.ALIVE


def test_a_restarted_instance_without_state_takes_over_its_number() -> None:
    observer, restarted = instance(0), instance(1, start_id=99)
    observer.members.apply(0.0, MemberUpdate(1, 6, 9, State.ALIVE))  # its earlier start, known as alive
    ((_, ack),) = observer.receive(1.0, 1, ping(99, 1, 0))
    assert observer.members.by_number[1].start_id == 9  # old incarnations override nothing
    restarted.receive(1.1, 0, ack)
    assert restarted.identity.incarnation == 7
    assert restarted.conflicts == 0
    ((_, answer),) = restarted.receive(1.2, 0, ping(7, 2, 1))
    observer.receive(1.3, 1, answer)
    assert (observer.members.by_number[1].start_id, observer.state(1)) == (99, State.ALIVE)


def test_two_instances_with_one_number_are_detected() -> None:
    later = instance(1, start_id=10)
    later.apply(0.0, MemberUpdate(1, 0, 20, State.ALIVE))
    assert later.conflicts == 0  # may be an earlier start
    later.apply(1.0, MemberUpdate(1, 2, 20, State.ALIVE))  # an earlier start cannot raise its incarnation
    assert later.conflicts == 1
    assert later.identity.incarnation == 3


def test_an_instance_that_leaves_is_removed_at_once_and_stops_sending() -> None:
    observer, leaving = instance(0), instance(1)
    observer.receive(0.0, 1, ping(7, 1, 0))
    leaving.receive(0.0, 0, ping(7, 1, 1))
    ((target, departure),) = leaving.leave()
    observer.receive(1.1, 1, departure)
    assert target == 0
    assert observer.state(1) == State.LEFT
    assert observer.present() == [0]
    assert leaving.tick(2.0) == []
    assert leaving.receive(2.0, 0, ping(7, 3, 1)) == []


def test_a_clock_step_kills_no_member() -> None:
    observer = instance()
    observer.receive(100.0, 1, ping(1, 1, 0))
    observer.tick(100.0)
    observer.tick(3.0)  # back
    observer.receive(4.0, 1, ping(1, 2, 0))
    observer.tick(10_000.0)  # forward: at worst a suspicion, which can be refuted
    assert observer.state(1) in (State.ALIVE, State.SUSPECT)
