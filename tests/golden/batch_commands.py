"""Commands in the entries of a batch partition's log, for golden tests of their encoding."""

from typing import get_args

from pewterring.batch.commands import (
    AcceptJob,
    AddResults,
    CloseJob,
    Command,
    CountFailures,
    DropJobs,
    ItemFailures,
    JobResult,
    decode_command,
    encode_command,
)
from pewterring.batch.messages import ItemResult, ItemSpec
from tests.golden.rows import Family, Row

ITEMS = tuple(
    ItemSpec(id=name, path="/v1/embed", headers={"Content-Type": "text/plain"}, body="aGk=", tokens=tokens)
    for name, tokens in (("a", 10), ("b", 20), ("c", 30))
)
RESULTS = (
    ItemResult(id="a", state="succeeded", text='{"answer":"\u00fc"}'),
    ItemResult(id="c", state="dead_letter", text="no worker"),
)

# In this order the commands are also the log in the golden test of stored data.
COMMANDS: tuple[tuple[str, Command], ...] = (
    (
        "AcceptJob-full",
        AcceptJob(job="job-1", host="chat.example", path_prefix="/batch/", items=ITEMS, age_ms=1500.0),
    ),
    (
        "CountFailures-full",
        CountFailures(failures=(ItemFailures("job-1", "b", 2), ItemFailures("job-1", "c", 3))),
    ),
    (
        "AddResults-full",
        AddResults(results=tuple(JobResult(job="job-1", result=result) for result in RESULTS)),
    ),
    (
        "AcceptJob-defaults",
        AcceptJob(job="job-2", host="chat.example", path_prefix="/batch/", items=ITEMS[:1]),
    ),
    ("CloseJob-full", CloseJob(job="job-2")),
    (
        "AcceptJob-other",
        AcceptJob(job="job-3", host="chat.example", path_prefix="/batch/", items=ITEMS[1:]),
    ),
    ("DropJobs-full", DropJobs(jobs=("job-3", "job-9"))),
)


def _row(name: str, command: Command) -> Row:
    return Row(name, command, lambda: encode_command(command), decode_command)


FAMILY = Family(
    "batch_commands.txt", tuple(_row(name, command) for name, command in COMMANDS), get_args(Command)
)
