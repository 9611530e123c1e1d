"""The gateway process: starts, serves, reloads its configuration at SIGHUP, drains at SIGTERM."""

import asyncio
import gc
import signal
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any, TypeVar

from pewterring.standalone.config import Config, ConfigError
from pewterring.standalone.log import Log
from pewterring.standalone.network.clients import Listener
from pewterring.standalone.network.descriptors import Descriptors
from pewterring.standalone.network.discovery import Discovery
from pewterring.standalone.network.peers import Peers
from pewterring.standalone.network.workers import Pool
from pewterring.standalone.policy.decisions import GatewayPolicy
from pewterring.standalone.policy.interface import Settings
from pewterring.standalone.proxy.gateway import Gateway, Policy
from pewterring.standalone.proxy.switch import renew

SWEEP_S = 0.25
BUFFER_DIVISOR = 8  # 1/8 of the memory limit buffers incomplete responses, another 1/8 incomplete requests
COUNTERS_INTERVAL_S = 10.0  # interval between log lines with counters
# After SIGTERM clients keep using their open connections, and no replacement listens before the next start.
# The process therefore keeps serving for the longest deadline (at most LONGEST_S) plus ON_S. A kill comes
# KILL_S after that deadline at the earliest, so requests accepted until then are answered SPARE_S before it.
# The process ends earlier if AT_LEAST_S have passed, no client is connected and nothing arrived for QUIET_S:
# a client with an open connection may use it at any moment.
LONGEST_S, ON_S, KILL_S, SPARE_S = 3.0, 0.2, 0.7, 0.2
AT_LEAST_S, QUIET_S, POLL_S = 0.6, 0.3, 0.02
# Seconds. A client whose request crosses the close of its connection sends it again on a new one, while the
# listener is open. The first request follows immediately, so a connection idle for this long may be closed.
CROSSING_S = 0.1


# Fields that a reload applies to the running process; other changes need a restart. `known` and `seed` are
# only used at start and differ in every file.
RELOADABLE = frozenset({"discovery", "settings", "transport", "peers", "peers_all"})
START_ONLY = frozenset({"known", "seed"})


C = TypeVar("C", Config, Settings)


def pushed_within(config: Config) -> float | None:
    """Seconds within which a change pushed by discovery must take effect; None if lists are polled."""
    return None if config.settings.ask_discovery else config.settings.rules.stop_sending_within


def differing(one: C, other: C) -> set[str]:
    """Names of the fields whose values differ."""
    return {f.name for f in fields(one) if getattr(one, f.name) != getattr(other, f.name)}


