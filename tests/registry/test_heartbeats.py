"""Decoding and validation of workers' heartbeats."""

import msgspec
import pytest

from pewterring.registry.heartbeats import InvalidHeartbeatError, read_heartbeat


def test_heartbeats_are_decoded_leniently() -> None:
    heartbeat = read_heartbeat(
        b'{"backend":"b","address":"10.0.0.1:80","capacity":"4","state":"ready","new":[1],'
        b'"models":[{"name":"m","version":1,"adapters":[]}],"sequence":4}'
    )
    record = heartbeat.record("i-1")
    assert (record.capacity, record.models, record.state) == (4, ("m",), "ready")


@pytest.mark.parametrize(
    "address",
    [
        "",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:8x",
        "10.0.0.1:" + "9" * 5000,
        "worker.example:80",
        "10.0.0:80",
        "10.0.0.256:80",
        " 10.0.0.1:80",
        "10.0.0.1:٨",
        "::1:80",
    ],
)
def test_an_address_that_no_gateway_can_connect_to_is_rejected(address: str) -> None:
    with pytest.raises(InvalidHeartbeatError, match="address"):
        read_heartbeat(msgspec.json.encode({"backend": "b", "address": address}))


@pytest.mark.parametrize("capacity", [b"-1", b"1e30", b"1" * 30, b"1" * 5000, b"1.5", b'"x"', b"null"])
def test_an_impossible_capacity_is_rejected(capacity: bytes) -> None:
    with pytest.raises(InvalidHeartbeatError):
        read_heartbeat(b'{"backend":"b","address":"10.0.0.1:80","capacity":' + capacity + b"}")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b"{}",
        b'{"backend":"b"}',
        b"\xff",
        b'{"backend":"\xff","address":"10.0.0.1:80"}',
        b'{"new":' + b"[" * 100000,
        b'{"backend":"b","address":"10.0.0.1:80","sequence":' + b"1" * 5000 + b"}",
    ],
)
def test_a_malformed_heartbeat_is_rejected(body: bytes) -> None:
    with pytest.raises(InvalidHeartbeatError):
        read_heartbeat(body)
