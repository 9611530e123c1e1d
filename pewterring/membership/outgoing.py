"""Builds an instance's datagrams with piggybacked updates."""

import math
from typing import NamedTuple

from pewterring.membership.instance import Instance
from pewterring.membership.messages import MAX_UPDATES, Kind, MemberUpdate, Message, encode


class Datagram(NamedTuple):
    """The bytes to be sent to the member with the number `target`."""

    target: int
    data: bytes


class MessageBuilder:
    """Builds the messages of one instance, each with the updates that were sent least often."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    def build(self, kind: Kind, sequence: int, about: int, target: int, first: int | None = None) -> Datagram:
        """Builds a message to `target`. The update about member `first`, if any, is always included."""
        identity = self._instance.identity
        updates = tuple(self._updates(first))
        message = Message(kind, identity.incarnation, identity.start_id, sequence, about, updates)
        return Datagram(target, encode(message))

    def _updates(self, first: int | None) -> list[MemberUpdate]:
        instance = self._instance
        known = instance.members.by_number
        updates = [known[first].update()] if first is not None and first in known else []
        sends = instance.settings.retransmit_factor * instance.members.scale / instance.loss.delivery
        for number in instance.members.queue.take(MAX_UPDATES, math.ceil(sends)):
            if number == instance.identity.number:
                updates.append(instance.identity.update())
            elif number != first and number in known:
                updates.append(known[number].update())
        return updates
