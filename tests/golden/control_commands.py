"""Commands in log entries of the control group."""

from typing import get_args

import msgspec

from pewterring.control.commands import (
    Command,
    CreateGroup,
    EndDecommissioning,
    MarkWorkersUnresponsive,
    PatchConfiguration,
    PutConfiguration,
    PutNodes,
    PutWorker,
    RemoveWorkers,
    StartDecommissioning,
    encode_command,
)
from tests.golden.records import (
    DOCUMENT,
    DOCUMENT_DIGEST,
    GATEWAY_NODE,
    OTHER_WORKER,
    PATCH,
    PATCH_DIGEST,
    PLACEMENT,
    PLAIN_WORKER,
    STORE_NODE,
    WORKER,
    raw,
)
from tests.golden.rows import Family, Row

# The log in the stored golden data holds them in this order too.
COMMANDS: tuple[tuple[str, Command], ...] = (
    ("PutConfiguration-first", PutConfiguration(0, 7, DOCUMENT_DIGEST, raw(DOCUMENT))),
    ("PatchConfiguration-full", PatchConfiguration(7, 8, PATCH_DIGEST, raw(PATCH))),
    ("PutWorker-full", PutWorker(worker=WORKER)),
    ("PutWorker-other", PutWorker(worker=OTHER_WORKER)),
    ("PutWorker-defaults", PutWorker(worker=PLAIN_WORKER)),
    ("SilenceWorkers-full", MarkWorkersUnresponsive(ids=("w-1", "w-9"))),
    ("RemoveWorkers-full", RemoveWorkers(ids=("w-2", "w-8"), permanent=True)),
    ("RemoveWorkers-defaults", RemoveWorkers(ids=("w-3",))),
    ("PutNodes-full", PutNodes(nodes=(STORE_NODE, GATEWAY_NODE), removed_ids=("gateway-9",))),
    ("PutNodes-defaults", PutNodes()),
    ("CreateGroup-full", CreateGroup(placement=PLACEMENT)),
    ("SetRetiring-full", StartDecommissioning(node_id="store-1", member="10.0.1.1#a1")),
    ("EndRetirement-full", EndDecommissioning(node_id="store-1")),
    ("SetRetiring-other", StartDecommissioning(node_id="store-2", member="10.0.1.2#b2")),
    # Rejected when it is applied, because its base is not the current version.
    (
        "PutConfiguration-full",
        PutConfiguration(base=6, version=9, digest=DOCUMENT_DIGEST, document=raw(DOCUMENT)),
    ),
)


def _row(name: str, command: Command) -> Row:
    decoder = msgspec.json.Decoder(Command)
    return Row(name, command, lambda: encode_command(command), decoder.decode)


FAMILY = Family(
    "control_commands.txt", tuple(_row(name, command) for name, command in COMMANDS), get_args(Command)
)
