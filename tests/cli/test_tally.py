"""Tally lines: the counts of decisions that a gatekeeper writes, and their aggregation over a fleet."""

import io
from pathlib import Path

import orjson
import pytest

from pewterring.__main__ import main
from pewterring.cli.tally import aggregate_windows, read
from pewterring.standalone.log import Log
from pewterring.standalone.policy import interface as i
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.proxy.tally import Tally
from tests.standalone.helpers import SERVERS, settings


def test_tally_lines_count_a_period_and_change_no_action() -> None:
    output = io.BytesIO()
    plain, counted = GatewayPolicy(settings(), 7), Tally(GatewayPolicy(settings(), 7), Log(output), 1.0)
    events: list[i.Event] = [i.ServerList(i.ListForm.WHOLE, SERVERS)]
    events += [i.Request(number, "pure", "small", 1, 104.0, 1.0, 3, 0) for number in range(1, 9)]
    events.append(i.Expired(99))
    for number, event in enumerate(events):
        now = 100.0 + 0.01 * number if number + 1 < len(events) else 101.5
        assert counted.handle(now, event) == plain.handle(now, event)
    (line,) = [orjson.loads(raw_line) for raw_line in output.getvalue().splitlines()]
    assert line["event"] == "tally"
    assert line["list_whole"] == 1
    assert line["asked"] == 8
    assert line["sent"] + line["refused_quota"] == 8
    assert line["workers"] == 8
    assert line["out"] == line["sent"]


def test_counts_are_summed_over_gatekeepers_and_current_values_are_averaged(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first_log = (
        b'0.420 {"time":10.0,"event":"tally","sent":2,"limit":8.0,"out":1}\nnot a line\n'
        + orjson.dumps({"time": 11.0, "event": "tally", "sent": 3, "limit": 10.0, "out": 2})
    )
    second_log = (
        b'{"time":10.5,"event":"tally","sent":5,"limit":20.0,"out":4}\n{"time":16,"event":"tally","sent":1'
    )
    (tmp_path / "a.log").write_bytes(first_log)
    (tmp_path / "b.log").write_bytes(second_log)
    rows = aggregate_windows([(name, read(tmp_path / name)) for name in ("a.log", "b.log")], 5.0)
    assert rows == [
        {"from_s": 0.0, "gatekeepers": 2, "sent": 10, "limit": 15.0, "out": 6.0},
    ]
    assert main(["tally", str(tmp_path)]) == 0
    assert "sent" in capsys.readouterr().out


@pytest.mark.parametrize("arguments", [["--window", "0"], []])
def test_logs_without_tally_lines_and_invalid_windows_are_reported(
    tmp_path: Path, arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "a.log").write_text('{"time":1,"event":"started"}\n')
    assert main(["tally", str(tmp_path), *arguments]) != 0
    stderr = capsys.readouterr().err
    assert "window" in stderr or "ROUTER_TALLY_S" in stderr
