"""How a node finds the leader: a redirect is followed at once, machines that name each other are not."""

import asyncio
import itertools
import random
from collections.abc import Mapping
from typing import cast

import msgspec

from pewterring.distribution.messages import CompleteTables, NodeRecord, Redirect, TableVersions
from pewterring.distribution.subscriber import MOST_REDIRECTS, RETRY_S, FeedSubscriber
from pewterring.transport.lines import Channel, MessageCodec, MessageHandler
from tests.consensus.virtual_time import VirtualTimeLoop
from tests.node_settings import addresses, node_settings

SEED, LEADER = "10.0.0.1", "10.0.0.2"
TABLES = CompleteTables(TableVersions(1), msgspec.Raw(b"null"), (), (), (), (), ())


class Machine:
    """A control machine's end of a connection; it answers as `answers` say."""

    closed = False

    def __init__(self, answer: msgspec.Struct) -> None:
        self._answer = answer

    async def request(self, message: msgspec.Struct, timeout_s: float) -> msgspec.Struct:
        if self._answer is TABLES:
            self._answer = Redirect("")  # its next word, to a renewal
            return TABLES
        return self._answer

    def close(self) -> None:
        pass


def asked(answers: Mapping[str, msgspec.Struct], for_s: float) -> list[tuple[float, str]]:
    """When which machine was asked."""
    loop = VirtualTimeLoop()
    seen: list[tuple[float, str]] = []

    async def open_channel(
        codec: MessageCodec, ip: str, port: int, timeout_s: float, handler: MessageHandler
    ) -> Channel:
        seen.append((loop.time(), ip))
        return cast(Channel, Machine(answers[ip]))

    async def play() -> None:
        settings = node_settings("gateway", "10.0.0.9", seeds=addresses([SEED], 80))
        record = NodeRecord("n", "gateway", "10.0.0.9", "z", "life")
        subscriber = FeedSubscriber(
            settings,
            cast(MessageCodec, None),
            lambda: record,
            rng=random.Random(1),
            clock=loop.time,
            open_channel=open_channel,
        )
        await subscriber.start()
        await asyncio.sleep(for_s)
        await subscriber.stop()

    loop.run_until_complete(play())
    loop.close()
    return seen


def test_a_redirect_is_followed_at_once() -> None:
    assert asked({SEED: Redirect(LEADER), LEADER: TABLES}, 0.3) == [(0.0, SEED), (0.0, LEADER)]


def test_machines_that_name_each_other_are_asked_with_pauses() -> None:
    for_s = 40 * RETRY_S
    seen = asked({SEED: Redirect(LEADER), LEADER: Redirect(SEED)}, for_s)
    most_rounds = for_s / (0.5 * RETRY_S) + 1
    assert len(seen) <= (MOST_REDIRECTS + 1) * most_rounds
    assert len({moment for moment, _ in seen}) > 20


def test_where_no_leader_is_known_each_round_has_a_pause() -> None:
    moments = [moment for moment, _ in asked({SEED: Redirect("")}, 2.0)]
    assert all(0.5 * RETRY_S <= b - a <= 1.5 * RETRY_S for a, b in itertools.pairwise(moments))
