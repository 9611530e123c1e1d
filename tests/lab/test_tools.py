"""The experiment tools: sweeps that go on, comparisons on paired seeds, the hunt, plots, the command line."""

import csv
import json
from pathlib import Path
from typing import Any

import pytest

from pewterring.__main__ import main
from pewterring.lab import experiment, hunt, scenario_file, schema
from pewterring.lab.policies import POLICIES
from tests.lab.scenarios import small
from tests.lab.test_rules import Glib

EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "lab"
QUICK = ["--set", "duration_s=4", "--set", "load.part=0.3"]


@pytest.fixture
def scenario(tmp_path: Path) -> str:
    path = tmp_path / "s.toml"
    path.write_text(hunt.to_toml(small(duration_s=3.0, load={"rate": 30.0})))
    return str(path)


def test_a_scenario_written_is_the_one_that_is_read(tmp_path: Path) -> None:
    for seed in range(20):
        drawn = hunt.draw(small(), seed)
        path = tmp_path / f"{seed}.toml"
        path.write_text(hunt.to_toml(drawn))
        assert scenario_file.load(path) == drawn


def test_a_sweep_goes_on_where_it_was_interrupted(scenario: str, tmp_path: Path) -> None:
    folder, played = tmp_path / "out", list[Any]()
    points = experiment.grid(["gatekeepers.count=1,2", "load.rate=20.0,30.0"], [1, 2])
    assert len(points) == 8

    def stop(entry: dict[str, Any]) -> None:
        played.append(entry["key"])
        if len(played) == 3:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        experiment.sweep(scenario, points, folder, jobs=1, done=stop)
    kept = (folder / experiment.RUNS).read_text()
    assert len(kept.splitlines()) == 3
    (folder / experiment.RUNS).write_text(kept + kept[:40])  # cut off in the middle of a line
    entries = experiment.sweep(scenario, points, folder, jobs=1)
    whole = (folder / experiment.RUNS).read_text()
    assert whole.startswith(kept)
    assert len(experiment.finished(folder)) == 8
    with open(folder / experiment.TABLE, newline="") as table:
        rows = list(csv.DictReader(table))
    assert [(r["gatekeepers.count"], r["load.rate"], r["seed"]) for r in rows] == [
        (e["set"]["gatekeepers.count"], e["set"]["load.rate"], str(e["seed"])) for e in entries
    ]
    assert experiment.sweep(scenario, points, folder, jobs=1) == entries  # nothing is played again
    assert (folder / experiment.RUNS).read_text() == whole
    with pytest.raises(schema.ScenarioError, match="another scenario"):
        experiment.sweep(scenario, points, folder, base=["load.ramp=0.1"])


def test_bootstrap_tells_a_difference_from_chance() -> None:
    low, high = experiment.bootstrap([0.1, 0.12, 0.09, 0.11, 0.1])
    assert 0.09 <= low < 0.105 < high <= 0.12
    low, high = experiment.bootstrap([0.3, -0.3, 0.2, -0.25, 0.05])
    assert low < 0 < high
    assert experiment.bootstrap([0.5])[0] == float("-inf")


def test_a_side_compared_with_itself_differs_in_nothing(scenario: str) -> None:
    table, broken = experiment.compare(scenario, ([], ""), ([], ""), [1, 2], jobs=1)
    assert not broken
    assert all(d.mean == 0.0 for d in table)
    table, _ = experiment.compare(scenario, ([], ""), ([], "admit-all"), [1, 2], jobs=1)
    by_name = {d.metric: d for d in table}
    assert by_name["refused_share"].b == 0.0 < by_name["refused_share"].a


def test_a_hunted_schedule_shrinks_to_what_breaks_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(POLICIES, "wrong", Glib)
    base = small()
    for seed in range(60):
        drawn = hunt.draw(base, seed)
        if len(drawn.faults) > 2 and drawn.gatekeepers.count < 5 and (rule := hunt.breaks(drawn, "wrong")[0]):
            break
    smallest, runs = hunt.shrink(drawn, rule, "wrong", most=40)
    assert runs <= 40
    assert len(smallest.faults) < len(drawn.faults)
    assert hunt.breaks(smallest, "wrong")[0] == rule


