"""Calls that wait for an entry to be applied, a read to be confirmed, or the leadership to end."""

import asyncio
from dataclasses import dataclass

from pewterring.consensus.errors import NotLeaderError, OutcomeUnknownError


def _resolve(future: asyncio.Future[object], result: object) -> None:
    """Gives the result to a caller that still waits."""
    if not future.done():
        future.set_result(result)


def _fail(future: asyncio.Future[object], error: Exception) -> None:
    """Raises `error` in a caller that still waits."""
    if not future.done():
        future.set_exception(error)


@dataclass(frozen=True, slots=True)
class _Proposal:
    term: int
    future: asyncio.Future[object]


class PendingCalls:
    """Proposals by index and reads by ticket, each with the term in which this member led.

    It owns the futures until they end; the future of a caller that gave up ends too, read by nobody.
    """

    def __init__(self) -> None:
        self._proposals: dict[int, _Proposal] = {}
        self._reads: dict[tuple[int, int], asyncio.Future[object]] = {}
        self._transfers: list[asyncio.Future[object]] = []

    def proposal(self, index: int, term: int) -> asyncio.Future[object]:
        """Returns a future for the result of the entry at `index`."""
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._proposals[index] = _Proposal(term, future)
        return future

    def read(self, term: int, ticket: int) -> asyncio.Future[object]:
        """Returns a future for the confirmation of a read."""
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._reads[term, ticket] = future
        return future

    def end_of_leadership(self) -> asyncio.Future[object]:
        """Returns a future that ends when this member leads no longer, or stops."""
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._transfers.append(future)
        return future

    def applied(self, index: int, term: int, result: object) -> None:
        """Resolves the proposal whose entry was applied, but not by an entry of another term in its place."""
        proposal = self._proposals.get(index)
        if proposal is not None and proposal.term == term:
            del self._proposals[index]
            _resolve(proposal.future, result)

    def confirmed(self, term: int, ticket: int) -> None:
        """Resolves a read that is confirmed, and for which what it must see is applied."""
        future = self._reads.pop((term, ticket), None)
        if future is not None:
            _resolve(future, None)

    def leadership_ended(self) -> None:
        """Resolves what waits for the end of the leadership."""
        if self._transfers:
            transfers, self._transfers = self._transfers, []
            for future in transfers:
                _resolve(future, None)

    def keep_term(self, led_term: int | None, leader: str | None) -> None:
        """Fails the calls of all terms but `led_term`, in which this member leads now."""
        if not self._proposals and not self._reads:
            return
        for index, proposal in list(self._proposals.items()):
            if proposal.term != led_term:
                del self._proposals[index]
                _fail(
                    proposal.future,
                    OutcomeUnknownError(f"leadership was lost; the leader is {leader or 'unknown'}"),
                )
        for key, future in list(self._reads.items()):
            if key[0] != led_term:
                del self._reads[key]
                _fail(future, NotLeaderError(leader))

    def fail_all(self, error: Exception) -> None:
        """Fails all proposals and reads with `error`."""
        futures = [proposal.future for proposal in self._proposals.values()] + list(self._reads.values())
        self._proposals.clear()
        self._reads.clear()
        for future in futures:
            _fail(future, error)
