"""Records and commands for the tests of the control program."""

import msgspec

from pewterring.configuration.digest import document_digest
from pewterring.control.commands import Command, PutConfiguration, Result, encode_command
from pewterring.control.state import ControlState
from pewterring.distribution.messages import GroupStatus, NodeRecord, WorkerRecord
from tests.configuration.documents import encoded


def put(base: int, version: int, **changes: object) -> PutConfiguration:
    document = encoded(version=version, **changes)
    return PutConfiguration(base, version, document_digest(document), msgspec.Raw(document))


def apply(state: ControlState, command: Command) -> Result:
    return state.apply(0, encode_command(command))


def worker(worker_id: str, address: str = "10.0.0.1:80", state: str = "ready") -> WorkerRecord:
    return WorkerRecord(worker_id, "search", address, "a", 4, state)


def store(number: int, zone: str = "", incarnation: str = "x") -> NodeRecord:
    ip = f"10.1.0.{number}"
    return NodeRecord(
        f"store-{number}", "store", ip, zone or f"zone-{number}", incarnation, f"{ip}#t{number}"
    )


def gateway(number: int) -> NodeRecord:
    return NodeRecord(f"edge-{number}", "gateway", f"10.2.0.{number}", "zone-1", "x")


def status(
    voters: list[NodeRecord], commit: int = 1, term: int = 1, complete: int | None = None
) -> GroupStatus:
    members = tuple(voter.member for voter in voters)
    return GroupStatus("batch-0", term, commit, members[0], members, (), members[:complete])
