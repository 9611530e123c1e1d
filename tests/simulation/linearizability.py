"""Checks that orders and reads of the configuration are those of one register, in linear time.

The register takes an order whose base is its version, and an order that it took before. Versions only rise,
so each is in force once, and what was in force is a chain: from the newest state that any caller saw, each
order's base names the state before. What remains is to find moments at which the states came into force.
Each answer bounds them from one side; going through the chain once finds moments, or shows that there are
none.
"""

from bisect import bisect_right
from collections.abc import Iterable
from math import inf

from tests.simulation.history import NONE, History, Order, Outcome, Read, State


class NotLinearizable(AssertionError):
    """No order of the calls explains the answers."""


def check(history: History) -> list[State]:
    """The states in the order in which they were in force; raises `NotLinearizable`."""
    chain = _chain(history)
    places = {state: place for place, state in enumerate(chain)}
    _check_refusals(history.orders, places)
    earliest, latest = _bounds(history, chain, places)
    moment = -inf
    for place, state in enumerate(chain):
        moment = max(moment, earliest[place])
        if moment > latest[place]:
            raise NotLinearizable(
                f"{state} was seen at {latest[place]:.4f} at the latest, "
                f"but cannot have been in force before {moment:.4f}"
            )
    return chain


def _chain(history: History) -> list[State]:
    bases = {order.state: order.base for order in history.orders}
    seen = {order.state for order in history.orders if order.outcome is Outcome.DONE}
    seen |= {read.state for read in history.reads}
    by_version: dict[int, State] = {0: NONE}
    for state in seen - {NONE}:
        if state not in bases:
            raise NotLinearizable(f"{state} was read, but never sent")
        other = by_version.setdefault(state.version, state)
        if other != state:
            raise NotLinearizable(f"both {other} and {state} were in force")
    return _walk_back(by_version, bases, _by_version(history.orders))


def _by_version(orders: Iterable[Order]) -> dict[int, set[State]]:
    sent: dict[int, set[State]] = {}
    for order in orders:
        if order.outcome is not Outcome.REFUSED:
            sent.setdefault(order.state.version, set()).add(order.state)
    return sent


def _walk_back(seen: dict[int, State], bases: dict[State, int], sent: dict[int, set[State]]) -> list[State]:
    """From the newest state to the first. A state that nobody saw is the only one sent under its number."""
    state = seen[max(seen)]
    chain = [state]
    while state != NONE:
        base = bases[state]
        before = seen.get(base)
        if before is None:
            unseen = sent.get(base, set())
            if not unseen:
                raise NotLinearizable(f"{state} builds on version {base}, which never was")
            before = min(unseen, key=lambda each: each.digest)
        if before.version >= state.version:
            raise NotLinearizable(f"{state} builds on {before}, which is not older")
        state = before
        chain.append(state)
    missing = set(seen.values()) - set(chain)
    if missing:
        raise NotLinearizable(f"{min(missing, key=lambda each: each.version)} was in force, and then was not")
    chain.reverse()
    return chain


def _check_refusals(orders: Iterable[Order], places: dict[State, int]) -> None:
    for order in orders:
        if order.outcome is Outcome.REFUSED and order.state in places:
            raise NotLinearizable(f"{order.state} was refused with {order.status}, and was in force")


def _bounds(
    history: History, chain: list[State], places: dict[State, int]
) -> tuple[list[float], list[float]]:
    """The earliest and the latest moment at which each state can have come into force."""
    earliest = [-inf] * len(chain)
    latest = [inf] * len(chain)
    first_sent: dict[State, float] = {}
    versions = [state.version for state in chain]
    for order in history.orders:
        first_sent[order.state] = min(order.began, first_sent.get(order.state, inf))
        if order.outcome is Outcome.DONE:
            place = places[order.state]
            latest[place] = min(latest[place], order.ended)
        elif order.outcome is Outcome.REFUSED:
            _bound_refusal(order, versions, latest)
    for state, began in first_sent.items():
        if state in places:
            earliest[places[state]] = max(earliest[places[state]], began)
    for read in history.reads:
        _bound_read(read, places[read.state], earliest, latest)
    for place in range(len(chain) - 2, -1, -1):
        latest[place] = min(latest[place], latest[place + 1])
    return earliest, latest


def _bound_refusal(order: Order, versions: list[int], latest: list[float]) -> None:
    """Another version than the base was current at some moment: a newer one, unless the base never was."""
    place = bisect_right(versions, order.base) - 1
    if versions[place] != order.base:
        return
    if place + 1 == len(versions):
        raise NotLinearizable(
            f"{order.state} on {order.base} was refused with {order.status}, though nothing newer ever was"
        )
    latest[place + 1] = min(latest[place + 1], order.ended)


def _bound_read(read: Read, place: int, earliest: list[float], latest: list[float]) -> None:
    latest[place] = min(latest[place], read.ended)
    if place + 1 < len(earliest):
        earliest[place + 1] = max(earliest[place + 1], read.began)
