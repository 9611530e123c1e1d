"""What goes wrong, and when: each kind of fault of the schema as what it does to a world, and its end.

Whom a fault strikes is drawn from the fault's own stream. Faults overlap freely: each takes back what it
did.
"""

from collections.abc import Callable
from functools import singledispatch
from typing import Any

import msgspec

from pewterring.lab import schema
from pewterring.lab.conversions import to_server
from pewterring.lab.engine import START
from pewterring.lab.host import Host
from pewterring.lab.streams import Stream
from pewterring.lab.workers import Worker
from pewterring.lab.world import World

End = Callable[[], None] | None
KINDS: list[tuple[str, type[Any]]] = [(str(f.__struct_config__.tag), f) for f in schema.FAULTS]


def draw_fault(stream: Stream, duration: float, zones: tuple[str, ...]) -> schema.Fault:
    """A fault of any kind, from a stream."""
    kinds = [(k, f) for k, f in KINDS if k != "zone_cut" or len(zones) > 1]
    kind, fault = kinds[stream.below(len(kinds))]
    given: dict[str, Any] = {
        "kind": kind, "at_s": round(stream.uniform(0.5, duration * 0.8), 2),
        "for_s": round(stream.uniform(0.2, duration * 0.5), 2),
    }  # fmt: skip
    fields = fault.__struct_fields__
    if "part" in fields:
        given["part"] = round(stream.uniform(0.1, 1.0), 2)
    if "zone" in fields and (kind == "zone_cut" or (len(zones) > 1 and stream.uniform() < 0.3)):
        given["zone"] = zones[stream.below(len(zones))]
    if "share" in fields:
        given["share"] = round(stream.uniform(0.1, 1.0), 2)
    if "times" in fields:
        given["times"] = round(stream.uniform(1.5, 20.0), 2)
    if "batches" in fields:
        given["batches"] = 1 + stream.below(6)
    if "drain_s" in fields:
        given["drain_s"] = round(stream.uniform(0.5, 4.0), 2)
    if "down_s" in fields:
        given["down_s"] = round(stream.uniform(0.1, 2.0), 2)
    if "by_s" in fields:
        given["by_s"] = round(stream.uniform(1.0, 8.0), 2)
    if "late_s" in fields and stream.uniform() < 0.5:
        given["late_s"] = round(stream.uniform(0.1, 3.0), 2)
    if "cold" in fields:
        given["cold"] = stream.uniform() < 0.7
    fault_drawn: schema.Fault = msgspec.convert(given, schema.Fault)
    return fault_drawn


def prepare(scenario: schema.Scenario, seed: int, policy: str = "", watch: int = 0) -> World:
    """A run with its faults put in, ready to be played."""
    world = World(scenario, seed, policy, watch)
    put_in(world)
    return world


def put_in(world: World) -> None:
    """The faults that the scenario names, and as many more as it wants drawn."""
    scenario, seed = world.scenario, world.seed
    drawn = Stream(seed, "random_faults")
    more = [draw_fault(drawn, scenario.duration_s, scenario.zones) for _ in range(scenario.random_faults)]
    for n, fault in enumerate((*scenario.faults, *more)):
        plan(world, fault, Stream(seed, "fault", n))


def plan(world: World, fault: schema.Fault, stream: Stream) -> None:
    """Puts a fault into the run: it begins at its time and, where it lasts, ends."""

    def start() -> None:
        if (end := begin(fault, world, stream)) is not None:
            world.engine.after(fault.for_s, end)

    world.engine.at(START + fault.at_s, start)


def struck_hosts(world: World, fault: Any, stream: Stream) -> list[Host]:
    hosts = world.hosts
    if fault.targets:
        return [hosts[n] for n in fault.targets]
    if fault.zone:
        return [h for h in hosts if h.zone == fault.zone]
    return [hosts[n] for n in stream.sample(len(hosts), max(1, round(fault.part * len(hosts))))]


def struck_workers(world: World, fault: Any, stream: Stream) -> list[Worker]:
    present = [w for w in world.workers if w.mode.value == "serving"]
    if fault.targets:
        return [world.workers[n] for n in fault.targets]
    if fault.zone:
        return [w for w in present if w.zone == fault.zone]
    return [present[n] for n in stream.sample(len(present), max(1, round(fault.part * len(present))))]


@singledispatch
def begin(fault: Any, world: World, stream: Stream) -> End:
    """What it does, and what undoes it."""
    raise NotImplementedError(type(fault).__name__)


@begin.register(schema.Kill)
def _(fault: schema.Kill, world: World, stream: Stream) -> End:
    struck = [h for h in struck_hosts(world, fault, stream) if h.up]
    for host in struck:
        world.kill(host)
    lives = {host.number: host.life for host in struck}

    def end() -> None:
        for host in struck:
            if not host.up and host.life == lives[host.number]:
                world.start_host(host)

    return end


@begin.register(schema.Restart)
def _(fault: schema.Restart, world: World, stream: Stream) -> End:
    struck = struck_hosts(world, fault, stream)
    for n, host in enumerate(struck):
        batch = n * fault.batches // len(struck)
        world.engine.after(fault.for_s * batch / fault.batches, world.leave, host, fault.down_s)
    return None


@begin.register(schema.Freeze)
def _(fault: schema.Freeze, world: World, stream: Stream) -> End:
    struck = [(host, host.life) for host in struck_hosts(world, fault, stream) if host.up]
    for host, _ in struck:
        world.freeze(host)

    def end() -> None:
        for host, life in struck:
            if host.life == life:  # else it has been killed meanwhile
                world.thaw(host)

    return end


