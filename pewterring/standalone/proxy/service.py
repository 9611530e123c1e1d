"""One gatekeeper, put together: starts, serves, takes a new file at SIGHUP, ends in good order at SIGTERM."""

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
from pewterring.standalone.proxy.gateway import Gateway, Module
from pewterring.standalone.proxy.switch import renew

SWEEP_S = 0.25
BUFFERS = 8  # one part in so many of the memory is for answers that have not come whole, one for requests
FIGURES_S = 10.0  # between two lines of figures in the log
# At SIGTERM clients go on using the connections that they have for as long as these stay open, and find
# nobody in its place before the next start. So it serves on, connections and all, for the longest deadline
# (LONGEST_S where that is longer) and ON_S more. No kill comes before KILL_S past that deadline: what is
# taken meanwhile is answered SPARE_S earlier. It ends sooner where, AT_LEAST_S having passed, nobody is
# connected and nothing came for QUIET_S: who has a connection may use it at any moment.
LONGEST_S, ON_S, KILL_S, SPARE_S = 3.0, 0.2, 0.7, 0.2
AT_LEAST_S, QUIET_S, POLL_S = 0.6, 0.3, 0.02
# A request that crosses the close of its connection comes again on a new one, while the door is open. The
# first on a new connection comes at once: a connection is closed only when it has idled for so long.
CROSSING_S = 0.1


# What a new file changes while the program runs; all else in it needs a restart. `known` and `seed` are for
# starts only and change with each file.
MOVABLE = frozenset({"discovery", "settings", "transport", "peers", "peers_all"})
FOR_STARTS = frozenset({"known", "seed"})


C = TypeVar("C", Config, Settings)


def pushed_within(config: Config) -> float | None:
    """Where lists are pushed: how soon what is in them must be acted on."""
    return None if config.settings.ask_discovery else config.settings.rules.stop_sending_within


def differing(one: C, other: C) -> set[str]:
    return {f.name for f in fields(one) if getattr(one, f.name) != getattr(other, f.name)}


