"""Messages between gatekeepers in the emulator: delay, loss, and what each takes in."""

from pewterring.lab.host import Host
from pewterring.lab.surroundings import Surroundings
from pewterring.standalone.policy import interface as i


class PeerNetwork:
    """Carries messages. Faults change `loss` and `delay_s`."""

    def __init__(self, world: Surroundings) -> None:
        self.loss = world.scenario.network.peer_loss
        self.delay_s = 0.0  # beyond the usual
        self._world = world
        self._usual_s = world.scenario.network.peer_s
        self._intake = world.scenario.gatekeepers.mail_per_s

    def send(self, host: Host, action: i.Tell) -> None:
        """Sends a message to one gatekeeper or to all others."""
        world = self._world
        world.rules.message(world.engine.now, host.number, action.data)
        message = i.PeerMessage(host.number, action.data)
        others = (
            [each for each in world.hosts if each is not host]
            if action.peer is None
            else [world.hosts[action.peer]]
        )
        world.account.counts["messages"] += len(others)
        for other in others:
            if self.loss and host.stream.uniform() < self.loss:
                continue
            after_s = host.stream.uniform(*self._usual_s) + self.delay_s
            world.engine.after(after_s, self._receive, host.zone, other, message)

    def _receive(self, zone: str, host: Host, message: i.PeerMessage) -> None:
        world = self._world
        if not host.up or (world.cut and not world.reaches(zone, host.zone)):
            return
        now = world.engine.now
        tokens = min(max(1.0, self._intake), host.tokens + (now - host.token_at) * self._intake)
        host.token_at = now
        if tokens < 1.0:
            host.tokens = tokens
            world.account.counts["messages_dropped"] += 1
            return
        host.tokens = tokens - 1.0
        world.account.counts["message_bytes"] += len(message.data)
        world.turn(host, host.life, world.tell, message)
