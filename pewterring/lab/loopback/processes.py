"""Gatekeeper processes on loopback: each `python -m pewterring serve` with a configuration written for it."""

import asyncio
import contextlib
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import orjson

from pewterring.lab.loopback.ports import HOST
from pewterring.standalone.network.connection import Address
from pewterring.standalone.policy import interface as i

NS = 1_000_000_000
READY_S, POLL_S = 20.0, 0.02
STARTED = b'"event":"started"'


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings_tree(s: i.Settings, idle_s: float, connect_timeout_s: float) -> dict[str, Any]:
    """Settings in the nested form of a real gatekeeper's configuration, times in nanoseconds."""

    def ns(seconds: float) -> int:
        return round(seconds * NS)

    return {
        "me": s.me, "fleet_size": s.fleet_size, "az": s.zone, "discovery": "push", "weight_kind": "nominal",
        "profiles": [
            {"name": c.name, "effect": c.effect.value, "group": c.group.value,
             "objective": ns(c.latency_target), "deadline": ns(c.deadline),
             "repeat_window": ns(c.repeat_window), "gain": c.worth, "late_value": c.late_worth}
            for c in s.classes.values()
        ],
        "tiers_of_service": [
            {"name": p.name, "refill": p.refill, "depth": p.depth, "parallel": p.parallel, "cap_rate":
            p.cap_rate,
             "never_over_depth": p.cap_depth, "cap_slack": p.cap_slack, "value_factor": p.price,
             "over_worth": p.over_worth, "beyond_costs": p.over_cost}
            for p in s.plans.values()
        ],
        "policy_limits": {
            "max_attempts": s.limits.max_attempts, "may_duplicate": s.limits.may_duplicate,
            "cancel": s.limits.cancel, "probing": s.limits.probing, "peers": s.limits.peers,
            "retry_after": s.limits.retry_after, "max_retry_after": ns(s.limits.max_retry_after),
            "connect_timeout": ns(connect_timeout_s), "conn_idle": ns(idle_s), "max_open": 20_000,
        },
        "guarantees": {
            "stop_sending_within": ns(s.rules.stop_sending_within), "cold": ns(s.rules.cold),
            "cold_share": s.rules.cold_share, "fall_multiple": s.rules.fall_multiple,
            "tip_after": ns(s.rules.tip_after), "answer_slack": ns(0.05),
        },
        "specifics": {"mail_per_s": s.mail_per_s, "max_units": s.max_units},
    }  # fmt: skip


class Process:
    """One gatekeeper's process, started again under the same addresses as often as the run asks."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder = number, folder
        self.move()
        self.log, self.log_from = folder / f"g{number}.log", 0
        self.child: asyncio.subprocess.Process | None = None
        self.crashed: list[int] = []  # codes of ends that nobody asked for
        self.expected = False

    def move(self) -> None:
        """To ports that are free just now. Nothing keeps them so: who finds one taken moves again."""
        self.listen = Address(HOST, free_port())
        self.peer_listen = Address(HOST, free_port(socket.SOCK_DGRAM))

    async def start(self, config: dict[str, Any]) -> None:
        path = self.folder / f"g{self.number}.json"
        path.write_bytes(orjson.dumps(config))
        log = open(self.log, "ab")  # noqa: SIM115 - the child keeps it
        self.log_from = log.tell()
        self.expected = False
        with log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "pewterring", "serve", str(path),
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip

    async def ready(self) -> bool:
        """Whether it says that it has started, and answers its health call with 200, within READY_S."""
        async with asyncio.timeout(READY_S):
            while self.child is not None and self.child.returncode is None:
                # Its own word first: at an address that it could not bind another may answer.
                if STARTED not in self.log.read_bytes()[self.log_from :]:
                    await asyncio.sleep(POLL_S)
                    continue
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*self.listen)
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
                    head = await reader.read(64)
                    writer.close()
                    if head.startswith(b"HTTP/1.1 200"):
                        return True
                await asyncio.sleep(POLL_S)
        return False

    def signal(self, number: signal.Signals) -> None:
        if self.child is not None and self.child.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected = True
            self.child.send_signal(number)

    async def ended(self) -> None:
        if self.child is not None:
            code = await self.child.wait()
            if not self.expected:
                self.crashed.append(code)

    def check_exit(self) -> None:
        """Counts an exit that nobody asked for, once."""
        if self.child is not None and self.child.returncode is not None and not self.expected:
            self.crashed.append(self.child.returncode)
            self.expected = True

    def memory_kb(self) -> int:
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.child.pid if self.child else 0}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    return int(line.split()[1])
        return 0
