"""What a run has seen, and the rules that it checks."""

from collections import Counter
from dataclasses import dataclass, field

# To a client these statuses promise that its request has not run and never will.
PROMISES = (408, 421, 429, 503)
MAX_SHOWN = 5  # ids of requests that are named for each rule


@dataclass(slots=True)
class Report:
    """Counts and faults of one run."""

    runs: Counter[str] = field(default_factory=Counter)  # at workers, by id of the request that may run once
    failures: Counter[str] = field(default_factory=Counter)  # answers of 500, by id of the item
    statuses: dict[str, int] = field(default_factory=dict)  # of these requests; 0 without an answer
    streams: Counter[str] = field(default_factory=Counter)  # by outcome
    items: Counter[str] = field(default_factory=Counter)  # by state
    workers: Counter[str] = field(default_factory=Counter)  # what workers did: declined, repeated, reset
    events: Counter[str] = field(default_factory=Counter)  # signals, restarts and changes
    faults: list[str] = field(default_factory=list)  # broken rules, as they were seen

    def judge(self) -> list[str]:
        """Returns all broken rules."""
        twice = [each for each, runs in self.runs.items() if runs > 1]
        refused = [each for each in self.runs if self.statuses.get(each) in PROMISES]
        found = [*self.faults]
        if twice:
            found.append(f"TWICE: {len(twice)} requests ran more than once: {twice[:MAX_SHOWN]}")
        if refused:
            found.append(f"REFUSED: {len(refused)} requests were refused and ran: {refused[:MAX_SHOWN]}")
        return found

    def summary(self) -> str:
        """Returns the counts in one line."""
        answered = dict(sorted(Counter(self.statuses.values()).items()))
        parts = {
            "requests": answered,
            "streams": dict(self.streams),
            "items": dict(self.items),
            "workers": dict(self.workers),
            "events": dict(self.events),
        }
        return ", ".join(f"{name} {counts}" for name, counts in parts.items())
