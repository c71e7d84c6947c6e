"""What a broker has recently granted to one gateway."""

from collections import deque

import msgspec

WINDOW_SECONDS = 3.0
"""How long a reply counts."""
MIN_SPAN_SECONDS = 1.0
"""The shortest time over which a rate is measured."""
LONG_WAIT_SECONDS = 0.1
"""A grant that took longer was delayed for lack of engines; others take some
milliseconds."""
OVERLOAD_SHARE = 0.2
"""Share of refused or delayed prompts that shows an overload. A broker that
responds again after a short pause has delayed fewer."""
MIN_OVERLOAD_REPLIES = 3
"""The least number of them. Single prompts are also refused on calm days, since
their callers state little time."""


class BrokerReply(msgspec.Struct, frozen=True):
    """A reply of a broker.

    Attributes:
        at: When it arrived, in seconds of time with a broker.
        tokens: Granted prefill tokens; 0.0 for a refusal.
        shows_overload: Whether the prompt was refused, or delayed for long.
    """

    at: float
    tokens: float
    shows_overload: bool


class GrantHistory:
    """The recent replies of a service's brokers to one gateway.

    Time without a broker does not count, so a lost broker does not lower the
    rate that is known when its successor is lost too.

    Attributes:
        replies: The replies in the window, the oldest first.
        first_at: When the first one ever arrived, in seconds of time with a
            broker.
        last_at: The same for the last one.
        skipped_seconds: Time without a broker so far.
    """

    def __init__(self):
        self.replies: deque[BrokerReply] = deque()
        self.first_at = float("inf")
        self.last_at = 0.0
        self.skipped_seconds = 0.0

    def add(self, tokens: float, shows_overload: bool, now: float) -> None:
        """Records a reply.

        Args:
            tokens: See `BrokerReply`.
            shows_overload: See `BrokerReply`.
            now: The monotonic time in seconds.
        """
        at = now - self.skipped_seconds
        self.first_at = min(self.first_at, at)
        self.last_at = at
        self.replies.append(BrokerReply(at, tokens, shows_overload))
        while self.replies[0].at < at - WINDOW_SECONDS:
            self.replies.popleft()

    def skip(self, seconds: float) -> None:
        """Leaves out time without a broker."""
        self.skipped_seconds += seconds

    def overload_rate(self) -> float | None:
        """Returns the prefill tokens granted per second of the overload.

        None if there was no overload or too little is known.
        """
        if self.last_at - self.first_at < MIN_SPAN_SECONDS:
            return None
        overloaded = [
            reply.at for reply in self.replies if reply.shows_overload
        ]
        needed = max(MIN_OVERLOAD_REPLIES, OVERLOAD_SHARE * len(self.replies))
        if len(overloaded) < needed:
            return None
        # What was granted before the overload was the demand, not the capacity.
        since = min(overloaded[0], self.last_at - MIN_SPAN_SECONDS)
        tokens = sum(reply.tokens for reply in self.replies if reply.at > since)
        return tokens / (self.last_at - since)
