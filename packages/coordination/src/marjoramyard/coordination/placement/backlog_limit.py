"""The limit on the prefill backlog of an engine."""

MIN_BACKLOG_MS = 60.0
"""With less, an engine would idle until its next prompt arrives."""
MAX_BACKLOG_MS = 180.0
"""With more, prompts wait in engines that the broker could still reorder."""
SHORT_QUEUE_MS = 50.0
"""Queues that engines can prefill in this time need no larger backlog."""
LONG_QUEUE_MS = 200.0
"""Queues of this length or more get the full backlog."""
INCREASE_MS = 1.0
"""Added for each stream whose gaps meet their objective."""
DECREASE_FACTOR = 0.6
"""Applied for each stream with a gap longer than its objective."""


def limit_for_queue(queue_ms: float, limit_ms: float) -> float:
    """Returns the limit for a queue, in ms.

    Args:
        queue_ms: How long all engines together would take to prefill it.
        limit_ms: The limit while there is a long queue.
    """
    length = (queue_ms - SHORT_QUEUE_MS) / (LONG_QUEUE_MS - SHORT_QUEUE_MS)
    share = min(1.0, max(0.0, length))
    return MIN_BACKLOG_MS + share * (limit_ms - MIN_BACKLOG_MS)


def longest_for_queue(queue_ms: float) -> float:
    """Returns the limit for a queue of an engine without late streams, in ms.

    Args:
        queue_ms: See `limit_for_queue`.
    """
    return limit_for_queue(queue_ms, MAX_BACKLOG_MS)


class BacklogLimit:
    """Adapts the backlog limit to the gaps of the streams.

    A prompt takes some time from its grant to its engine, and so does the
    report of its first token. A larger backlog keeps the engine busy during
    these times. But an engine that prefills without a pause generates the
    tokens of its running streams more slowly. The limit therefore grows until
    streams miss the objective for the time between their events.

    Prompts in an engine's backlog can't be reordered any more, so it is only
    used while there is a queue that needs it.

    Attributes:
        limit_ms: The limit while there is a long queue: an engine gets further
            requests while its backlog is expected to take at most this time.
    """

    def __init__(self):
        self.limit_ms = MIN_BACKLOG_MS

    def for_queue(self, queue_ms: float) -> float:
        """Returns the limit for a queue, in ms.

        Args:
            queue_ms: How long all engines together would take to prefill it.
        """
        return limit_for_queue(queue_ms, self.limit_ms)

    def record_longest_gap(self, ratio: float) -> None:
        """Adapts the limit to a stream that has ended.

        Streams of few events should not be recorded: their gaps are short even
        if those of long streams are not, and there may be many of them.

        Args:
            ratio: The longest gap between two events, relative to the
                objective for it; 0.0 if unknown.
        """
        if ratio <= 0.0:
            return
        if ratio > 1.0:
            self.limit_ms = max(MIN_BACKLOG_MS, self.limit_ms * DECREASE_FACTOR)
        else:
            self.limit_ms = min(MAX_BACKLOG_MS, self.limit_ms + INCREASE_MS)
