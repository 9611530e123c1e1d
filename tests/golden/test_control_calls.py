"""The HTTP API of control has the paths, headers and bodies that workers and operators use."""

import pytest

from pewterring.control.api import read_call
from pewterring.control.calls import Call, endpoint_at
from pewterring.transport.http_request import ServerRequest
from tests.golden.control_calls import FAMILY
from tests.golden.rows import Row, check_complete, check_decoding, check_encoding, ids

CALLS = (
    ("POST", "/v1/Instances.Heartbeat/w-1"),
    ("POST", "/v1/Instances.Deregister/w-1"),
    ("POST", "/v1/Config.Replace"),
    ("POST", "/v1/Config.Update"),
    ("GET", "/v1/Config.Get"),
    ("POST", "/v1/Retire.Start/store-1"),
    ("GET", "/v1/Retire.Get/store-1"),
    ("GET", "/v1/Tier.Status"),
)


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_bytes_written(row: Row) -> None:
    check_encoding(FAMILY, row)


@pytest.mark.parametrize("row", FAMILY.rows, ids=ids(FAMILY.rows))
def test_the_bytes_read(row: Row) -> None:
    check_decoding(FAMILY, row)


def test_each_type_has_rows() -> None:
    check_complete(FAMILY)


@pytest.mark.parametrize(("method", "path"), CALLS)
def test_each_path_has_its_method(method: str, path: str) -> None:
    endpoint = endpoint_at(path)
    assert endpoint is not None
    assert endpoint.method == method


def test_the_base_version_is_read_from_its_header() -> None:
    request = ServerRequest(
        method="POST",
        target="/v1/Config.Replace?by=hand",
        headers=[(b"Base-Version", b" 7 ")],
        fields={b"base-version": b" 7 "},
        host="control.example",
        body=b"{}",
        received_at=0.0,
        keep_alive=True,
        http_version=b"1.1",
    )
    assert read_call(request) == Call("POST", "/v1/Config.Replace", "7", b"{}")
