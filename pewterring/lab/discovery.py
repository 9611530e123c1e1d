"""Discovery in the emulator: what it knows of workers, and when each gatekeeper hears of it."""

from pewterring.lab.conversions import to_server
from pewterring.lab.host import Host
from pewterring.lab.streams import Stream
from pewterring.lab.surroundings import Surroundings
from pewterring.standalone.policy import interface as i

CATCH_UP_S = (0.05, 0.3)  # until a gatekeeper that has started is told what it missed
CALL_S, LOST_CALL_S = 0.01, 0.1  # until a call for the list is answered, and until it has failed
NOTICE_LEAST, NOTICE_SPREAD = 0.7, 0.6  # of the setting: how long news take


class Discovery:
    """Tells gatekeepers of workers, pushed or asked for."""

    def __init__(self, world: Surroundings) -> None:
        self.late_s = 0.0  # by which a fault holds all news up
        self.log = [to_server(worker) for worker in world.workers]  # all that there is to tell, in order
        self._world = world
        self._setup = world.scenario.discovery
        self._first = len(self.log)
        self._stream = Stream(world.seed, "discovery")
        self._calls: list[float] = []  # when calls for the list came, of the last second

    def give_first(self, host: Host) -> None:
        """The list that a gatekeeper has before it starts for the first time."""
        for entry in self.log[: self._first]:
            host.entries[entry.id] = entry
        host.seen = self._first

    def catch_up(self, host: Host) -> None:
        """A gatekeeper has started: soon it hears what it missed."""
        after_s = host.stream.uniform(*CATCH_UP_S)
        self._world.engine.after(after_s, self.list_to, host, host.life, len(self.log))

    def publish(self, entry: i.Server) -> None:
        """News for the list: each gatekeeper hears of it in its own time."""
        self.log.append(entry)
        setup, engine, upto = self._setup, self._world.engine, len(self.log)
        notice_s = setup.notice_s * (NOTICE_LEAST + NOTICE_SPREAD * self._stream.uniform()) + self.late_s
        for host in self._world.hosts:
            due = engine.now + notice_s + setup.spread_s * host.stream.uniform()
            host.list_due = max(host.list_due, due)
            if setup.mode == "push" or host.subscribed:
                engine.at(host.list_due, self.list_to, host, host.life, upto)

    def list_to(self, host: Host, life: int, upto: int) -> None:
        """A gatekeeper is told, if it still lives."""
        self._world.turn(host, life, self.take_list, upto)

    def take_list(self, host: Host, upto: int) -> None:
        """A gatekeeper takes what is new to it."""
        if upto <= host.seen:
            return
        fresh, host.seen = tuple(self.log[host.seen : upto]), upto
        for entry in fresh:
            if entry.mode == i.Mode.DELETED:
                host.entries.pop(entry.id, None)
            else:
                host.entries[entry.id] = entry
        self.told(host, fresh)
        self._world.tell(host, i.ServerList(i.ListForm.CHANGES, fresh))

    def told(self, host: Host, entries: tuple[i.Server, ...]) -> None:
        """Notes what a gatekeeper knows from now on."""
        self._world.account.counts["lists"] += len(entries)
        for entry in entries:
            if entry.mode == i.Mode.SERVING:
                host.told_end.pop(entry.id, None)
                host.told_start[entry.id] = entry.came_up
            else:
                host.told_end.setdefault(entry.id, self._world.engine.now)
                host.told_start.setdefault(entry.id, 0.0)

    def subscribe(self, host: Host, on: bool) -> None:
        """Where discovery is asked: a call takes its turn and may fail."""
        setup, engine = self._setup, self._world.engine
        if setup.mode == "push":
            return
        host.subscribed = False
        if not on:
            return
        self._calls = [called for called in self._calls if called > engine.now - 1.0] + [engine.now]
        if len(self._calls) > setup.calls_per_s:
            lost = i.ServerList(i.ListForm.FAILED)
            engine.after(LOST_CALL_S, self._world.turn, host, host.life, self._world.tell, lost)
            return
        engine.after(CALL_S + self.late_s, self._world.turn, host, host.life, self._subscribed)

    def _subscribed(self, host: Host) -> None:
        host.subscribed = True
        self.take_list(host, len(self.log))
