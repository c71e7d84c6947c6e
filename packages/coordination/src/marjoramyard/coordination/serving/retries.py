"""A retry budget, which keeps retries from amplifying an overload."""


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Attributes:
        ratio: Tokens added per request; one retry costs one token.
        burst: Capacity of the bucket, in tokens.
        tokens: Tokens available.
    """

    def __init__(self, ratio: float, burst: float):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def on_request(self) -> None:
        """Adds the tokens for one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes the token for one retry; returns False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
