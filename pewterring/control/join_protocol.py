"""How a machine becomes a member of the control group: it asks again and again, and the leader takes note.

Owns no state of its own; the leader's notes are `JoinRequests`, from which the membership planner chooses.
What may go wrong: messages are lost or reach followers, which forward them once; hence the repetition.
"""

import asyncio

from pewterring.consensus.group import ReplicatedGroup
from pewterring.control.join_requests import JoinRequests
from pewterring.control.leader_tasks import control_ips
from pewterring.control.leadership import GroupLeadership
from pewterring.control.messages import JoinGroup
from pewterring.node.settings import NodeSettings
from pewterring.transport.lines import LinkPool

JOIN_INTERVAL_S = 0.5  # between requests to join; the leader forgets one that is not repeated within 2 s
# The same for a member that no leader has let in yet. Until the first voters are 2f + 1 the group tolerates
# fewer losses than it should, and requests that come before there is a leader are lost.
FIRST_JOIN_INTERVAL_S = 0.1


class JoinProtocol:
    """Both sides of joining: requests of this member, and those that others send to this machine.

    `settings` may be replaced while it runs: a member that is not a voter asks the seeds that they name.
    """

    def __init__(
        self,
        settings: NodeSettings,
        group: ReplicatedGroup,
        leadership: GroupLeadership,
        links: LinkPool,
        requests: JoinRequests,
    ) -> None:
        self.settings = settings
        self._group = group
        self._leadership = leadership
        self._links = links
        self._requests = requests

    @property
    def is_voter(self) -> bool:
        """Whether this member counts, as far as it knows. One that was removed meanwhile hears no leader."""
        return self._group.leader is not None and self._group.member in self._group.membership.voters

    async def run(self) -> None:
        """Asks all known control machines for admission while this member is no voter, until cancelled."""
        while True:
            if not self.is_voter:
                for ip in sorted(self._known_control_ips() - {self.settings.ip}):
                    self._links.send(ip, JoinGroup(self._group.member))
            has_joined = self._group.leader is not None
            await asyncio.sleep(JOIN_INTERVAL_S if has_joined else FIRST_JOIN_INTERVAL_S)

    def receive(self, now: float, message: JoinGroup) -> None:
        """Notes another member's request as the leader, or forwards it to the leader, once."""
        if self._leadership.ready:
            self._requests.record(now, message.member)
        elif not message.forwarded and self._leadership.leader_ip not in ("", self.settings.ip):
            self._links.send(self._leadership.leader_ip, JoinGroup(message.member, forwarded=True))

    def _known_control_ips(self) -> set[str]:
        return {seed.ip for seed in self.settings.seeds} | control_ips(self._group.membership)
