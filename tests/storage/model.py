"""An in-memory model of a member's storage, and random calls that apply to both model and storage."""

import copy
import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from pewterring.consensus.messages import Entry, Membership
from pewterring.consensus.persistent import HardState, LoadedGroup
from pewterring.storage.group import DiskGroupStorage

MEMBERS = Membership(voters=("10.0.0.1#a", "10.0.0.2#b"), learners=("10.0.0.3#c",))


def entry(index: int, term: int, size: int = 0) -> Entry:
    """Returns an entry whose data contains its index and term and `size` bytes of padding."""
    data = json.dumps({"at": [index, term], "fill": "x" * size}).encode()
    return Entry(index, term, "command", msgspec.Raw(data))


def comparable(entries: Sequence[Entry]) -> list[tuple[int, int, str, bytes]]:
    """Returns the entries as tuples that compare by content."""
    return [(found.index, found.term, found.kind, bytes(found.data)) for found in entries]


@dataclass
class Model:
    """The state that `GroupStorage.load` should return."""

    hard_state: HardState = field(default_factory=HardState)
    snapshot_index: int = 0
    snapshot_term: int = 0
    membership: Membership = field(default_factory=lambda: Membership(()))
    snapshot: bytes | None = None
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        return self.entries[-1].index if self.entries else self.snapshot_index

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot_term

    def save(self, hard_state: HardState | None, truncate_from: int | None, entries: Sequence[Entry]) -> None:
        if hard_state is not None:
            self.hard_state = hard_state
        if truncate_from is not None:
            self.entries = [stored for stored in self.entries if stored.index < truncate_from]
        self.entries.extend(entries)

    def save_snapshot(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        contains_entry = any((stored.index, stored.term) == (index, term) for stored in self.entries)
        self.entries = [stored for stored in self.entries if stored.index > index] if contains_entry else []
        self.snapshot_index = index
        self.snapshot_term = term
        self.membership = membership
        self.snapshot = data

    def term_at(self, index: int) -> int:
        return next(stored.term for stored in self.entries if stored.index == index)

    def matches(self, loaded: LoadedGroup) -> bool:
        state = loaded.state
        return (
            HardState(state.term, state.vote) == self.hard_state
            and (state.snapshot_index, state.snapshot_term) == (self.snapshot_index, self.snapshot_term)
            and state.snapshot_membership == self.membership
            and loaded.snapshot == self.snapshot
            and comparable(state.entries) == comparable(self.entries)
        )


Call = Callable[["Model | DiskGroupStorage"], None]


def random_call(model: Model, rng: random.Random) -> Call:
    """Returns a random call that is valid in the model's current state."""
    kind = rng.choice(("append", "append", "append", "vote", "overwrite", "compact", "install"))
    term = max(model.hard_state.term, model.last_term, 1)
    if kind == "vote":
        vote = HardState(term + 1, rng.choice((None, "10.0.0.1#a")))
        return lambda target: target.save(vote, None, ())
    if kind == "overwrite" and model.entries:
        start = rng.choice(model.entries).index
        replacements = [
            entry(start + offset, term + 1, rng.randrange(60)) for offset in range(rng.randrange(3))
        ]
        return lambda target: target.save(HardState(term + 1), start, replacements)
    if kind == "compact" and model.entries:
        chosen = rng.choice(model.entries)
        data = b"state at %d" % chosen.index
        return lambda target: target.save_snapshot(chosen.index, chosen.term, MEMBERS, data)
    if kind == "install":
        index = rng.randrange(model.snapshot_index + 1, model.last_index + 4)
        return lambda target: target.save_snapshot(index, term + 1, MEMBERS, b"installed %d" % index)
    start = model.last_index + 1
    entries = [entry(start + offset, term, rng.randrange(120)) for offset in range(rng.randrange(1, 4))]
    return lambda target: target.save(None, None, entries)


def apply_call(model: Model, call: Call) -> Model:
    """Returns a copy of the model with the call applied."""
    result = copy.copy(model)
    result.entries = list(model.entries)
    call(result)
    return result