class Service:
    """Connects the listener, gateway, worker pool, discovery and peers of one gateway process."""

    def __init__(
        self,
        config: Config,
        log: Log,
        policy: Policy | None = None,
        read_again: Callable[[], Config] | None = None,
    ) -> None:
        self.config, self.log, self.read_again = config, log, read_again
        self.loop = asyncio.get_running_loop()
        self.descriptors = Descriptors(config.sockets)
        transport = config.transport
        self.room = config.memory_mb * 1024 * 1024 // BUFFER_DIVISOR
        self.pool = Pool(
            self.loop, self.descriptors, transport.connect_timeout, transport.conn_idle, room=self.room
        )
        policy = self.policy = policy or GatewayPolicy(config.settings, config.seed)
        if config.tally_s > 0:
            from pewterring.standalone.proxy.tally import Tally

            policy = Tally(policy, log, config.tally_s)
        self.gateway = Gateway(self.loop, config.settings, transport, policy, self.pool, log)
        self.listener: Listener | None = None
        self.discovery: Discovery | None = None
        self.stop = asyncio.Event()
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.counters_logged_at = self.loop.time()
        self.closed = False

    async def start(self) -> None:
        config, gateway = self.config, self.gateway
        if config.known:
            gateway.remembered(config.known)
        if config.peer_listen:
            peers = Peers(config.settings.me, config.peers, config.peers_all, gateway.heard)
            await peers.open(self.loop, config.peer_listen)
            gateway.peers = peers
        self.listener = Listener(self.loop, config.listen, self.descriptors, gateway, self.room)
        self.descriptors.shed_early, self.descriptors.shed_late = self.pool.shed, self.listener.shed
        self.descriptors.shed_rested = self.listener.shed_rested
        self.descriptors.freed = self.listener.start
        self.listener.start()
        self.follow(config.known.version if config.known else None)
        self.sweep()
        gc.freeze()  # objects built at start live as long as the process: excluded from collections
        self.log("started", name=config.name, listen=str(self.listener.address), ready=gateway.ready)

    def follow(self, version: int | None) -> None:
        """Starts to follow the worker list at the configured discovery address, from `version` on."""
        address, gateway = self.config.discovery, self.gateway
        on_list, on_failure = gateway.listed, gateway.discovery_failed
        self.discovery = address and Discovery(
            self.loop, address, on_list, on_failure, pushed_within(self.config)
        )
        if self.discovery:
            self.discovery.start(version)

    def reload(self) -> None:
        """Reads the configuration file again (SIGHUP) and applies it. Requests in flight are kept; an
        invalid file changes nothing. At a new discovery address the list versions start anew."""
        if self.closed or not self.read_again:
            return
        try:
            new = self.read_again()
        except ConfigError as error:
            return self.log("reload_failed", why=str(error))
        restart = []
        if new.settings.me != self.config.settings.me:  # peers identify this gateway by its number
            restart.append("settings.me")
            me, fleet = self.config.settings.me, new.settings.fleet_size
            if me >= fleet:
                why = f"settings: fleet_size cannot be {fleet} for number {me}: {me + 1} or more is allowed"
                return self.log("reload_failed", why=why)
            new = replace(new, settings=replace(new.settings, me=me))
        changed = differing(new, self.config)
        applied, old = changed & RELOADABLE, self.config
        if not self.gateway.peers:
            applied -= {"peers", "peers_all"}  # no peer socket is open
        self.config = replace(old, **{name: getattr(new, name) for name in applied})
        if applied & {"settings", "transport"}:
            self.switch(self.config)
        if applied & {"peers", "peers_all"} and self.gateway.peers:
            self.gateway.peers.renew(new.peers, new.peers_all)
        if "discovery" in applied and self.listener:  # otherwise start() has yet to follow the new address
            if self.discovery:
                self.discovery.close()
            self.follow(None)
        restart += sorted(changed - applied - START_ONLY)
        changed_settings = sorted(differing(old.settings, self.config.settings))
        self.log("reloaded", changed=sorted(applied), settings=changed_settings, needs_restart=restart)

    def switch(self, config: Config) -> None:
        """Applies new settings. Requests read under the former settings are passed to the policy first."""
        gateway = self.gateway
        if gateway.inbox:
            gateway.turn()
        gateway.renew(config.settings, config.transport)
        self.pool.renew(config.transport.connect_timeout, config.transport.conn_idle)
        if self.discovery:
            self.discovery.renew(pushed_within(config))
        if isinstance(self.policy, GatewayPolicy):
            renew(self.policy, self.loop.time(), config.settings)

    def unexpected(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Logs an exception that nothing caught; the event loop continues."""
        self.log("unexpected", what=context.get("message"), error=repr(context.get("exception")))

    def sweep(self) -> None:
        self.pool.sweep()
        if self.listener:
            self.listener.sweep(self.gateway.patience)
        if self.loop.time() - self.counters_logged_at >= COUNTERS_INTERVAL_S:
            self.counters_logged_at += COUNTERS_INTERVAL_S
            self.log("figures", **self.figures())
        self.sweep_timer = self.loop.call_later(SWEEP_S, self.sweep)

    async def run(self) -> None:
        self.loop.set_exception_handler(self.unexpected)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop.set)
        await self.start()
        await self.stop.wait()
        await self.end()

    async def end(self) -> None:
        """Keeps serving while requests may arrive, answers all of them, then closes everything."""
        gateway, listener, began = self.gateway, self.listener, self.loop.time()
        assert listener is not None
        self.log("stopping", held=len(gateway.by_client))
        gateway.stopping = True
        longest = min(gateway.patience, LONGEST_S)
        gateway.ends_at = began + longest + KILL_S - SPARE_S
        while not self.quiet(began, longest):
            await asyncio.sleep(POLL_S)
        listener.closing = True
        # Idle connections are closed only now, as their clients may have kept using them. The listener stays
        # open for requests that cross such a close, including the last one.
        last_closed = self.loop.time()
        while gateway.by_client or listener.opening or listener.socket or listener.stays:
            now = self.loop.time()
            if listener.close_idle(CROSSING_S) or listener.idle:
                last_closed = now
            if now - last_closed >= CROSSING_S or now >= gateway.ends_at:
                listener.close()
            await asyncio.sleep(POLL_S)
        while listener.clients:
            await asyncio.sleep(POLL_S)
        self.close()
        self.log("stopped", **self.figures())

    def figures(self) -> dict[str, object]:
        """Counters since the start, and the current numbers of requests and connections."""
        gateway, pool = self.gateway, self.pool
        return {
            "taken": gateway.taken,
            "served": gateway.served,
            "refused": gateway.refused,
            "failed": gateway.failed,
            "unusable": gateway.unusable,
            "left": gateway.left,
            "faults": gateway.faults,
            "held": len(gateway.by_client),
            "clients": len(self.listener.clients) if self.listener else 0,
            "rejected": dict(self.listener.rejected) if self.listener else {},
            "opened": pool.opened,
            "reused": pool.reused,
            "outcomes": {ending.name.lower(): n for ending, n in pool.outcomes.items()},
            "endings": {ending.name.lower(): n for ending, n in pool.endings.items()},
        }

    def close(self) -> None:
        self.closed = True
        if self.sweep_timer:
            self.sweep_timer.cancel()
        if self.listener:
            self.listener.close()
        if self.discovery:
            self.discovery.close()
        self.pool.close()
        if self.gateway.peers:
            self.gateway.peers.close()

    def quiet(self, began: float, longest: float) -> bool:
        now, listener = self.loop.time(), self.listener
        elapsed = now - began
        if elapsed >= longest + ON_S or listener is None:
            return True
        last_arrival = max(self.gateway.asked_at, listener.accepted_at)
        no_clients = not listener.clients and not listener.opening
        return no_clients and elapsed >= AT_LEAST_S and now - last_arrival >= QUIET_S