def test_a_few_random_scenarios_break_nothing() -> None:
    base = scenario_file.load(EXAMPLES / "calm.toml")
    for seed in range(100, 108):
        assert hunt.breaks(hunt.draw(base, seed)) == (0, "")


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.toml")), ids=lambda p: p.stem)
def test_the_examples_break_no_rule_also_with_more_faults(path: Path) -> None:
    sets = ["duration_s=20", "workers.count=6", "gatekeepers.count=5", "load.part=0.4", "random_faults=3"]
    result, _ = experiment.run(path, sets, seed=3)
    assert not result.broken
    assert result.counts["served"] > 100
    again, _ = experiment.run(path, sets, seed=3)
    assert again.to_json() == result.to_json()


def test_run_explain_plot_and_sweep_by_command(
    scenario: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out, picture = tmp_path / "r.json", tmp_path / "r.svg"
    assert main(["lab", "run", scenario, "--out", str(out), "--plot", str(picture)]) == 0
    assert "G 0." in capsys.readouterr().out
    assert picture.read_text().count("<svg") == 1
    assert main(["lab", "run", scenario, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["broken"] == ""
    png = tmp_path / "r.png"
    assert main(["lab", "plot", str(out), "--to", str(png)]) == 0
    assert png.read_bytes().startswith(b"\x89PNG")
    capsys.readouterr()
    assert main(["lab", "explain", scenario, "--pick", "slowest"]) == 0
    told = capsys.readouterr().out
    assert "comes as request" in told
    assert "its client has the answer" in told
    folder = str(tmp_path / "out")
    grid = ["--grid", "gatekeepers.count=1,3", "--seeds", "1..2", "--jobs", "1"]
    assert main(["lab", "sweep", scenario, *grid, "--out", folder]) == 0
    curve = tmp_path / "c.svg"
    assert main(["lab", "plot", folder, "--x", "gatekeepers.count", "--y", "served", "--to", str(curve)]) == 0
    assert curve.exists()
    assert (
        main(["lab", "compare", scenario, "--b-policy", "even-split", "--seeds", "1,2", "--jobs", "1"]) == 0
    )
    assert "beyond_share" in capsys.readouterr().out
    assert main(["lab", "schema"]) == 0
    assert '"$ref"' in capsys.readouterr().out
    assert main(["completion", "bash"]) == 0
    assert "_PEWTERRING_COMPLETE" in capsys.readouterr().out


def test_a_broken_rule_ends_a_run_with_its_trail(
    scenario: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(POLICIES, "wrong", Glib)
    spoilt = ["--set", 'faults=[{kind = "spoilt_answers", at_s = 0.5, part = 1.0, share = 0.5}]']
    assert main(["lab", "run", scenario, "--policy", "wrong", "--trail", *spoilt]) == 3
    said = capsys.readouterr()
    assert "rule 2" in said.err
    assert "--seed 1" in said.err
    assert "attempt 0 ends: aborted" in said.out


@pytest.mark.parametrize(
    ("given", "said"),
    [
        (["run", "no.toml"], "no.toml: No such file"),
        (["run", str(EXAMPLES / "calm.toml"), "--set", "load.part=-1"], "load.part: Expected"),
        (["run", str(EXAMPLES / "calm.toml"), "--policy", "best"], "no 'best'; there are admit-all"),
        (["plot", str(EXAMPLES / "calm.toml"), "--to", "x.gif"], "x.gif: a plot is written as .png or .svg"),
        (
            ["sweep", str(EXAMPLES / "calm.toml"), "--grid", "load", "--out", "x"],
            "--grid load: not KEY=VALUE",
        ),
        (["sweep", str(EXAMPLES / "calm.toml"), "--seeds", "a", "--out", "x"], "a: not FIRST..LAST"),
        (["explain", str(EXAMPLES / "calm.toml"), "--request", "99999999", *QUICK], "--request 99999999"),
    ],
)
def test_what_cannot_be_used_is_one_line_and_exit_2(
    given: list[str], said: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["lab", *given]) == 2
    err = capsys.readouterr().err
    assert said in err
    assert err.count("\n") == 1
