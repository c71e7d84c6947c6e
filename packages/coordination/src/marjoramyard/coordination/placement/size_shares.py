"""How large a share of the large prompts is served, compared with all."""

import msgspec

MIN_RELATIVE_SHARE = 0.5
"""Large prompts must be served at least this fraction as often as all."""
HALF_LIFE_MS = 5000.0
MIN_PROMPTS = 3.0
"""With fewer recent large prompts, their share says little."""


class SizeCounts(msgspec.Struct):
    """Recent prompts of one size, weighted by age.

    Attributes:
        arrived: Prompts of callers that had not been refused before.
        granted: Prompts that got an engine.
    """

    arrived: float = 0.0
    granted: float = 0.0

    def decay(self, factor: float) -> None:
        """Multiplies the counts."""
        self.arrived *= factor
        self.granted *= factor


class SizeShares:
    """Compares how many large prompts and how many of all get an engine.

    Under overload, what misses its objective is refused. A large prompt takes
    longer and is refused at shorter waits, up to always.

    All times are in ms of one clock.

    Attributes:
        large: The large prompts.
        others: All other prompts.
        updated_at: When the counts were last weighted.
    """

    def __init__(self):
        self.large = SizeCounts()
        self.others = SizeCounts()
        self.updated_at = 0.0

    def record_arrival(self, is_large: bool, now: float) -> None:
        """Records the first attempt of a caller."""
        self._decay(now)
        self._counts(is_large).arrived += 1.0

    def record_grant(self, is_large: bool, now: float) -> None:
        """Records that a prompt got an engine, at whichever attempt."""
        self._decay(now)
        self._counts(is_large).granted += 1.0

    def is_large_behind(self) -> bool:
        """Returns whether too few of the large prompts get an engine."""
        arrived = self.large.arrived + self.others.arrived
        granted = self.large.granted + self.others.granted
        if self.large.arrived < MIN_PROMPTS:
            return False
        share = self.large.granted / self.large.arrived
        return share < MIN_RELATIVE_SHARE * granted / arrived

    def _counts(self, is_large: bool) -> SizeCounts:
        return self.large if is_large else self.others

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_MS)
        self.large.decay(factor)
        self.others.decay(factor)
        self.updated_at = now
