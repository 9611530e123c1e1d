"""Expected values of the golden settings and configuration files, and lists of all their keys.

All expected values are built in this module. The files in `surfaces/inputs` have every key that the readers
know.
"""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson

from pewterring.configuration import model, patch, reader, schema
from pewterring.node import keys, settings
from pewterring.node.address import Address
from pewterring.standalone import config as standalone
from pewterring.standalone.network.connection import Address as StandaloneAddress
from pewterring.standalone.network.discovery import Entry, Listing
from pewterring.standalone.policy import interface
from pewterring.standalone.settings import Transport
from tests.golden.golden_files import DIRECTORY, sorted_lines

ROOT = Path(__file__).resolve().parents[2]
INPUTS = DIRECTORY / "inputs"
NODE_KEYS_FILE = "node-conf-keys.txt"
VARIABLES_FILE = "environment-variables.txt"
CONFIGURATION_KEYS_FILE = "configuration-keys.txt"
DEPLOYMENT_FILES = {
    "balancer-toml-keys.txt": ROOT / "deploy" / "balancer.toml",
    "system-toml-keys.txt": ROOT / "deploy" / "system.toml",
    "tally-toml-keys.txt": ROOT / "deploy" / "tally.toml",
    "example-config-keys.txt": ROOT / "examples" / "config.json",
}

NODE_SETTINGS = settings.NodeSettings(
    node_id="edge-a-1",
    ip="10.1.0.35",
    zone="a",
    region="r",
    front=Address("10.1.0.35", 8144),
    ready=Address("10.1.0.35", 8140),
    control=Address("10.1.0.35", 8146),
    internal_port=7660,
    seeds=(Address("10.1.0.38", 8146), Address("10.2.0.31", 8146)),
    bootstrap=True,
    data_dir=Path("/data/pewterring"),
    heartbeat_s=1.2,
    tolerated_machines=2,
    memory_mb=300,
    max_descriptors=2048,
    cpu_share=1.5,
    disk_mb=4096,
    bounds=settings.Bounds(3.1, 2.1, 2.2, 8.5, 5.5, 4.1, 121.0, 3.2, 0.25),
    cluster="blue",
    copy_mb_per_s=12.5,
    warm_learners=3,
    request_log=settings.RequestLogMode.ALL,
)
MINIMAL_NODE_SETTINGS = settings.NodeSettings(
    node_id="control-a-1",
    ip="10.1.0.38",
    zone="a",
    region="",
    front=None,
    ready=None,
    control=None,
    internal_port=7660,
    seeds=(),
    bootstrap=False,
    data_dir=None,
    heartbeat_s=1.0,
    tolerated_machines=1,
    memory_mb=256,
    max_descriptors=1024,
    cpu_share=1.0,
    disk_mb=0,
    bounds=settings.Bounds(3.0, 2.0, 2.0, 8.0, 5.0, 4.0, 120.0, 3.0, 0.1),
    cluster="",
    copy_mb_per_s=0.0,
    warm_learners=1,
    request_log=settings.RequestLogMode.OFF,
)


def _minimal_route(path: str, kind: model.RouteType, service: str) -> model.Route:
    services = (model.WeightedService(service, 1.0),)
    return model.Route("", "h", path, kind, services, 30000.0, 1000.0, 0, 1, False, False, 0.0, 0, 0.0, 0.0)


CONFIGURATION = model.Configuration(
    version=9,
    routes=(
        model.Route(
            name="chat",
            host="chat.example",
            path_prefix="/v1/chat/",
            route_type=model.RouteType.STREAMING,
            services=(model.WeightedService("large", 90.0), model.WeightedService("small", 10.5)),
            timeout_ms=6000.0,
            target_latency_ms=200.0,
            priority=1,
            max_attempts=2,
            session_affinity=True,
            resumable=True,
            token_gap_target_ms=250.0,
            max_queued_tokens=1400000,
            completion_target_ms=10000.0,
            job_ttl_s=60.0,
        ),
        _minimal_route("/jobs/", model.RouteType.BATCH_JOB, "large"),
        _minimal_route("/once/", model.RouteType.NON_IDEMPOTENT, "large"),
        _minimal_route("/", model.RouteType.IDEMPOTENT, "small"),
    ),
    services={
        "large": model.Service("large", "/ready", 290, model.Engine(48, 469689, 14, ("m",))),
        "small": model.Service("small", "/healthz", 0, None),
    },
    limits=model.ClientLimits(8192, 1048576, 2500.0, 12000.0),
    document=(INPUTS / "configuration.json").read_bytes(),
)

