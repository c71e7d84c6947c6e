"""A router's lease on the bundle in force."""

LEASE_SECONDS = 8.0
"""A router that is not renewed for so long takes no new work."""


class BundleLease:
    """Says whether the bundle that a router holds is still in force.

    Time runs from when the renewal was sent, on the router's own monotonic
    clock, so that no delay on the way back makes the lease outlive the
    leader's promise.
    """

    def __init__(self, seconds: float = LEASE_SECONDS):
        self.seconds = seconds
        self.valid_until = float("-inf")

    def renew(self, sent_at: float, seconds: float) -> None:
        """Takes in a renewal of a request that was sent at `sent_at`."""
        self.valid_until = max(
            self.valid_until, sent_at + min(seconds, self.seconds)
        )

    def is_valid(self, now: float) -> bool:
        """Returns whether new work may be taken now."""
        return now < self.valid_until
