"""What callers got out of a play."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from marjoramyard.standin.experiment.workloads import Request

SHARE_WINDOW_MS = 4000.0
"""A workspace's claim to its share is counted over this span."""
WINDOW_MS = 2000.0
"""The worst spans of a play are of this length."""


class Outcome(Enum):
    """What became of a request."""

    ON_TIME = "on_time"
    LATE_FIRST = "late_first"
    """Its first event came after its objective."""
    LATE_GAP = "late_gap"
    """A pause between two events was too long."""
    REFUSED = "refused"
    FAILED = "failed"
    """It broke off or its caller gave up."""


class Record(msgspec.Struct):
    """What is known of a request after a play.

    Attributes:
        first_ms: From its first attempt to its first event.
        gap_ms: The longest pause between two events.
    """

    request: Request
    outcome: Outcome = Outcome.FAILED
    first_ms: float = 0.0
    gap_ms: float = 0.0
    attempts: int = 0

    @property
    def is_served(self) -> bool:
        """Whether its caller got a whole answer."""
        return self.outcome not in (Outcome.REFUSED, Outcome.FAILED)

    def worth(self, size_of_kind: float) -> float:
        """Returns what an answer on time is worth, by its size."""
        relative = min(self.request.size / size_of_kind, 5.29)
        return self.request.kind.worth * (0.3 + 0.7 * relative)

    def earned(self, size_of_kind: float) -> float:
        """Returns what its caller got."""
        full = self.worth(size_of_kind)
        if self.outcome is Outcome.ON_TIME:
            return full
        if self.outcome in (Outcome.LATE_FIRST, Outcome.LATE_GAP):
            return full * self.request.kind.late_worth / self.request.kind.worth
        return 0.0


class Credit(msgspec.Struct):
    """Earned and owed worth of some requests."""

    earned: float = 0.0
    owed: float = 0.0

    @property
    def share(self) -> float:
        """What part was earned; 1 where nothing was owed."""
        return self.earned / self.owed if self.owed else 1.0


class Credits(msgspec.Struct):
    """The credit of a play.

    Attributes:
        whole: Of all requests.
        windows: The worst two spans.
        workspaces: The worst-served tenth of the workspaces.
        kinds: By kind, and by kind and size class.
        outcomes: How many requests of each kind ended how.
    """

    whole: float
    windows: float
    workspaces: float
    kinds: dict[str, float]
    outcomes: dict[str, dict[str, int]]

    @property
    def goal(self) -> float:
        """The parts, weighed as callers feel them."""
        return (
            0.45 * self.whole
            + 0.15 * self.windows
            + 0.1 * min(self.kinds.values(), default=1.0)
            + 0.3 * self.workspaces
        )


def fair_shares(asked: dict[str, float], total: float) -> dict[str, float]:
    """Returns the max-min share of each workspace."""
    left, shares = total, {}
    ordered = sorted(asked, key=asked.get)
    for place, name in enumerate(ordered):
        even = left / (len(ordered) - place)
        given = min(asked[name], even)
        shares[name] = given
        left -= given
    return shares


def count(records: Iterable[Record], tokens_per_s: float) -> Credits:
    """Adds up a play."""
    found = list(records)
    sizes = _mean_sizes(found)
    whole = Credit()
    windows: dict[int, Credit] = defaultdict(Credit)
    workspaces: dict[str, Credit] = defaultdict(Credit)
    kinds: dict[str, Credit] = defaultdict(Credit)
    for record, part in _within_shares(found, tokens_per_s):
        size = sizes[record.request.kind.name]
        earned, owed = record.earned(size) * part, record.worth(size) * part
        for credit in (
            windows[int(record.request.at // WINDOW_MS)],
            workspaces[record.request.workspace],
            kinds[record.request.kind.name],
            kinds[_size_class(record, sizes)],
            whole,
        ):
            credit.earned += earned
            credit.owed += owed
    return Credits(
        whole.share,
        _worst(windows.values(), 2),
        _worst(workspaces.values(), max(1, len(workspaces) // 10)),
        {name: credit.share for name, credit in sorted(kinds.items())},
        _outcomes(found),
    )


def _within_shares(
    records: list[Record], tokens_per_s: float
) -> Iterator[tuple[Record, float]]:
    """Yields requests with the part of them that their workspace is owed.

    A workspace is owed its share of the throughput in each span. What it
    was served counts first, late answers too; what was refused is missed
    only as far as less than the share was served.
    """
    spans: dict[tuple[int, str], list[Record]] = defaultdict(list)
    asked: dict[int, dict[str, float]] = defaultdict(dict)
    for record in records:
        span = int(record.request.at // SHARE_WINDOW_MS)
        name = record.request.workspace
        spans[span, name].append(record)
        before = asked[span].get(name, 0.0)
        asked[span][name] = before + record.request.throughput_tokens
    total = tokens_per_s * SHARE_WINDOW_MS / 1000
    shares = {span: fair_shares(of, total) for span, of in asked.items()}
    for (span, name), of_workspace in spans.items():
        left = shares[span][name]
        for record in sorted(of_workspace, key=lambda r: not r.is_served):
            tokens = record.request.throughput_tokens
            part = min(1.0, max(0.0, left / tokens))
            left -= tokens
            if part > 0:
                yield record, part


def _mean_sizes(records) -> dict[str, float]:
    sizes: dict[str, list[float]] = defaultdict(list)
    for record in records:
        sizes[record.request.kind.name].append(record.request.size)
    return {name: sum(found) / len(found) for name, found in sizes.items()}


def _size_class(record: Record, sizes: dict[str, float]) -> str:
    name = record.request.kind.name
    is_large = record.request.size > 2.2 * sizes[name]
    return f"{name}, largest" if is_large else f"{name}, others"


def _worst(credits: Iterable[Credit], number: int) -> float:
    shares = sorted(credit.share for credit in credits if credit.owed)
    worst = shares[:number]
    return sum(worst) / len(worst) if worst else 1.0


def _outcomes(records) -> dict[str, dict[str, int]]:
    counts: dict[str, dict[str, int]] = {}
    for record in records:
        of_kind = counts.setdefault(
            record.request.kind.name,
            dict.fromkeys((outcome.value for outcome in Outcome), 0),
        )
        of_kind[record.outcome.value] += 1
    return counts
