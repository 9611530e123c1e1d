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


class NotLinearizableError(AssertionError):
    """No order of the calls explains the answers."""


def check(history: History) -> list[State]:
    """Returns the states in the order in which they were in force.

    Raises:
        NotLinearizableError: no moments at which the orders took effect explain all answers.
    """
    chain = _chain(history)
    positions = {state: position for position, state in enumerate(chain)}
    _check_refusals(history.orders, positions)
    earliest, latest = _bounds(history, chain, positions)
    moment = -inf
    for position, state in enumerate(chain):
        moment = max(moment, earliest[position])
        if moment > latest[position]:
            raise NotLinearizableError(
                f"{state} was seen at {latest[position]:.4f} at the latest, "
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
            raise NotLinearizableError(f"{state} was read, but never sent")
        other = by_version.setdefault(state.version, state)
        if other != state:
            raise NotLinearizableError(f"both {other} and {state} were in force")
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
        state = _predecessor(state, bases[state], seen, sent)
        chain.append(state)
    missing = set(seen.values()) - set(chain)
    if missing:
        raise NotLinearizableError(
            f"{min(missing, key=lambda each: each.version)} was in force, and then was not"
        )
    chain.reverse()
    return chain


def _predecessor(state: State, base: int, seen: dict[int, State], sent: dict[int, set[State]]) -> State:
    """Returns the state that `state` replaced."""
    before = seen.get(base)
    if before is None:
        unseen = sent.get(base, set())
        if not unseen:
            raise NotLinearizableError(f"{state} builds on version {base}, which never was")
        before = min(unseen, key=lambda each: each.digest)
    if before.version >= state.version:
        raise NotLinearizableError(f"{state} builds on {before}, which is not older")
    return before


def _check_refusals(orders: Iterable[Order], positions: dict[State, int]) -> None:
    for order in orders:
        if order.outcome is Outcome.REFUSED and order.state in positions:
            raise NotLinearizableError(f"{order.state} was refused with {order.status}, and was in force")


def _bounds(
    history: History, chain: list[State], positions: dict[State, int]
) -> tuple[list[float], list[float]]:
    """The earliest and the latest moment at which each state can have come into force."""
    earliest = [-inf] * len(chain)
    latest = [inf] * len(chain)
    first_sent: dict[State, float] = {}
    versions = [state.version for state in chain]
    for order in history.orders:
        if order.state in positions:
            first_sent[order.state] = min(order.began_s, first_sent.get(order.state, inf))
        if order.outcome is Outcome.DONE:
            position = positions[order.state]
            latest[position] = min(latest[position], order.ended_s)
        elif order.outcome is Outcome.REFUSED:
            _bound_refusal(order, versions, latest)
    for state, began_s in first_sent.items():
        earliest[positions[state]] = began_s
    for read in history.reads:
        _bound_read(read, positions[read.state], earliest, latest)
    for position in range(len(chain) - 2, -1, -1):
        latest[position] = min(latest[position], latest[position + 1])
    return earliest, latest


def _bound_refusal(order: Order, versions: list[int], latest: list[float]) -> None:
    """Another version than the base was current at some moment: a newer one, unless the base never was."""
    position = bisect_right(versions, order.base) - 1
    if versions[position] != order.base:
        return
    if position + 1 == len(versions):
        raise NotLinearizableError(
            f"{order.state} on {order.base} was refused with {order.status}, though nothing newer ever was"
        )
    latest[position + 1] = min(latest[position + 1], order.ended_s)


def _bound_read(read: Read, position: int, earliest: list[float], latest: list[float]) -> None:
    latest[position] = min(latest[position], read.ended_s)
    if position + 1 < len(earliest):
        earliest[position + 1] = max(earliest[position + 1], read.began_s)
