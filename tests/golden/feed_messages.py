"""Golden cases: messages of the table feed and between control machines, as lines of the transport."""

import msgspec

from pewterring.control.messages import CONTROL_MESSAGES, JoinGroup, RelayedAnswer, RelayedCall
from pewterring.control.program import MESSAGES
from pewterring.distribution.messages import (
    FEED_MESSAGES,
    CompleteTables,
    Redirect,
    Renew,
    Renewed,
    Subscribe,
    TableChanges,
)
from pewterring.transport.lines import MessageCodec
from tests.golden.records import (
    DOCUMENT,
    GATEWAY_NODE,
    GROUP_STATUS,
    OTHER_WORKER,
    PLACEMENT,
    PLAIN_VERSIONS,
    PLAIN_WORKER,
    STORE_NODE,
    VERSIONS,
    WORKER,
    raw,
)
from tests.golden.rows import Family, Row, message_row

CODEC = MessageCodec(MESSAGES, "cluster-1")
CONTROLS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")

_REQUESTS: tuple[tuple[str, msgspec.Struct], ...] = (
    ("Subscribe-full", Subscribe(node=STORE_NODE)),
    ("Subscribe-gateway", Subscribe(node=GATEWAY_NODE)),
    ("Subscribe-configuration", Subscribe(node=STORE_NODE, configuration="0123456789abcdef" * 2)),
    ("Renew-full", Renew(node=STORE_NODE, status=GROUP_STATUS)),
    ("Renew-defaults", Renew(node=GATEWAY_NODE)),
    (
        "RelayedCall-full",
        RelayedCall(
            method="POST", path="/v1/Config.Replace", base_version="6", body=DOCUMENT, term=5, round=17
        ),
    ),
    ("RelayedCall-defaults", RelayedCall(method="GET", path="/v1/Config.Get")),
)
_REPLIES: tuple[tuple[str, msgspec.Struct], ...] = (
    ("Redirect-full", Redirect(leader="10.0.0.2")),
    ("Redirect-unknown", Redirect(leader="")),
    (
        "WholeTables-full",
        CompleteTables(
            versions=VERSIONS,
            configuration=raw(DOCUMENT),
            workers=(WORKER, OTHER_WORKER, PLAIN_WORKER),
            nodes=(STORE_NODE, GATEWAY_NODE),
            placements=(PLACEMENT,),
            groups=(GROUP_STATUS,),
            controls=CONTROLS,
        ),
    ),
    (
        "WholeTables-empty",
        CompleteTables(
            versions=PLAIN_VERSIONS,
            configuration=raw(b"null"),
            workers=(),
            nodes=(),
            placements=(),
            groups=(),
            controls=(),
        ),
    ),
    ("Renewed-full", Renewed(versions=VERSIONS)),
    (
        "RelayedAnswer-full",
        RelayedAnswer(status=503, body=b"{}", not_leading=True, too_old=True, term=5, round=17),
    ),
    ("RelayedAnswer-defaults", RelayedAnswer(status=200)),
)
_PUSHED: tuple[tuple[str, msgspec.Struct], ...] = (
    (
        "TableChanges-full",
        TableChanges(
            base=VERSIONS,
            versions=msgspec.structs.replace(VERSIONS, configuration=8),
            configuration=raw(DOCUMENT),
            workers=(WORKER,),
            workers_gone=("w-2",),
            nodes=(STORE_NODE,),
            nodes_gone=("gateway-9",),
            placements=(PLACEMENT,),
            groups=(GROUP_STATUS,),
            controls=CONTROLS,
        ),
    ),
    ("TableChanges-defaults", TableChanges(base=PLAIN_VERSIONS, versions=VERSIONS)),
    ("JoinGroup-full", JoinGroup(member="10.0.0.4#d4", forwarded=True)),
    ("JoinGroup-defaults", JoinGroup(member="10.0.0.4#d4")),
)


def _rows() -> tuple[Row, ...]:
    """Returns all rows. Requests carry an id, replies the id of their request, pushed messages no id."""
    return (
        *(message_row(CODEC, name, message, request_id=3) for name, message in _REQUESTS),
        *(message_row(CODEC, name, message, reply_to=3) for name, message in _REPLIES),
        *(message_row(CODEC, name, message) for name, message in _PUSHED),
    )


FAMILY = Family("feed_messages.txt", _rows(), (*FEED_MESSAGES, *CONTROL_MESSAGES))
