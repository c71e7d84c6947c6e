"""Scores a simulation run by the responses that callers received."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from marjoramyard.standin.experiment.workloads import Request

SHARE_WINDOW_MS = 4000.0
"""Interval over which fair shares of workspaces are computed."""
WINDOW_MS = 2000.0
"""Interval by which arrivals are grouped to find the worst windows."""


class Outcome(Enum):
    """Final outcome of a request."""

    ON_TIME = "on_time"
    LATE_FIRST = "late_first"
    """Its first event missed the objective."""
    LATE_GAP = "late_gap"
    """A gap between two of its events was too long."""
    REFUSED = "refused"
    FAILED = "failed"
    """It was interrupted or missed its deadline."""


class RequestRecord(msgspec.Struct):
    """Measurements of one request over all its attempts.

    Attributes:
        first_ms: Time from the request's arrival to its first event.
        gap_ms: Longest gap between two events.
    """

    request: Request
    outcome: Outcome = Outcome.FAILED
    first_ms: float = 0.0
    gap_ms: float = 0.0
    attempts: int = 0

    @property
    def is_served(self) -> bool:
        """Whether the caller received a complete response."""
        return self.outcome not in (Outcome.REFUSED, Outcome.FAILED)

    def worth(self, mean_size: float) -> float:
        """Returns the worth of a response on time, which grows with its size.

        Args:
            mean_size: Mean size of the requests of this kind.
        """
        relative = min(self.request.size / mean_size, 5.29)
        return self.request.kind.worth * (0.3 + 0.7 * relative)

    def earned(self, mean_size: float) -> float:
        """Returns the worth of the response that was received."""
        full = self.worth(mean_size)
        if self.outcome is Outcome.ON_TIME:
            return full
        if self.outcome in (Outcome.LATE_FIRST, Outcome.LATE_GAP):
            return full * self.request.kind.late_worth / self.request.kind.worth
        return 0.0


class Score(msgspec.Struct):
    """Earned and attainable worth of a group of requests."""

    earned: float = 0.0
    attainable: float = 0.0

    @property
    def share(self) -> float:
        """Earned part of the attainable worth; 1 if nothing was attainable."""
        return self.earned / self.attainable if self.attainable else 1.0


class RunScore(msgspec.Struct):
    """Scores of a simulation run, each between 0 and 1.

    Attributes:
        overall: Score of all requests.
        worst_windows: Mean score of the two worst windows.
        worst_workspaces: Mean score of the worst-served tenth of workspaces.
        by_kind: Scores by kind, and by kind and size class.
        outcomes: Number of requests by kind and outcome.
    """

    overall: float
    worst_windows: float
    worst_workspaces: float
    by_kind: dict[str, float]
    outcomes: dict[str, dict[str, int]]

    @property
    def goal(self) -> float:
        """Weighted mean of the overall and worst-case scores."""
        return (
            0.45 * self.overall
            + 0.15 * self.worst_windows
            + 0.1 * min(self.by_kind.values(), default=1.0)
            + 0.3 * self.worst_workspaces
        )


def fair_shares(demand: dict[str, float], total: float) -> dict[str, float]:
    """Returns the max-min fair share of each workspace."""
    remaining, shares = total, {}
    ordered = sorted(demand, key=demand.get)
    for place, name in enumerate(ordered):
        even = remaining / (len(ordered) - place)
        share = min(demand[name], even)
        shares[name] = share
        remaining -= share
    return shares


def score_run(
    records: Iterable[RequestRecord], tokens_per_s: float
) -> RunScore:
    """Returns the scores of a run.

    Args:
        records: All requests of the run.
        tokens_per_s: Throughput that is divided among the workspaces.
    """
    all_records = list(records)
    sizes = _mean_sizes(all_records)
    overall = Score()
    windows: dict[int, Score] = defaultdict(Score)
    workspaces: dict[str, Score] = defaultdict(Score)
    by_kind: dict[str, Score] = defaultdict(Score)
    for record, fraction in _within_fair_shares(all_records, tokens_per_s):
        size = sizes[record.request.kind.name]
        earned, attainable = (
            record.earned(size) * fraction,
            record.worth(size) * fraction,
        )
        for score in (
            windows[int(record.request.arrival_ms // WINDOW_MS)],
            workspaces[record.request.workspace],
            by_kind[record.request.kind.name],
            by_kind[_size_class(record, sizes)],
            overall,
        ):
            score.earned += earned
            score.attainable += attainable
    return RunScore(
        overall.share,
        _worst(windows.values(), 2),
        _worst(workspaces.values(), max(1, len(workspaces) // 10)),
        {name: score.share for name, score in sorted(by_kind.items())},
        _outcomes(all_records),
    )


def _within_fair_shares(
    records: list[RequestRecord], tokens_per_s: float
) -> Iterator[tuple[RequestRecord, float]]:
    """Yields each request with the fraction within its workspace's share.

    In each interval a workspace has its fair share of the throughput. Served
    requests, late ones included, are counted against it first; refused and
    failed requests count only as far as share is left.
    """
    intervals: dict[tuple[int, str], list[RequestRecord]] = defaultdict(list)
    demand: dict[int, dict[str, float]] = defaultdict(dict)
    for record in records:
        interval = int(record.request.arrival_ms // SHARE_WINDOW_MS)
        name = record.request.workspace
        intervals[interval, name].append(record)
        before = demand[interval].get(name, 0.0)
        demand[interval][name] = before + record.request.throughput_tokens
    total = tokens_per_s * SHARE_WINDOW_MS / 1000
    shares = {
        interval: fair_shares(by_workspace, total)
        for interval, by_workspace in demand.items()
    }
    for (interval, name), of_workspace in intervals.items():
        remaining = shares[interval][name]
        for record in sorted(of_workspace, key=lambda r: not r.is_served):
            tokens = record.request.throughput_tokens
            fraction = min(1.0, max(0.0, remaining / tokens))
            remaining -= tokens
            if fraction > 0:
                yield record, fraction


def _mean_sizes(records) -> dict[str, float]:
    sizes: dict[str, list[float]] = defaultdict(list)
    for record in records:
        sizes[record.request.kind.name].append(record.request.size)
    return {name: sum(drawn) / len(drawn) for name, drawn in sizes.items()}


def _size_class(record: RequestRecord, sizes: dict[str, float]) -> str:
    name = record.request.kind.name
    is_large = record.request.size > 2.2 * sizes[name]
    return f"{name}, largest" if is_large else f"{name}, others"


def _worst(scores: Iterable[Score], count: int) -> float:
    """Returns the mean of the lowest scores."""
    shares = sorted(score.share for score in scores if score.attainable)
    worst = shares[:count]
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