STANDALONE = standalone.Config(
    name="g1",
    listen=StandaloneAddress("127.0.0.1", 9000),
    discovery=StandaloneAddress("127.0.0.1", 8500),
    seed=0x8C1F30D27A5BE964,
    sockets=2048,
    memory_mb=300,
    peer_listen=StandaloneAddress("127.0.0.1", 7946),
    peers=(StandaloneAddress("127.0.0.1", 7946), StandaloneAddress("127.0.0.2", 7946)),
    peers_all=StandaloneAddress("127.0.0.255", 7946),
    known=Listing(
        3, True, (Entry("w0", StandaloneAddress("127.0.0.1", 9100), "a", 2, "draining", 1.5, 250.0),)
    ),
    settings=interface.Settings(
        me=1,
        fleet_size=2,
        zone="a",
        classes={
            "read": interface.RequestClass(
                "read", 0.5, 2.0, interface.Effect.TOKEN, interface.Group.ZONE, 4.0, 2.5, 0.5, True
            ),
            "pay": interface.RequestClass(
                "pay", 1.0, 3.0, interface.Effect.SIDE_EFFECT, interface.Group.ALL, 0.0, 1.0, 0.0, False
            ),
        },
        plans={
            "basic": interface.Plan("basic", 2.5, 6.0, 4, 3.0, 8.0, 0.5, 1.5, 0.25, 0.75),
            "free": interface.Plan("free", 0.0, 0.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0),
        },
        limits=interface.Limits(3, True, True, True, True, True, 2.5),
        rules=interface.Rules(1.5, 10.0, 0.25, 2.5, 3.0, 5.0),
        ask_discovery=True,
        live_ratings=True,
        mail_per_s=60.0,
        max_units=4.0,
        price_cross_zone=0.125,
    ),
    transport=Transport(0.75, 20.0, 1000),
    tally_s=2.5,
)
STANDALONE_VARIABLES = {"ROUTER_TALLY_S": "2.5"}


def read_node_settings(name: str) -> settings.NodeSettings:
    """Reads one of the golden node.conf files."""
    return settings.read_report((INPUTS / name).read_text(encoding="utf-8")).settings


def read_configuration() -> model.Configuration:
    """Reads the golden configuration of the serving tier."""
    return reader.read_configuration((INPUTS / "configuration.json").read_bytes())


def patched_items() -> dict[str, list[Any]]:
    """Returns the items of the golden configuration after the golden patch was applied, as decoded JSON."""
    change = patch.read_patch((INPUTS / "patch.json").read_bytes())
    patched = patch.apply_patch((INPUTS / "configuration.json").read_bytes(), change)
    tree = orjson.loads(patched)
    return {"version": tree["version"], "routes": tree["routes"], "backends": tree["backends"]}


def read_standalone(variables: dict[str, str]) -> standalone.Config:
    """Reads the golden configuration of the older standalone gateway."""
    return standalone.load(str(INPUTS / "gatekeeper.json"), variables, strict=True)


def node_keys() -> str:
    """Lists the keys of node.conf with kind and default, unused keys, and required keys of each program."""
    report = settings.examine_settings("")
    lines = [
        f"{key} {read.kind} required" if read.required else f"{key} {read.kind} default={read.value!s}"
        for key, read in report.reads.items()
    ]
    lines += [f"{key} not used" for key in keys.UNUSED_KEYS]
    lines += [f"{prefix}* not used" for prefix in keys.UNUSED_PREFIXES]
    lines += [f"{key} needed by {program}" for program, needed in keys.REQUIRED_BY.items() for key in needed]
    lines += [f"log.requests value {mode.value}" for mode in settings.RequestLogMode]
    return sorted_lines(lines)


def environment_variables() -> str:
    """Lists the environment variables that programs read, and the default path of node.conf."""
    names = [standalone.CONFIG, standalone.LISTEN, standalone.DISCOVERY, standalone.NAME, standalone.TALLY]
    return sorted_lines([*names, f"{keys.SETTINGS_VARIABLE} default={keys.DEFAULT_PATH}"])


def _schema_keys(fields: dict[str, Any], path: str = "") -> Iterator[str]:
    for name, field in fields.items():
        inner = getattr(field, "inner", field)
        kind = type(field).__name__ if inner is field else f"List of {type(inner).__name__}"
        yield f"{path}{name} {kind}{' required' if field.required else ''}"
        if hasattr(inner, "schema"):
            yield from _schema_keys(inner.schema.fields, f"{path}{name}.")


def configuration_keys() -> str:
    """Lists the keys of a configuration with their kinds, the route types and the keys of a patch."""
    lines = list(_schema_keys(schema.configuration_schema().fields))
    lines += [f"routes.route_type value {kind.value}" for kind in model.RouteType]
    lines += [f"patch {key}" for key in patch.PATCH_FIELDS]
    return sorted_lines(lines)


def _tree_keys(value: Any, path: str = "") -> Iterator[str]:
    """Yields path and type of each value; all items of a list have the same path."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from _tree_keys(inner, f"{path}.{name}" if path else name)
    elif isinstance(value, list):
        yield f"{path} list"
        for inner in value:
            yield from _tree_keys(inner, f"{path}[]")
    else:
        yield f"{path} {type(value).__name__}"


def deployment_keys(name: str) -> str:
    """Lists the keys of one file of `DEPLOYMENT_FILES` with the types of their values."""
    data = DEPLOYMENT_FILES[name].read_text(encoding="utf-8")
    tree = tomllib.loads(data) if DEPLOYMENT_FILES[name].suffix == ".toml" else orjson.loads(data)
    return sorted_lines(set(_tree_keys(tree)))