class Service:
    def __init__(
        self,
        config: Config,
        log: Log,
        module: Module | None = None,
        read_again: Callable[[], Config] | None = None,
    ) -> None:
        self.config, self.log, self.read_again = config, log, read_again
        self.loop = asyncio.get_running_loop()
        self.descriptors = Descriptors(config.sockets)
        transport = config.transport
        self.room = config.memory_mb * 1024 * 1024 // BUFFERS
        self.pool = Pool(
            self.loop, self.descriptors, transport.connect_timeout, transport.conn_idle, room=self.room
        )
        module = self.module = module or GatewayPolicy(config.settings, config.seed)
        if config.tally_s > 0:
            from pewterring.standalone.proxy.tally import Tally

            module = Tally(module, log, config.tally_s)
        self.gateway = Gateway(self.loop, config.settings, transport, module, self.pool, log)
        self.listener: Listener | None = None
        self.discovery: Discovery | None = None
        self.stop = asyncio.Event()
        self.sweeping: asyncio.TimerHandle | None = None
        self.figured = self.loop.time()
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
        gc.freeze()  # what was built at the start stays: collections need not look through it
        self.log("started", name=config.name, listen=str(self.listener.address), ready=gateway.ready)

    def follow(self, version: int | None) -> None:
        """Follows the list of workers where the configuration has it now, from that version on."""
        address, gateway = self.config.discovery, self.gateway
        told, failed = gateway.listed, gateway.discovery_failed
        self.discovery = address and Discovery(self.loop, address, told, failed, pushed_within(self.config))
        if self.discovery:
            self.discovery.start(version)

    def reload(self) -> None:
        """Reads the file again (SIGHUP) and goes on by it. Nothing that is held is dropped; a file that can't
        be used changes nothing. The list at a new address is another's: its versions say nothing of the
        former's."""
        if self.closed or not self.read_again:
            return
        try:
            new = self.read_again()
        except ConfigError as error:
            return self.log("reload_failed", why=str(error))
        restart = []
        if new.settings.me != self.config.settings.me:  # peers know it by its number
            restart.append("settings.me")
            me, fleet = self.config.settings.me, new.settings.fleet_size
            if me >= fleet:
                why = f"settings: fleet_size cannot be {fleet} for number {me}: {me + 1} or more is allowed"
                return self.log("reload_failed", why=why)
            new = replace(new, settings=replace(new.settings, me=me))
        changed = differing(new, self.config)
        moved, old = changed & MOVABLE, self.config
        if not self.gateway.peers:
            moved -= {"peers", "peers_all"}  # there is no socket for them
        self.config = replace(old, **{name: getattr(new, name) for name in moved})
        if moved & {"settings", "transport"}:
            self.switch(self.config)
        if moved & {"peers", "peers_all"} and self.gateway.peers:
            self.gateway.peers.renew(new.peers, new.peers_all)
        if "discovery" in moved and self.listener:  # else the start, still on its way, follows the new one
            if self.discovery:
                self.discovery.close()
            self.follow(None)
        restart += sorted(changed - moved - FOR_STARTS)
        within = sorted(differing(old.settings, self.config.settings))
        self.log("reloaded", changed=sorted(moved), settings=within, needs_restart=restart)

    def switch(self, config: Config) -> None:
        """From here on by these settings. What was read by the former ones is handed to the module first."""
        gateway = self.gateway
        if gateway.inbox:
            gateway.turn()
        gateway.renew(config.settings, config.transport)
        self.pool.renew(config.transport.connect_timeout, config.transport.conn_idle)
        if self.discovery:
            self.discovery.renew(pushed_within(config))
        if isinstance(self.module, GatewayPolicy):
            renew(self.module, self.loop.time(), config.settings)

    def unexpected(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no code here caught: the loop goes on, and the log says it in the form of all else."""
        self.log("unexpected", what=context.get("message"), error=repr(context.get("exception")))

    def sweep(self) -> None:
        self.pool.sweep()
        if self.listener:
            self.listener.sweep(self.gateway.patience)
        if self.loop.time() - self.figured >= FIGURES_S:
            self.figured += FIGURES_S
            self.log("figures", **self.figures())
        self.sweeping = self.loop.call_later(SWEEP_S, self.sweep)

    async def run(self) -> None:
        self.loop.set_exception_handler(self.unexpected)
        for sign in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(sign, self.stop.set)
        await self.start()
        await self.stop.wait()
        await self.end()

    async def end(self) -> None:
        """Goes on serving while requests still come, answers all, ends when nothing is held."""
        gateway, listener, began = self.gateway, self.listener, self.loop.time()
        assert listener is not None
        self.log("stopping", held=len(gateway.by_client))
        gateway.stopping = True
        longest = min(gateway.patience, LONGEST_S)
        gateway.ends_at = began + longest + KILL_S - SPARE_S
        while not self.quiet(began, longest):
            await asyncio.sleep(POLL_S)
        listener.closing = True
        # Idle connections are closed now and not before: their clients may have gone on using them. The door
        # stays open for what crosses such a close, the last one too.
        left = self.loop.time()
        while gateway.by_client or listener.opening or listener.socket or listener.stays:
            now = self.loop.time()
            if listener.close_idle(CROSSING_S) or listener.idle:
                left = now
            if now - left >= CROSSING_S or now >= gateway.ends_at:
                listener.close()
            await asyncio.sleep(POLL_S)
        while listener.clients:
            await asyncio.sleep(POLL_S)
        self.close()
        self.log("stopped", **self.figures())

    def figures(self) -> dict[str, object]:
        """What was done since the start, and what is held now."""
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
        if self.sweeping:
            self.sweeping.cancel()
        if self.listener:
            self.listener.close()
        if self.discovery:
            self.discovery.close()
        self.pool.close()
        if self.gateway.peers:
            self.gateway.peers.close()

    def quiet(self, began: float, longest: float) -> bool:
        now, listener = self.loop.time(), self.listener
        past = now - began
        if past >= longest + ON_S or listener is None:
            return True
        came = max(self.gateway.asked_at, listener.accepted_at)
        nobody = not listener.clients and not listener.opening
        return nobody and past >= AT_LEAST_S and now - came >= QUIET_S
