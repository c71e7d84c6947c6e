"""Pauses that endpoints have asked a node for."""


class EndpointPauses:
    """The endpoints that have asked this node for no requests for a time.

    Unlike a backoff, a pause is not ended by a response: the endpoint has asked
    for it. Times are in seconds on a monotonic clock.

    Attributes:
        until: When the pause of each endpoint ends.
    """

    def __init__(self):
        self.until: dict[str, float] = {}

    def record(self, endpoint: str, until: float) -> None:
        """Records a pause. One that ends earlier does not shorten another."""
        self.until[endpoint] = max(until, self.until.get(endpoint, until))

    def forget(self, endpoint: str) -> None:
        """Ends the pause of an endpoint that has been restarted."""
        self.until.pop(endpoint, None)

    def is_paused(self, endpoint: str, now: float) -> bool:
        """Returns whether an endpoint must get no requests."""
        return now < self.until.get(endpoint, now)

    def seconds_left(self, endpoint: str, now: float) -> float:
        """Returns how long an endpoint must get no requests; 0.0 if it may."""
        return max(0.0, self.until.get(endpoint, now) - now)

    def current(self, now: float) -> set[str]:
        """Returns the endpoints that must get no requests."""
        if not self.until:
            return set()
        self.until = {
            endpoint: until
            for endpoint, until in self.until.items()
            if now < until
        }
        return set(self.until)
