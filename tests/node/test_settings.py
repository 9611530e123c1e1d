"""Settings of a process: typed values, a list of all problems, unknown keys."""

import pytest

from pewterring.node.address import Address
from pewterring.node.errors import SettingsError
from pewterring.node.settings import RequestLogMode, examine_settings, read_report
from tests.node.settings_texts import read_settings, settings_text


def test_values_are_typed_and_in_base_units() -> None:
    settings = read_settings(settings_text())
    assert settings.front == Address("10.1.0.35", 8144)
    assert settings.seeds == (Address("10.1.0.38", 8146), Address("10.2.0.31", 8146))
    assert settings.internal_port == 7660
    assert settings.bootstrap is True
    assert settings.heartbeat_s == 1.2
    assert settings.bounds.contact_s == 3.0
    assert settings.data_dir is None


def test_empty_values_count_as_not_given() -> None:
    settings = read_settings(settings_text(heartbeat_ms="", bootstrap="", data_dir=""))
    assert (settings.heartbeat_s, settings.bootstrap, settings.data_dir) == (1.0, False, None)


def test_one_error_lists_all_problems() -> None:
    text = settings_text(node_id=None, heartbeat_ms="soon", bootstrap="maybe", seed_nodes="10.1.0.38")
    with pytest.raises(SettingsError) as raised:
        read_settings(text)
    assert len(raised.value.problems) == 4
    for key in ("node_id", "heartbeat_ms", "bootstrap", "seed_nodes"):
        assert key in str(raised.value)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"ip": None}, "ip is missing"),
        ({"ephemeral_ports": "many"}, "ephemeral_ports is not a range of ports"),
        ({"ephemeral_ports": "0,5"}, "ephemeral_ports is not a range of ports"),
        ({"ephemeral_ports": None}, "ephemeral_ports is missing"),
        ({"listen_addrs__front": "10.1.0.35:99999"}, "listen_addrs.front is not an address"),
        ({"heartbeat_ms": "0"}, "heartbeat_ms must be 1 or more"),
        ({"heartbeat_ms": "nan"}, "heartbeat_ms must be 1 or more"),
        ({"bounds__grace_s": "-1"}, "bounds.grace_s must be 0 or more"),
    ],
)
def test_the_error_names_the_invalid_key(changes: dict[str, str | None], message: str) -> None:
    with pytest.raises(SettingsError) as raised:
        read_settings(settings_text(**changes))
    assert message in str(raised.value)


def test_malformed_text_is_rejected() -> None:
    with pytest.raises(SettingsError, match=r"lines of a\.b=value"):
        read_settings("a=\\u12\n")


def test_unknown_keys_are_ignored_and_reported() -> None:
    report = read_report(settings_text(some_new__field="x", another="y"))
    assert report.unknown == ("another", "some_new.field")
    assert report.settings == read_settings(settings_text())


def test_documented_keys_are_not_reported_as_unknown() -> None:
    assert read_report(settings_text()).unknown == ()


@pytest.mark.parametrize(
    ("program", "missing"),
    [
        ("gateway", ()),
        ("control", ("listen_addrs.control", "data_dir")),
        ("store", ("data_dir",)),
    ],
)
def test_missing_keys_that_a_program_requires_are_reported(program: str, missing: tuple[str, ...]) -> None:
    problems = examine_settings(settings_text(), program).problems
    assert problems == tuple(f"{key} is missing: {program} needs it" for key in missing)


def test_the_request_log_is_off_unless_a_valid_mode_is_set() -> None:
    assert read_settings(settings_text()).request_log is RequestLogMode.OFF
    for mode in RequestLogMode:
        text = settings_text() + f"\nlog.requests={mode}\n"
        assert read_settings(text).request_log is mode
    with pytest.raises(SettingsError, match=r"log\.requests is none of off, thinned, all: 'some'"):
        read_settings(settings_text() + "\nlog.requests=some\n")
