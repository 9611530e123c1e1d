"""Instances of the membership protocol, and messages from other members, for tests."""

import random

from pewterring.membership.messages import Kind, Message, decode, encode
from pewterring.membership.protocol import MembershipProtocol
from pewterring.membership.settings import ProtocolSettings

FAST = ProtocolSettings(period_s=0.5)


def instance(number: int = 0, size: int = 4, start_id: int = 7) -> MembershipProtocol:
    return MembershipProtocol(number, size, start_id, random.Random(number), FAST)


def ping(start_id: int, sequence: int, about: int) -> bytes:
    """A ping from a sender with incarnation 0."""
    return encode(Message(Kind.PING, 0, start_id, sequence, about))


def decoded(data: bytes) -> Message:
    message = decode(data)
    assert message is not None
    return message
