"""How a machine becomes a member of the control group: it repeats a join request, which the leader records.

The leader records requests in `JoinRequests`, from which the membership planner chooses candidates. Requests
are repeated because they may be lost, and followers forward them only once.
"""

import asyncio

from pewterring.consensus.group import ReplicatedGroup
from pewterring.control.join_requests import JoinRequests
from pewterring.control.leader_tasks import control_ips
from pewterring.control.leadership import GroupLeadership
from pewterring.control.messages import JoinGroup
from pewterring.node.settings import NodeSettings
from pewterring.transport.lines import LinkPool

JOIN_INTERVAL_S = 0.5  # between join requests; the leader forgets one that is not repeated within 2 s
# Interval between join requests of a member that knows no leader yet. It is short because the group tolerates
# fewer losses than intended until it has 2f + 1 voters, and requests sent before the election are lost.
FIRST_JOIN_INTERVAL_S = 0.1


class JoinProtocol:
    """Sends the join requests of this member, and handles those that other members send to this machine.

    `settings` may be replaced while it runs; the seeds in them receive the join requests.
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
        """Whether this member believes that it is a voter. A member that was removed follows no leader."""
        return self._group.leader is not None and self._group.member in self._group.membership.voters

    async def run(self) -> None:
        """Sends join requests to all known control machines while this member is no voter. Never returns."""
        while True:
            if not self.is_voter:
                for ip in sorted(self._known_control_ips() - {self.settings.ip}):
                    self._links.send(ip, JoinGroup(self._group.member))
            has_joined = self._group.leader is not None
            await asyncio.sleep(JOIN_INTERVAL_S if has_joined else FIRST_JOIN_INTERVAL_S)

    def receive(self, now: float, message: JoinGroup) -> None:
        """Records another member's request if this member leads, else forwards it once to the leader."""
        if self._leadership.ready:
            self._requests.record(now, message.member)
        elif not message.forwarded and self._leadership.leader_ip not in ("", self.settings.ip):
            self._links.send(self._leadership.leader_ip, JoinGroup(message.member, forwarded=True))

    def _known_control_ips(self) -> set[str]:
        return {seed.ip for seed in self.settings.seeds} | control_ips(self._group.membership)
