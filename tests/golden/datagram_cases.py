"""Every datagram that processes send each other, built with all fields set and with defaults.

This is the one place where instances are built and codecs are named. Numbers are such that 16-bit and 32-bit
floats hold them exactly.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from pewterring.admission import datagram, digests
from pewterring.admission.batch import BatchAdmission
from pewterring.admission.relay_exchange import RelayExchange
from pewterring.admission.relay_plan import HeartbeatSender, make_plan
from pewterring.membership import messages as membership
from pewterring.routing import prompt_hints
from pewterring.standalone import peer_messages as peers

GOLDEN_FILE = "datagrams.txt"
INCARNATION = 0x89ABCDEF
BEAT = peers.Heartbeat(INCARNATION, 0x01020304, 12.5, 7, 3.25, 9.75)
LEAST_BEAT = peers.Heartbeat(0, 0, 0.0, 0, 0.0, 0.0)
NEWS = (
    peers.QuotaUsage(0x0102030405060708, 0xABCD, 3, 1, 0.25, -0.5),
    peers.QuotaUsage(0xFFFFFFFFFFFFFFFF, 0xFFFF, 65535, 65535, 32.767, -32.767),
)
LIMITS = (1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 7.5)
DIGEST = digests.Digest(9, LIMITS, 10.5, 20.25, 30.75, 4.5)
SMALL_DIGEST = digests.Digest(1, (8.0,), 1.0, 2.0, 3.0, 0.0)
TOTALS = digests.Totals(65535, 64.5, 10.5, 20.25, 30.75, 4.5)
NO_TOTALS = digests.Totals(0, 0.0, 0.0, 0.0, 0.0, 0.0)


@dataclass(frozen=True)
class Case:
    """One message as a value and the codec that the product uses. `expected` is what its bytes decode to."""

    name: str
    encode: Callable[[], bytes]
    decode: Callable[[bytes], Any]
    expected: Any


MEMBERSHIP_NAMES = {
    membership.Kind.PING: "membership-ping",
    membership.Kind.ACK: "membership-ack",
    membership.Kind.PING_REQUEST: "membership-ask",
    membership.Kind.LEAVE: "membership-leave",
}


def _membership() -> list[Case]:
    updates = tuple(
        membership.MemberUpdate(0x0102 + state, 0x01020304, INCARNATION, state) for state in membership.State
    )
    messages = {
        name: membership.Message(kind, 0x01020304, INCARNATION, 0x0A0B0C0D, 0x1122, updates)
        for kind, name in MEMBERSHIP_NAMES.items()
    }
    messages["membership-no-rumours"] = membership.Message(membership.Kind.PING, 0, 0, 0, 0)
    messages["membership-most-rumours"] = membership.Message(
        membership.Kind.ACK, 1, 2, 3, 4, (updates[1],) * membership.MAX_UPDATES
    )
    return [
        Case(name, partial(membership.encode, message), membership.decode, message)
        for name, message in messages.items()
    ]


def _peer_questions() -> list[Case]:
    messages: dict[str, peers.QuotaRequest | peers.QuotaGrant | peers.QuotaRelease] = {
        "peer-ask": peers.QuotaRequest(0x0102, 0x0102030405060708, 0xABCD, 3, 1, 2.5, 4.75, 0.5, -0.25),
        "peer-ask-least": peers.QuotaRequest(0, 0, 0, 0, 0, 0.0, 0.0, 0.0, 0.0),
        "peer-grant": peers.QuotaGrant(0x0102, True, True, 1.5, -0.75),
        "peer-grant-least": peers.QuotaGrant(0, False, False, 0.0, 0.0),
        "peer-back": peers.QuotaRelease(0x0102, 0x0102030405060708, -3.5),
        "peer-back-least": peers.QuotaRelease(0, 0, 0.0),
    }
    return [
        Case(name, partial(peers.encode_quota, message), peers.decode_quota, message)
        for name, message in messages.items()
    ]


def _peer_heartbeats() -> list[Case]:
    return [
        Case("peer-heartbeat", lambda: peers.encode_heartbeat(BEAT), peers.decode_heartbeat, BEAT),
        Case(
            "peer-heartbeat-least",
            lambda: peers.encode_heartbeat(LEAST_BEAT),
            peers.decode_heartbeat,
            LEAST_BEAT,
        ),
        Case(
            "peer-heartbeat-with-news",
            lambda: peers.encode_heartbeat(BEAT) + peers.encode_usage(NEWS),
            lambda data: (peers.decode_heartbeat(data), tuple(peers.decode_usage(data))),
            (BEAT, NEWS),
        ),
    ]


def _read_heartbeat(data: bytes) -> tuple[int, dict[int, peers.Heartbeat | None]] | None:
    """The kind of process and each service's heartbeat, decoded."""
    read = datagram.read_heartbeat(data)
    return None if read is None else (read[0], {name: peers.decode_heartbeat(beat) for name, beat in read[1]})


