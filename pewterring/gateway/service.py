"""One gatekeeper, put together: starts, serves, and ends in good order at SIGTERM."""

import asyncio
import gc
import signal
from typing import Any

from pewterring.choice import Gatekeeper
from pewterring.config import Config
from pewterring.gateway.gateway import Gateway, Module
from pewterring.log import Log
from pewterring.net.clients import Listener
from pewterring.net.descriptors import Descriptors
from pewterring.net.discovery import Discovery
from pewterring.net.peers import Peers
from pewterring.net.workers import Pool

SWEEP_S = 0.5
# At SIGTERM new connections keep coming for a while: none must have come for QUIET_S, and AT_LEAST_S must
# have passed, before the door is closed. After AT_MOST_S it is closed all the same: what comes later would
# not be answered before the kill.
AT_LEAST_S, QUIET_S, AT_MOST_S, POLL_S = 0.6, 0.3, 1.5, 0.02
# A request that crosses the close of its connection comes again on a new one, while the door is open. The
# first on a new connection comes at once: a connection is closed only when it has idled for so long.
CROSSING_S = 0.1


class Service:
    def __init__(self, config: Config, log: Log, module: Module | None = None) -> None:
        self.config, self.log = config, log
        self.loop = asyncio.get_running_loop()
        self.descriptors = Descriptors(config.sockets)
        transport = config.transport
        self.pool = Pool(self.loop, self.descriptors, transport.connect_timeout, transport.conn_idle)
        module = module or Gatekeeper(config.settings, config.seed)
        self.gateway = Gateway(self.loop, config.settings, transport, module, self.pool, log)
        self.listener: Listener | None = None
        self.discovery: Discovery | None = None
        self.stop = asyncio.Event()
        self.sweeping: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        config, gateway = self.config, self.gateway
        if config.known:
            gateway.remembered(config.known)
        if config.peer_listen:
            peers = Peers(config.settings.me, config.peers, config.peers_all, gateway.heard)
            await peers.open(self.loop, config.peer_listen)
            gateway.peers = peers
        self.listener = Listener(self.loop, config.listen, self.descriptors, gateway)
        self.descriptors.shed_early, self.descriptors.shed_late = self.pool.shed, self.listener.shed
        self.descriptors.freed = self.listener.start
        self.listener.start()
        if config.discovery:
            self.discovery = Discovery(self.loop, config.discovery, gateway.listed, gateway.discovery_failed)
            self.discovery.start(config.known.version if config.known else None)
        self.sweep()
        gc.freeze()  # what was built at the start stays: collections need not look through it
        self.log("started", name=config.name, listen=str(self.listener.address), ready=gateway.ready)

    def unexpected(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no code here caught: the loop goes on, and the log says it in the form of all else."""
        self.log("unexpected", what=context.get("message"), error=repr(context.get("exception")))

    def sweep(self) -> None:
        self.pool.sweep()
        if self.listener:
            self.listener.sweep(self.gateway.patience)
        self.sweeping = self.loop.call_later(SWEEP_S, self.sweep)

    async def run(self) -> None:
        self.loop.set_exception_handler(self.unexpected)
        for sign in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(sign, self.stop.set)
        await self.start()
        await self.stop.wait()
        await self.end()

    async def end(self) -> None:
        """Goes on accepting while connections still come, answers all, ends when nothing is held."""
        gateway, listener, began = self.gateway, self.listener, self.loop.time()
        assert listener is not None
        self.log("stopping", held=len(gateway.by_client))
        gateway.stopping = listener.closing = True
        while not self.quiet(began):
            await asyncio.sleep(POLL_S)
        # Idle connections are closed now and not before: their clients may have gone on using them.
        listener.close_idle(CROSSING_S)
        await asyncio.sleep(CROSSING_S)
        listener.close()
        while gateway.by_client or listener.opening or any(c.ending is None for c in listener.clients):
            listener.close_idle(CROSSING_S)
            await asyncio.sleep(POLL_S)
        while listener.clients:
            await asyncio.sleep(POLL_S)
        self.close()
        self.log(
            "stopped",
            taken=gateway.taken,
            served=gateway.served,
            refused=gateway.refused,
            failed=gateway.failed,
            left=gateway.left,
            faults=gateway.faults,
            opened=self.pool.opened,
            reused=self.pool.reused,
            endings={ending.name.lower(): n for ending, n in self.pool.endings.items()},
        )

    def close(self) -> None:
        if self.sweeping:
            self.sweeping.cancel()
        if self.listener:
            self.listener.close()
        if self.discovery:
            self.discovery.close()
        self.pool.close()
        if self.gateway.peers:
            self.gateway.peers.close()

    def quiet(self, began: float) -> bool:
        now = self.loop.time()
        accepted = self.listener.accepted_at if self.listener else 0.0
        past = now - began
        return past >= AT_MOST_S or (past >= AT_LEAST_S and now - accepted >= QUIET_S)
