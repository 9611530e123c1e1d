"""The simulator's wire: lines that are read to events, and actions that are written as lines.

This is the one place where events and actions are built.
"""

from pewterring.standalone.policy import interface as i
from pewterring.standalone.simulator import codec
from tests.golden.golden_files import DIRECTORY
from tests.golden.settings_cases import STANDALONE

GOLDEN_FILE = "simulator-actions.txt"
BATCHES_FILE = DIRECTORY / "inputs" / "simulator-batches.txt"
FAILURES = (
    i.Code.INTERNAL,
    i.Code.RESOURCE_EXHAUSTED,
    i.Code.DEADLINE_EXCEEDED,
    i.Code.UNAVAILABLE,
    i.Code.ABORTED,
    i.Code.CANCELLED,
    i.Code.TOO_LATE,
)
FORMS = (i.ListForm.CHANGES, i.ListForm.WHOLE, i.ListForm.REMEMBERED, i.ListForm.FAILED)
SERVERS = (
    i.Server(5, "a", 2, i.Mode.SERVING, 1.5, 6.1),
    i.Server(6, "", 0, i.Mode.DRAINING, 1.0, 0.0),
    i.Server(7, "", 0, i.Mode.DELETED, 1.0, 0.0),
    i.Server(8, "", 0, i.Mode.SERVING, 1.0, 0.0),
)
EVENTS: tuple[i.Event | codec.Killed, ...] = (
    *(i.ServerList(form) for form in FORMS),
    i.ServerList(i.ListForm.WHOLE, SERVERS),
    codec.Killed(),
    i.Request(9, "read", "basic", 7, 38.5, 2.0, 3, 1, True),
    i.Request(9, "read", "", 0, 38.5, 1.0, 1, 0, False),
    i.StreamStarted(9, 1, 5, 0.25),
    i.Outcome(9, 1, 5, i.Code.OK, 0.25, True, 2.5),
    *(i.Outcome(9, 0, 5, code, 0.0, False, 0.0) for code in FAILURES),
    i.Expired(9),
    i.TimerDue(77),
    i.ProbeResult(5, i.Code.OK, 0.25),
    i.PeerMessage(1, b"hi 7"),
    i.PeerMessage(1, b""),
    i.Counted(3, i.Code.OK, 0.25, 38.5),
)
BATCHES = [
    codec.Batch(0.0, []),
    codec.Batch(
        33.0,
        [("gatekeeper_0", codec.Started(STANDALONE.settings, 12345)), *(("g", event) for event in EVENTS)],
    ),
]
ACTIONS: tuple[i.Action, ...] = (
    i.Send(9, 5, 0.75),
    i.Send(9, 5),
    i.Cancel(9, 1),
    i.Refuse(9, 0.5, "quota"),
    i.Refuse(9),
    i.Fail(9),
    i.SetTimer(0.5, 77),
    i.Probe(5),
    i.Tell(None, b"hi 7"),
    i.Tell(2, b""),
    i.Subscribe(True),
    i.Subscribe(False),
    i.Log("two\tservers\nknown"),
)


def written() -> str:
    """The lines of all actions, and that of a fault of the decision module."""
    lines = [codec.write_action("g", action) for action in ACTIONS]
    return "".join(f"{line}\n" for line in [*lines, codec.write_exception("g", "two\nlines")])


def read() -> list[codec.Batch]:
    """The batches of the golden input."""
    return list(codec.read_batches(iter(BATCHES_FILE.read_text(encoding="utf-8").splitlines(keepends=True))))
