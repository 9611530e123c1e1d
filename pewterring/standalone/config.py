"""Reads the configuration of a gateway: its file, environment variables, limits and settings."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import orjson

from pewterring.standalone.network.connection import Address, read_address
from pewterring.standalone.network.discovery import Listing, read_listing
from pewterring.standalone.policy import interface
from pewterring.standalone.settings import Transport, read_json

CONFIG, LISTEN, DISCOVERY, NAME = "ROUTER_CONFIG", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_NAME"
TALLY = "ROUTER_TALLY_S"  # seconds between tally lines (docs/oncall.md sums them); unset or 0: no lines


class ConfigError(ValueError):
    """The configuration cannot be used; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Config:
    """The parsed configuration of one gateway process."""

    name: str
    listen: Address
    discovery: Address | None
    seed: int
    sockets: int
    memory_mb: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: Listing | None
    settings: interface.Settings
    transport: Transport
    tally_s: float = 0.0


def load(path: str | None = None, env: Mapping[str, str] = os.environ, strict: bool = False) -> Config:
    """Reads the file at `path`, or the one that the environment names. Raises ConfigError.

    `strict` rejects setting names that are probably misspelt. It is meant for reloads, where the former
    settings stay in force; at start such an error would leave no gateway running.
    """
    path = path or env.get(CONFIG)
    if not path:
        raise ConfigError(f"no configuration: name a file, or set {CONFIG}")
    try:
        tree = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(tree, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return read(tree, env, strict)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read(tree: dict[str, object], env: Mapping[str, str], strict: bool = False) -> Config:
    """Builds the configuration from parsed JSON; environment variables supply values that it lacks."""
    listen = tree.get("listen") or env.get(LISTEN)
    if not listen:
        raise ConfigError("listen is missing")
    limits, seed, known = tree.get("limits") or {}, tree.get("seed", 0), tree.get("known")
    if not isinstance(limits, dict):
        raise ConfigError("limits is not an object")
    peers = tree.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers is not a list")
    settings, transport = read_json(tree.get("settings"), strict)
    return Config(
        name=str(tree.get("name") or env.get(NAME, "")),
        listen=read_address(str(listen)),
        discovery=address(tree.get("discovery") or env.get(DISCOVERY)),
        seed=seed if isinstance(seed, int) else int(str(seed), 16),
        sockets=int(limits.get("sockets", 1024)),
        memory_mb=int(limits.get("memory_mb", 192)),
        peer_listen=address(tree.get("peer_listen")),
        peers=tuple(read_address(str(peer)) for peer in peers),
        peers_all=address(tree.get("peers_all")),
        known=read_listing(known) if known else None,
        settings=settings,
        transport=transport,
        tally_s=float(env.get(TALLY) or 0.0),
    )


def address(value: object) -> Address | None:
    return read_address(str(value)) if value else None
