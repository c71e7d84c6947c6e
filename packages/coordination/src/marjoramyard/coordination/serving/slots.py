"""How many requests an agent runs at once on its endpoint."""

TARGET_TOKEN_GAP_SECONDS = 0.066
"""The users' aim: 66 ms between tokens for 95 in 100."""
_WINDOW = 200
_PERCENTILE = 0.95
_SHRINK = 0.8
_HEADROOM = 0.8


class SlotLimit:
    """Adapts the limit to the measured time between tokens.

    An engine admits whatever arrives and then slows everyone, so the limit
    shrinks by a factor when 95 in 100 gaps miss the aim, and grows by one
    when they keep it with room to spare. It is never below one.
    """

    def __init__(
        self, announced: int, target: float = TARGET_TOKEN_GAP_SECONDS
    ):
        self.ceiling = max(1, announced)
        self.limit = self.ceiling
        self.target = target
        self.gaps: list[float] = []

    def set_announced(self, slots: int) -> None:
        """Takes the endpoint's own word for the most it can run."""
        slots = max(1, slots)
        if slots != self.ceiling:
            self.ceiling = slots
            self.limit = min(self.limit, slots) if self.gaps else slots

    def record_gap(self, gap: float) -> None:
        """Counts one time between tokens, in seconds."""
        self.gaps.append(gap)
        if len(self.gaps) >= _WINDOW:
            self._adapt()

    def _adapt(self) -> None:
        ordered = sorted(self.gaps)
        self.gaps.clear()
        slow = ordered[int(len(ordered) * _PERCENTILE)]
        if slow > self.target:
            self.limit = max(1, int(self.limit * _SHRINK))
        elif slow < self.target * _HEADROOM:
            self.limit = min(self.ceiling, self.limit + 1)
