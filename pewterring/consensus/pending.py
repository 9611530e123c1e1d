"""Pending calls: proposals until they are applied, reads until they are confirmed, leadership transfers."""

import asyncio
from dataclasses import dataclass

from pewterring.consensus.errors import NotLeaderError, OutcomeUnknownError


def _resolve(future: asyncio.Future[object], result: object) -> None:
    """Sets the result of the future, unless its caller cancelled it."""
    if not future.done():
        future.set_result(result)


def _fail(future: asyncio.Future[object], error: Exception) -> None:
    """Fails the future with `error`, unless its caller cancelled it."""
    if not future.done():
        future.set_exception(error)


@dataclass(frozen=True, slots=True)
class _Proposal:
    term: int
    future: asyncio.Future[object]


class PendingCalls:
    """The futures of pending calls: proposals by index, and reads by ticket number.

    Each call belongs to the term in which this member led when the call was made. The future of a caller that
    timed out stays here until its call completes, although nobody awaits it any more.
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
        """Returns a future that completes once this member is no longer the leader, or stops."""
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._transfers.append(future)
        return future

    def applied(self, index: int, term: int, result: object) -> None:
        """Resolves the proposal whose entry was applied, unless an entry of another term took its index."""
        proposal = self._proposals.get(index)
        if proposal is not None and proposal.term == term:
            del self._proposals[index]
            _resolve(proposal.future, result)

    def confirmed(self, term: int, ticket: int) -> None:
        """Resolves a read that is confirmed and whose required entries are applied."""
        future = self._reads.pop((term, ticket), None)
        if future is not None:
            _resolve(future, None)

    def leadership_ended(self) -> None:
        """Resolves the futures of `end_of_leadership`."""
        if self._transfers:
            transfers, self._transfers = self._transfers, []
            for future in transfers:
                _resolve(future, None)

    def fail_other_terms(self, led_term: int | None, leader: str | None) -> None:
        """Fails the calls of all terms except `led_term`, the term in which this member leads, if any."""
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
