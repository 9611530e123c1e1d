"""What a scenario may say, and what is said of one that can't be used."""

from pathlib import Path

import pytest

from pewterring.lab import scenario_file, schema

EXAMPLES = sorted((Path(__file__).resolve().parents[2] / "examples" / "lab").glob("*.toml"))
HEAD = 'version = 1\n[[classes]]\nname = "c"\n[[plans]]\nname = "p"\n'


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda p: p.stem)
def test_examples_can_be_read(path: Path) -> None:
    assert scenario_file.load(path).name == path.stem


WRONG = {
    "": "version is missing",
    "version = 2": "version cannot be 2; this program reads version 1",
    HEAD + "[load]\nrate = -3.0": "load.rate: Expected `float` >",
    HEAD + "[load]\nrate = 3.0\npart = 0.5": "load: give part or rate",
    HEAD + "[wrokers]\ncount = 3": "wrokers: not known; did you mean workers?",
    HEAD + "[workers]\ncout = 3": "workers.cout: not known; did you mean count?",
    HEAD + "[workers]\ncount = 5000": "workers.count: Expected `int` <= 1000",
    HEAD + '[[faults]]\nkind = "flood"\nat_s = 1': "there are errors, freeze, hot_customer",
    HEAD + '[[faults]]\nkind = "kill"\nat_s = 1\nprat = 0.5': "faults.0.prat: not known; did you mean part?",
    HEAD + '[[faults]]\nkind = "kill"': "faults.0: Object missing required field `at_s`",
    HEAD + '[[faults]]\nkind = "kill"\nat_s = 99': "faults.0.at_s: past the end",
    HEAD + '[[faults]]\nkind = "zone_cut"\nat_s = 1\nzone = "q"': "faults.0.zone: no zone 'q'",
    HEAD + '[[faults]]\nkind = "kill"\nat_s = 1\ntargets = [3]': "faults.0.targets: 3 is past the last, 2",
    "version = 1\nclasses = []": "classes: at least one is needed",
    HEAD + '[[plans]]\nname = "p"': "plans: p comes twice",
    HEAD + '[[plans]]\nname = "q"\nrefill = 1.0': "plans.1.depth: a burst below",
    HEAD + "[load]\nrate = 1e7": "more than the 20000000 of one run",
    "version = ": "not TOML",
}


@pytest.mark.parametrize("text", WRONG, ids=lambda text: WRONG[text][:40])
def test_a_wrong_scenario_is_named_in_one_line(text: str, tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(text)
    with pytest.raises(schema.ScenarioError) as error:
        scenario_file.load(path)
    assert str(error.value).startswith(str(path))
    assert WRONG[text] in str(error.value)
    assert "\n" not in str(error.value)


def test_sets_change_a_scenario(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(HEAD + '[[faults]]\nkind = "kill"\nat_s = 1')
    s = scenario_file.load(path, ["workers.count=9", "faults.0.at_s=2.5", "name=other", "load.part=0.7"])
    assert (s.workers.count, s.faults[0].at_s, s.name, s.load.part) == (9, 2.5, "other", 0.7)
    for wrong in ("workers.count", "faults.7.at_s=1", "workers.count=many"):
        with pytest.raises(schema.ScenarioError):
            scenario_file.load(path, [wrong])
    with pytest.raises(schema.ScenarioError, match="No such file"):
        scenario_file.load(tmp_path / "none.toml")