def _admission_heartbeat(name: str, kind: int, beats: dict[int, peers.Heartbeat]) -> Case:
    def encode() -> bytes:
        return datagram.write_heartbeat(
            kind, {key: peers.encode_heartbeat(beat) for key, beat in beats.items()}
        )

    return Case(name, encode, _read_heartbeat, (kind, beats))


def _batch_admission_beat() -> bytes:
    admission = BatchAdmission(INCARNATION)
    admission.rescale(100.0, slots=8, gateways=2)
    admission.in_flight = 3
    return datagram.write_heartbeat(datagram.BATCH, {datagram.service_number("chat"): admission.heartbeat()})


def _admission_heartbeats() -> list[Case]:
    both = {datagram.service_number("chat"): BEAT, datagram.service_number("code"): LEAST_BEAT}
    batch_beat = peers.Heartbeat(INCARNATION, 1, 8.0, 3, 4.0, 0.0)
    return [
        _admission_heartbeat("admission-heartbeat-gateway", datagram.GATEWAY, both),
        _admission_heartbeat("admission-heartbeat-batch", datagram.BATCH, both),
        _admission_heartbeat("admission-heartbeat-no-service", datagram.GATEWAY, {}),
        Case(
            "admission-heartbeat-of-a-store",
            _batch_admission_beat,
            _read_heartbeat,
            (datagram.BATCH, {datagram.service_number("chat"): batch_beat}),
        ),
    ]


def _only(datagrams: list[bytes]) -> bytes:
    (data,) = datagrams
    return data


def _digests() -> list[Case]:
    group = {0x01020304: DIGEST, 0x05060708: SMALL_DIGEST}
    fleet = {0x01020304: TOTALS, 0x05060708: NO_TOTALS}
    head = (0x0A010023, INCARNATION, 0x11223344)
    return [
        Case(
            "admission-group-digest",
            lambda: _only(digests.write_group_digest(*head, group)),
            digests.read_digest,
            digests.DigestMessage(digests.GROUP_MAGIC, *head, group, {}),
        ),
        Case(
            "admission-fleet-digest",
            lambda: _only(digests.write_fleet_digest(*head, fleet)),
            digests.read_digest,
            digests.DigestMessage(digests.FLEET_MAGIC, *head, {}, fleet),
        ),
    ]


def relayed_datagrams() -> dict[str, bytes]:
    """What a relay sends in two rounds, by round and receiver; it has heard a member and another group."""
    speakers = [
        HeartbeatSender(f"10.{zone}.0.{n}", f"zone-{zone}", True) for zone in (1, 2) for n in range(1, 5)
    ]
    plan = make_plan(speakers)
    own, other = (plan.groups[plan.group_of[ip]] for ip in ("10.1.0.1", "10.2.0.1"))
    relay = own.relays[0]
    exchange = RelayExchange(relay, INCARNATION, lambda *_: None)
    exchange.plan = plan
    heartbeat = datagram.write_heartbeat(datagram.GATEWAY, {0x01020304: peers.encode_heartbeat(BEAT)})
    digest = _only(
        digests.write_group_digest(plan.group_of["10.2.0.1"], 7, 1, {0x01020304: DIGEST, 0x05060708: DIGEST})
    )
    exchange.round(100.0, heartbeat, 0.25)
    exchange.receive(100.125, next(ip for ip in own.members if ip != relay), heartbeat)
    exchange.receive(100.1875, other.relays[0], digest)
    rounds = {number: exchange.round(100.0 + number / 4, heartbeat, 0.25) for number in (1, 2)}
    return {f"relay-round-{number}-to-{ip}": data for number, sent in rounds.items() for ip, data in sent}


def _hints() -> list[Case]:
    parts = tuple((0x01020304 + n, 100 + n) for n in range(3))
    hint = prompt_hints.PromptHint(prompt_hints.worker_number("w1"), 4096, parts)
    least = prompt_hints.PromptHint(0, 0, ())
    wait = prompt_hints.WaitHint(prompt_hints.worker_number("w1"), 1.25)
    least_wait = prompt_hints.WaitHint(0, 0.0)
    return [
        Case("prompt-hint", lambda: prompt_hints.write_hint(hint), prompt_hints.read_hint, hint),
        Case("prompt-hint-least", lambda: prompt_hints.write_hint(least), prompt_hints.read_hint, least),
        Case("wait-hint", lambda: prompt_hints.write_wait_hint(wait), prompt_hints.read_wait_hint, wait),
        Case(
            "wait-hint-least",
            lambda: prompt_hints.write_wait_hint(least_wait),
            prompt_hints.read_wait_hint,
            least_wait,
        ),
    ]


CASES = [
    *_membership(),
    *_peer_heartbeats(),
    *_peer_questions(),
    *_admission_heartbeats(),
    *_digests(),
    *_hints(),
]


def encoded() -> dict[str, bytes]:
    """The bytes of every message by name; those that a relay sends with the receiver in the name."""
    found = {case.name: case.encode() for case in CASES}
    return found | relayed_datagrams()
