"""Packages import downward only, and only the module decides."""

import ast
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# From the ground up: each may import those before it, and within itself.
LAYERS = ["durations", "membership", "standalone.policy.interface", "standalone.peer_messages",
          "standalone.policy.state", "admission", "standalone.policy.decisions", "standalone.settings",
          "standalone.log", "standalone.http", "standalone.network", "standalone.config",
          "standalone.simulator", "standalone.proxy", "consensus", "storage", "transport", "node",
          "observability", "configuration", "distribution", "registry", "routing", "control", "batch",
          "gateway", "local", "lab", "cli", "__main__"]  # fmt: skip
RUN_TIME = {"orjson"}  # beside the standard library
# Libraries of the serving tier, for its parts alone.
TIER = {
    "h11",
    "javaproperties",
    "loguru",
    "marshmallow",
    "msgspec",
    "prometheus_client",
    "returns",
    "sortedcontainers",
}
TIER_PARTS = [
    "consensus",
    "storage",
    "transport",
    "node",
    "observability",
    "configuration",
    "registry",
    "distribution",
    "routing",
    "control",
    "batch",
    "gateway",
    "local",
]
# Of a part alone, never on the way of `serve`.
EXTRAS = {
    "lab": {"hdrh", "matplotlib", "msgspec", "numpy", "tqdm"},
    "cli": {"loguru", "marshmallow", "msgspec", "tqdm"},
}
EXTRAS |= dict.fromkeys(TIER_PARTS, TIER)


def modules() -> dict[str, set[str]]:
    """Each module of the program, with the names of all that it imports."""
    found: dict[str, set[str]] = {}
    for path in sorted((ROOT / "pewterring").rglob("*.py")):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        imports = found[name] = set()
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                imports.update(alias.name for alias in node.names)
            elif isinstance(node, ast.ImportFrom) and node.module:
                imports.update(f"{node.module}.{alias.name}" for alias in node.names)
                imports.add(node.module)
    return found


def required(name: str) -> set[str]:
    return {line.split("==")[0].replace("-", "_") for line in (ROOT / name).read_text().split()}


def layer(name: str) -> int:
    """The layer of a module or of a name in it: that of the longest part of its path which is listed."""
    parts = name.split(".")[1:]
    for length in range(len(parts), 0, -1):
        if (path := ".".join(parts[:length])) in LAYERS:
            return LAYERS.index(path)
    return -1


def test_every_module_has_a_layer() -> None:
    packages = {"pewterring", "pewterring.standalone", "pewterring.standalone.policy"}
    assert {name for name in modules() if layer(name) < 0} == packages


def test_packages_import_downward() -> None:
    for name, imports in modules().items():
        for other in imports:
            if other.startswith("pewterring."):
                assert layer(other) <= layer(name), f"{name} imports {other}"


def test_no_module_imports_in_a_circle() -> None:
    found = modules()
    graph = {name: {x for x in imports if x in found} - {name} for name, imports in found.items()}
    while graph:
        free = {name for name, imports in graph.items() if not imports & set(graph)}
        assert free, f"a circle among {sorted(graph)}"
        graph = {name: imports for name, imports in graph.items() if name not in free}


def test_the_core_stands_without_sockets() -> None:
    found = modules()
    core = ("policy.interface", "peer_messages", "policy.state", "policy.decisions", "settings")
    for name in core:
        roots = {x.split(".")[0] for x in found[f"pewterring.standalone.{name}"]}
        assert not roots & {"asyncio", "socket", "time", "os", "orjson"}, name


def test_nothing_beside_the_library_and_what_is_required() -> None:
    for name, imports in modules().items():
        allowed = RUN_TIME | EXTRAS.get(name.split(".")[1] if "." in name else "", set())
        for root in {x.split(".")[0] for x in imports} - {"pewterring"}:
            assert root in sys.stdlib_module_names or root in allowed, f"{name} imports {root}"
    assert required("requirements.txt") == RUN_TIME
    assert required("requirements-tier.txt") == TIER | {"orjson"}


def test_serve_loads_nothing_that_it_does_not_use() -> None:
    """32 MB and a quick start: no command line's library, no lab, none of the lab's libraries."""
    look = "import sys; import pewterring.__main__, pewterring.standalone.proxy.service; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", look], check=True, capture_output=True, text=True, cwd=ROOT
    )
    heavy = {"click", "argparse", "pewterring.lab", "pewterring.cli.main"}.union(*EXTRAS.values())
    heavy |= {f"pewterring.{part}" for part in TIER_PARTS}
    assert not heavy & set(loaded.stdout.split())
