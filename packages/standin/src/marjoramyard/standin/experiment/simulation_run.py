"""One attempt of a request in a play, and what a play comes to."""

import msgspec

from marjoramyard.standin.experiment.engine_model import ModelEngine, ModelRun
from marjoramyard.standin.experiment.scoring import Credits, Record


class Tally(msgspec.Struct):
    """What a play cost beside the callers' credit."""

    fetched_gb: float = 0.0
    cross_zone_mb: float = 0.0
    shared_tokens_read: float = 0.0
    reading_share: float = 0.0
    busy_share: float = 0.0
    preempted: int = 0
    refused: int = 0


class Play(msgspec.Struct):
    """One play and its result."""

    seed: int
    credits: Credits
    tally: Tally
    records: list[Record]


class Attempt:
    """One attempt of a request, until its answer has ended."""

    def __init__(self, number: int, record: Record, began_at: float):
        self.key = f"{record.request.gateway}/{number}"
        self.record = record
        self.began_at = began_at
        self.engine: ModelEngine | None = None
        self.run: ModelRun | None = None
        self.last_event_at = 0.0
        self.is_over = False
