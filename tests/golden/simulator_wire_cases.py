"""Events and actions of the golden tests of the simulator's line protocol.

Only this module of the golden tests builds events and actions.
"""

from pewterring.standalone.policy import interface
from pewterring.standalone.simulator import codec
from tests.golden.golden_files import DIRECTORY
from tests.golden.settings_cases import STANDALONE

GOLDEN_FILE = "simulator-actions.txt"
BATCHES_FILE = DIRECTORY / "inputs" / "simulator-batches.txt"
FAILURES = (
    interface.Code.INTERNAL,
    interface.Code.RESOURCE_EXHAUSTED,
    interface.Code.DEADLINE_EXCEEDED,
    interface.Code.UNAVAILABLE,
    interface.Code.ABORTED,
    interface.Code.CANCELLED,
    interface.Code.TOO_LATE,
)
FORMS = (
    interface.ListForm.CHANGES,
    interface.ListForm.WHOLE,
    interface.ListForm.REMEMBERED,
    interface.ListForm.FAILED,
)
SERVERS = (
    interface.Server(5, "a", 2, interface.Mode.SERVING, 1.5, 6.1),
    interface.Server(6, "", 0, interface.Mode.DRAINING, 1.0, 0.0),
    interface.Server(7, "", 0, interface.Mode.DELETED, 1.0, 0.0),
    interface.Server(8, "", 0, interface.Mode.SERVING, 1.0, 0.0),
)
EVENTS: tuple[interface.Event | codec.Killed, ...] = (
    *(interface.ServerList(form) for form in FORMS),
    interface.ServerList(interface.ListForm.WHOLE, SERVERS),
    codec.Killed(),
    interface.Request(9, "read", "basic", 7, 38.5, 2.0, 3, 1, True),
    interface.Request(9, "read", "", 0, 38.5, 1.0, 1, 0, False),
    interface.StreamStarted(9, 1, 5, 0.25),
    interface.Outcome(9, 1, 5, interface.Code.OK, 0.25, True, 2.5),
    *(interface.Outcome(9, 0, 5, code, 0.0, False, 0.0) for code in FAILURES),
    interface.Expired(9),
    interface.TimerDue(77),
    interface.ProbeResult(5, interface.Code.OK, 0.25),
    interface.PeerMessage(1, b"hi 7"),
    interface.PeerMessage(1, b""),
    interface.Counted(3, interface.Code.OK, 0.25, 38.5),
)
BATCHES = [
    codec.Batch(0.0, []),
    codec.Batch(
        33.0,
        [("gatekeeper_0", codec.Started(STANDALONE.settings, 12345)), *(("g", event) for event in EVENTS)],
    ),
]
ACTIONS: tuple[interface.Action, ...] = (
    interface.Send(9, 5, 0.75),
    interface.Send(9, 5),
    interface.Cancel(9, 1),
    interface.Refuse(9, 0.5, "quota"),
    interface.Refuse(9),
    interface.Fail(9),
    interface.SetTimer(0.5, 77),
    interface.Probe(5),
    interface.Tell(None, b"hi 7"),
    interface.Tell(2, b""),
    interface.Subscribe(True),
    interface.Subscribe(False),
    interface.Log("two\tservers\nknown"),
)


def written() -> str:
    """Returns the lines of all actions and the line for an exception in the policy."""
    lines = [codec.write_action("g", action) for action in ACTIONS]
    return "".join(f"{line}\n" for line in [*lines, codec.write_exception("g", "two\nlines")])


def read() -> list[codec.Batch]:
    """Returns the batches parsed from the golden input."""
    return list(codec.read_batches(iter(BATCHES_FILE.read_text(encoding="utf-8").splitlines(keepends=True))))
