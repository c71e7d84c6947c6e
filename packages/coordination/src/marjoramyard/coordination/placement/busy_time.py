"""An estimate of an engine's prefill rate that excludes latency."""

MIN_BUSY_MS = 120.0
"""Shorter samples are continued, as single steps dominate them."""
MIN_SAMPLE_TOKENS = 500.0
"""Smaller samples are continued, as their duration hardly depends on the
rate."""


class BusyTime:
    """Adds up how long an engine has prefilled, prompt by prompt.

    The time of a prompt starts when the one before it was reported, or when it
    could reach the engine if that is later. So the latency of a grant and of a
    report count for no prompt, however many of them the engine has at a time.

    Attributes:
        reported_at: When the last prefill was reported, in ms; None if it is
            not known how long the engine has been busy.
        busy_ms: Time of the current sample.
        tokens: Prompt tokens of the current sample.
    """

    def __init__(self):
        self.interrupt()

    def interrupt(self) -> None:
        """Discards the sample, as the time of some prompt is unknown."""
        self.reported_at: float | None = None
        self.busy_ms = 0.0
        self.tokens = 0.0

    def record(self, tokens: float, can_start_at: float, now: float) -> float:
        """Records a prefill.

        Args:
            tokens: Prompt tokens that were prefilled.
            can_start_at: When the prefill could have started, delayed by the
                latency of its report, in ms.
            now: When the report arrived, in ms.

        Returns:
            The rate in tokens per ms if a sample is complete; 0.0 otherwise.
        """
        previous, self.reported_at = self.reported_at, now
        if previous is None:
            return 0.0
        self.busy_ms += max(0.0, now - max(previous, can_start_at))
        self.tokens += tokens
        if self.busy_ms < MIN_BUSY_MS or self.tokens < MIN_SAMPLE_TOKENS:
            return 0.0
        rate = self.tokens / self.busy_ms
        self.busy_ms = 0.0
        self.tokens = 0.0
        return rate
