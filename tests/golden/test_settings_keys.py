"""Golden keys of node.conf, configurations, the standalone gateway's file and the deployment files."""

import orjson
import pytest

from tests.golden import settings_cases as cases
from tests.golden.golden_files import read_text


def test_every_key_of_node_conf_is_read() -> None:
    assert cases.read_node_settings("node.conf") == cases.NODE_SETTINGS


def test_keys_missing_from_node_conf_have_the_golden_defaults() -> None:
    assert cases.read_node_settings("least-node.conf") == cases.MINIMAL_NODE_SETTINGS


def test_the_keys_of_node_conf_are_the_golden_ones() -> None:
    assert cases.node_keys() == read_text(cases.NODE_KEYS_FILE)


def test_the_environment_variables_are_the_golden_ones() -> None:
    assert cases.environment_variables() == read_text(cases.VARIABLES_FILE)


def test_every_key_of_a_configuration_is_read() -> None:
    assert cases.read_configuration() == cases.CONFIGURATION


def test_the_keys_of_a_configuration_are_the_golden_ones() -> None:
    assert cases.configuration_keys() == read_text(cases.CONFIGURATION_KEYS_FILE)


def test_a_patch_adds_and_removes_the_named_items() -> None:
    before = orjson.loads((cases.INPUTS / "configuration.json").read_bytes())
    change = orjson.loads((cases.INPUTS / "patch.json").read_bytes())
    assert cases.patched_items() == {
        "version": 10,
        "routes": [*before["routes"][1:], *change["upsert"]["routes"]],
        "backends": [*before["backends"], *change["upsert"]["backends"]],
    }


def test_every_key_of_the_standalone_gateway_is_read() -> None:
    assert cases.read_standalone(cases.STANDALONE_VARIABLES) == cases.STANDALONE


@pytest.mark.parametrize("name", cases.DEPLOYMENT_FILES)
def test_the_keys_of_a_deployment_file_are_the_golden_ones(name: str) -> None:
    assert cases.deployment_keys(name) == read_text(name)
