"""The report on a partition's group that its leader sends to control."""

from pewterring.consensus.group import ReplicatedGroup
from pewterring.distribution.messages import GroupStatus


def status_of(group: ReplicatedGroup, now: float) -> GroupStatus | None:
    """The leader's report on its group; None if this store does not lead or holds no lease.

    While a membership change is not committed, no member is reported as complete. A later leader may revert
    the change and then needs the member that was to leave: when a machine was removed because of such a
    report and one more was lost, a group of four was left with two members.
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
