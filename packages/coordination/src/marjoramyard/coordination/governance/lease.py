"""A router's lease on the configuration bundle in force."""

LEASE_SECONDS = 8.0
"""How long a router accepts new requests without a renewal."""


class BundleLease:
    """Tracks whether the bundle held by a router is still in force.

    A lease starts when the renewal request is sent, by the router's monotonic
    clock, so that a delayed reply cannot extend it beyond what the leader
    granted.
    """

    def __init__(self, seconds: float = LEASE_SECONDS):
        self.seconds = seconds
        self.valid_until = float("-inf")

    def renew(self, sent_at: float, seconds: float) -> None:
        """Renews the lease.

        Args:
            sent_at: When the renewal request was sent.
            seconds: The duration granted by the leader.
        """
        self.valid_until = max(
            self.valid_until, sent_at + min(seconds, self.seconds)
        )

    @property
    def was_granted(self) -> bool:
        """Whether the lease has ever been granted."""
        return self.valid_until > float("-inf")

    def is_valid(self, now: float) -> bool:
        """Returns whether new requests may be accepted."""
        return now < self.valid_until
