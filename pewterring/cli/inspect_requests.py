"""`pewterring inspect requests`: counts the late, refused and failed requests in gateway logs."""

import argparse
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from pewterring.cli.errors import UsageError
from pewterring.observability.request_log import RECORD_FORMAT, REQUEST_EVENT, RequestRecord

SMALLEST_BAND_TOKENS = 4096  # prompts are grouped into size bands; each is twice the previous one


class _LogLine(msgspec.Struct):
    """The fields that all log lines have."""

    event: str = ""
    time: float = 0.0  # Unix time at which the request ended, in seconds
    format: int = 0


@dataclass(frozen=True, slots=True)
class LoggedRequest:
    """A logged request and its arrival as Unix time in seconds."""

    line: RequestRecord
    arrived_at: float


@dataclass(slots=True)
class RequestLog:
    """The requests read from log files."""

    requests: list[LoggedRequest] = field(default_factory=list)
    unreadable: int = 0  # truncated lines, and lines of another format version

    def add(self, line: bytes) -> None:
        """Adds one log line; ignores lines of other events."""
        start = line.find(b"{")
        if start < 0 or f'"{REQUEST_EVENT}"'.encode() not in line:
            return
        try:
            common = msgspec.json.decode(line[start:], type=_LogLine)
            if common.event != REQUEST_EVENT:
                return
            if common.format != RECORD_FORMAT:
                self.unreadable += 1
                return
            request = msgspec.json.decode(line[start:], type=RequestRecord)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        self.requests.append(LoggedRequest(request, common.time - request.end_s))


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `inspect requests` to its parser."""
    parser.add_argument("files", nargs="+", type=Path, metavar="FILE", help="gateway logs")
    parser.add_argument(
        "--plot", type=Path, metavar="IMAGE", help="also plot the requests by second and reason"
    )
    parser.set_defaults(run=_run)


def read_logs(paths: Iterable[Path]) -> RequestLog:
    """Reads log files.

    Raises:
        UsageError: A file cannot be read.
    """
    log = RequestLog()
    for path in paths:
        try:
            with path.open("rb") as lines:
                for line in lines:
                    log.add(line)
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from error
    return log


def summary_lines(log: RequestLog) -> Iterator[str]:
    """Yields the summary as lines of text."""
    yield f"{len(log.requests)} requests that ended badly"
    if log.unreadable:
        yield f"{log.unreadable} lines cut or of another version, passed over"
    yield from _counts("reason", log.requests, lambda each: each.line.reason.value)
    yield from _counts("route", log.requests, lambda each: each.line.route)
    yield from _counts(
        "route, size of the prompt and reason",
        log.requests,
        lambda each: f"{each.line.route} {_size_band(each.line.tokens)} {each.line.reason}",
    )
    first = min((each.arrived_at for each in log.requests), default=0.0)
    yield from _counts(
        "second and reason",
        log.requests,
        lambda each: f"{int(each.arrived_at - first):>4} {each.line.reason}",
        sort_by_count=False,
    )


def _size_band(tokens: int) -> str:
    """Returns the size band of a prompt, named by its upper limit."""
    band_limit = SMALLEST_BAND_TOKENS
    while band_limit < tokens:
        band_limit *= 2
    return f"up to {band_limit} tokens"


def _counts(
    title: str,
    requests: Iterable[LoggedRequest],
    group_key: Callable[[LoggedRequest], str],
    sort_by_count: bool = True,
) -> Iterator[str]:
    counts = Counter(group_key(each) for each in requests)
    yield f"by {title}"
    for name, count in counts.most_common() if sort_by_count else sorted(counts.items()):
        yield f"  {count:>7}  {name}"


def _run(arguments: argparse.Namespace) -> None:
    log = read_logs(arguments.files)
    for line in summary_lines(log):
        print(line)
    if arguments.plot is not None:
        from pewterring.lab.plots import plot_counts

        arrivals_by_reason: dict[str, list[float]] = {}
        for each in log.requests:
            arrivals_by_reason.setdefault(each.line.reason.value, []).append(each.arrived_at)
        plot_counts(arrivals_by_reason, arguments.plot)
