"""A complete tier of real processes on loopback addresses: the sample stream and batch job."""

import json
import os
import secrets
import subprocess
import sys
from pathlib import Path

import pytest

from pewterring.local import sample
from pewterring.local.engine import echoed_words
from pewterring.local.layout import Layout, LayoutError
from pewterring.node.settings import read_report

ROOT = Path(__file__).resolve().parents[2]
TEST_TIMEOUT_S = 90.0  # generous, for slow machines
pytestmark = pytest.mark.skipif(not sys.platform.startswith("linux"), reason="needs all of 127.0.0.0/8")


def loopback_network() -> str:
    """Returns a random loopback network, to avoid collisions with other processes."""
    return f"127.{100 + secrets.randbelow(100)}.{1 + secrets.randbelow(250)}"


def test_every_settings_file_is_valid_for_its_program(tmp_path: Path) -> None:
    layout = Layout("127.0.5", tmp_path)
    for process in layout.processes():
        report = read_report(layout.settings(process, bootstrap=True), process.program)
        assert report.unknown == ()
        assert str(report.settings.ip) == process.ip
    assert len({process.ip for process in layout.processes()}) == 8


@pytest.mark.parametrize("network", ["10.0.0", "127.0", "local"])
def test_other_than_loopback_networks_are_rejected(network: str, tmp_path: Path) -> None:
    with pytest.raises(LayoutError):
        Layout(network, tmp_path)


def test_one_command_serves_a_stream_and_a_batch_job(tmp_path: Path) -> None:
    folder = tmp_path / "tier"
    command = [sys.executable, "-m", "pewterring", "local", "--try", "--network", loopback_network()]
    completed = subprocess.run(
        [*command, "--folder", str(folder), "--start-s", str(TEST_TIMEOUT_S)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=2 * TEST_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stderr
    events, _, results = completed.stdout.partition("\n\n\n")
    expected_words = echoed_words(sample.PROMPT.encode())
    assert [
        line.removeprefix("data: ") for line in events.splitlines() if line.startswith("data")
    ] == expected_words
    results_by_id = {result["id"]: result for result in map(json.loads, results.split("\n")[:-1])}
    assert set(results_by_id) == set(sample.ITEMS)
    assert all(result["state"] == "succeeded" for result in results_by_id.values())
    logs = [json.loads(line) for log in folder.glob("*/log") for line in log.read_text().splitlines()]
    assert {line["program"] for line in logs} == {"gateway", "control", "store"}
    assert all(line["event"] for line in logs)


def test_a_failed_start_names_the_cause(tmp_path: Path) -> None:
    folder = tmp_path / "tier"
    folder.write_text("a file where the folder should be")
    completed = subprocess.run(
        [sys.executable, "-m", "pewterring", "local", "--try", "--folder", str(folder)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        env={**os.environ},
    )
    assert completed.returncode == 1
    assert str(folder) in completed.stderr
    assert "Traceback" not in completed.stderr
