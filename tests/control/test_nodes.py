"""The leader's table of live nodes."""

import pytest

from pewterring.control.nodes import NODE_TIMEOUT_S, NodeTable
from tests.control.records import gateway


@pytest.mark.parametrize(("last_contact", "removed"), [(0.0, True), (1.0, False)])
def test_a_node_is_removed_after_its_timeout(last_contact: float, removed: bool) -> None:
    nodes = NodeTable()
    nodes.start(0.0, {})
    nodes.observe(0.0, gateway(1))
    now = 0.0
    while now < NODE_TIMEOUT_S:
        assert not nodes.expire(now)
        if now == last_contact:
            nodes.observe(now, gateway(1))
        now += 0.25
    assert nodes.expire(now + 0.25) is removed
    assert (nodes.uncommitted({"edge-1": gateway(1)}) is not None) is removed


def test_a_leader_that_was_paused_removes_no_node() -> None:
    nodes = NodeTable()
    nodes.start(0.0, {"edge-1": gateway(1)})
    assert not nodes.expire(10.0)
    assert not nodes.expire(10.4)
