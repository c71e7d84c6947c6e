"""Attempts of requests, and the result of a simulation run."""

import msgspec

from marjoramyard.standin.experiment.engine_model import (
    SimulatedEngine,
    SimulatedRequest,
)
from marjoramyard.standin.experiment.scoring import RequestRecord, RunScore


class ResourceUsage(msgspec.Struct):
    """Resources used in a run.

    Attributes:
        fetched_gb: Cached prompt parts copied between engines, in gigabytes.
        cross_zone_mb: Request bodies sent between zones, in megabytes.
        shared_prefilled_tokens: Tokens of shared parts that were prefilled.
        prefill_utilisation: Share of engine time spent on prefill.
        utilisation: Share of engine time spent on any step.
        preemptions: Requests preempted for lack of memory.
        refusals: Refused attempts.
        turned_away: Sends that engines turned away.
        returned_grants: Grants for engines that had asked for a pause.
        quarantined: Attempts that were refused because of crashes.
        engine_deaths: Engines that ended under requests that crash them.
        resumed_streams: Streams that went on at another engine.
        broken_streams: Streams of whose version no other engine was left.
    """

    fetched_gb: float = 0.0
    cross_zone_mb: float = 0.0
    shared_prefilled_tokens: float = 0.0
    prefill_utilisation: float = 0.0
    utilisation: float = 0.0
    preemptions: int = 0
    refusals: int = 0
    turned_away: int = 0
    returned_grants: int = 0
    quarantined: int = 0
    engine_deaths: int = 0
    resumed_streams: int = 0
    broken_streams: int = 0


class SimulationRun(msgspec.Struct):
    """The result of a simulation run."""

    seed: int
    scores: RunScore
    usage: ResourceUsage
    records: list[RequestRecord]


class Attempt:
    """One attempt of a request, until its response has ended.

    Attributes:
        key: Identifies it to the broker; changes when it is submitted again.
        excluded: Engines that it must not be sent to.
        sends: How often engines have turned it away.
        event_count: Events of its response so far.
        tokens_made: Tokens that engines which were lost have generated.
    """

    def __init__(self, number: int, record: RequestRecord, started_at: float):
        self.record = record
        self.renumber(number)
        self.excluded: frozenset[str] = frozenset()
        self.sends = 0
        self.started_at = started_at
        self.engine: SimulatedEngine | None = None
        self.engine_request: SimulatedRequest | None = None
        self.last_event_at = 0.0
        self.event_count = 0
        self.tokens_made = 0
        self.is_over = False

    def renumber(self, number: int) -> None:
        """Gives the attempt another key."""
        self.key = f"{self.record.request.gateway}/{number}"
