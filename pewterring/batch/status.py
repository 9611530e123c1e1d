"""What the leader of a partition reports of its group to control."""

from pewterring.consensus.group import ReplicatedGroup
from pewterring.distribution.messages import GroupStatus


def status_of(group: ReplicatedGroup, now: float) -> GroupStatus | None:
    """What the leader reports of its group; None elsewhere.

    While a change of members is not committed nobody counts as complete. A later leader may take the change
    back, and a member that was to leave is needed then: a machine that was removed because of such a report,
    with the loss of one more, left a group of four with two.
    """
    if not group.is_leader or not group.has_lease(now):
        return None
    membership = group.membership
    commit = group.commit_index
    complete: tuple[str, ...] = ()
    if group.membership_is_committed:
        complete = tuple(voter for voter in membership.voters if group.match(voter) >= commit)
    return GroupStatus(
        group=group.group,
        term=group.term,
        commit=commit,
        leader=group.member,
        voters=membership.voters,
        learners=membership.learners,
        complete=complete,
    )