def on_workers(
    world: World,
    fault: Any,
    stream: Stream,
    on: Callable[[Worker], None],
    off: Callable[[Worker], None],
) -> End:
    struck = struck_workers(world, fault, stream)

    def change(step: Callable[[Worker], None]) -> None:
        for worker in struck:
            worker.advance()
            step(worker)
            worker.plan()

    change(on)
    return lambda: change(off)


@begin.register(schema.Slow)
def _(fault: schema.Slow, world: World, stream: Stream) -> End:
    def on(worker: Worker) -> None:
        worker.slow *= fault.times

    def off(worker: Worker) -> None:
        worker.slow /= fault.times

    return on_workers(world, fault, stream, on, off)


@begin.register(schema.Silent)
def _(fault: schema.Silent, world: World, stream: Stream) -> End:
    struck = [w for w in struck_workers(world, fault, stream) if w.state == "up"]
    for worker in struck:
        world.silence(worker)

    def end() -> None:
        for worker in struck:
            world.speak(worker, fault.cold)

    return end


@begin.register(schema.Release)
def _(fault: schema.Release, world: World, stream: Stream) -> End:
    struck = struck_workers(world, fault, stream)

    def replace(worker: Worker) -> None:
        world.discovery.publish(to_server(world.add_worker(worker.zone, worker.cell, world.engine.now)))
        world.drain(worker, fault.drain_s)

    for n, worker in enumerate(struck):
        batch = n * fault.batches // len(struck)
        world.engine.after(fault.for_s * batch / fault.batches, replace, worker)
    return None


def on_share(world: World, fault: Any, stream: Stream, name: str, share: float) -> End:
    """Raises a worker's chance of something by `share` of what is left of 1, and takes that back."""

    def on(worker: Worker) -> None:
        setattr(worker, name, 1 - (1 - getattr(worker, name)) * (1 - min(share, 0.999)))

    def off(worker: Worker) -> None:
        setattr(worker, name, max(0.0, 1 - (1 - getattr(worker, name)) / (1 - min(share, 0.999))))

    return on_workers(world, fault, stream, on, off)


@begin.register(schema.Errors)
def _(fault: schema.Errors, world: World, stream: Stream) -> End:
    return on_share(world, fault, stream, "error_rate", fault.share)


@begin.register(schema.SpoiltAnswers)
def _(fault: schema.SpoiltAnswers, world: World, stream: Stream) -> End:
    return on_share(world, fault, stream, "spoilt", fault.share)


@begin.register(schema.LostAnswers)
def _(fault: schema.LostAnswers, world: World, stream: Stream) -> End:
    return on_share(world, fault, stream, "lost", fault.share)


@begin.register(schema.ZoneCut)
def _(fault: schema.ZoneCut, world: World, stream: Stream) -> End:
    cuts = [world.cut, world.clients_cut] if fault.clients else [world.cut]
    for cut in cuts:
        cut[fault.zone] += 1

    def end() -> None:
        for cut in cuts:
            cut[fault.zone] -= 1
            if not cut[fault.zone]:
                del cut[fault.zone]

    return end


@begin.register(schema.MessageLoss)
def _(fault: schema.MessageLoss, world: World, stream: Stream) -> End:
    kept = 1 - min(fault.share, 0.999999)
    world.peers.loss = 1 - (1 - world.peers.loss) * kept
    world.peers.delay_s += fault.late_s

    def end() -> None:
        world.peers.loss = max(0.0, 1 - (1 - world.peers.loss) / kept)
        world.peers.delay_s = max(0.0, world.peers.delay_s - fault.late_s)

    return end


@begin.register(schema.CounterSilent)
def _(fault: schema.CounterSilent, world: World, stream: Stream) -> End:
    world.counter.silent += 1

    def end() -> None:
        world.counter.silent -= 1

    return end


@begin.register(schema.CounterSlow)
def _(fault: schema.CounterSlow, world: World, stream: Stream) -> End:
    world.counter.times *= fault.times

    def end() -> None:
        world.counter.times /= fault.times

    return end


@begin.register(schema.CounterEmpty)
def _(fault: schema.CounterEmpty, world: World, stream: Stream) -> End:
    world.counter.silent += 1

    def end() -> None:
        world.counter.silent -= 1
        world.counter.forget()

    return end


@begin.register(schema.CounterSplit)
def _(fault: schema.CounterSplit, world: World, stream: Stream) -> End:
    world.counter.begin_split()
    return world.counter.end_split


@begin.register(schema.ListLate)
def _(fault: schema.ListLate, world: World, stream: Stream) -> End:
    world.discovery.late_s += fault.by_s

    def end() -> None:
        world.discovery.late_s = max(0.0, world.discovery.late_s - fault.by_s)

    return end


@begin.register(schema.TrafficShift)
def _(fault: schema.TrafficShift, world: World, stream: Stream) -> End:
    hosts = world.hosts
    if fault.zone:
        left = [h.number for h in hosts if h.zone != fault.zone]
    else:
        left = stream.sample(len(hosts), len(hosts) // 2)
    for number in left:
        world.front.damp(number, fault.to)

    def end() -> None:
        for number in left:
            world.front.free(number, fault.to)

    return end


@begin.register(schema.HotCustomer)
def _(fault: schema.HotCustomer, world: World, stream: Stream) -> End:
    id = world.demand.heat(fault.share, stream)
    return lambda: world.demand.cool(id)


@begin.register(schema.RetryStorm)
def _(fault: schema.RetryStorm, world: World, stream: Stream) -> End:
    world.storm.append(fault.retries)
    return lambda: world.storm.remove(fault.retries)
