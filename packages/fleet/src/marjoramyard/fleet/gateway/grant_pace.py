"""Limits what a gateway sends while no broker responds under overload.

A broker under overload refuses what would be late. While there is none, the
gateway goes on at the pace that the broker last granted to it; all that it sent
beyond that would be prefilled late and delay the prompts of all workspaces.
"""

from marjoramyard.fleet.gateway.grant_history import (
    LONG_WAIT_SECONDS,
    GrantHistory,
)

PACE_SECONDS = 5.0
"""How long after the last reply of a broker the pace is used."""
BURST_SECONDS = 0.2
"""Time for which tokens accumulate, and for which workspaces below an even
share may use tokens in advance."""


class PacedOutage:
    """What a gateway may send while no broker responds.

    Attributes:
        rate: The pace in prefill tokens per second.
        tokens: Tokens that may be sent now; negative if they were used in
            advance.
        updated_at: When tokens were last added, in monotonic seconds.
        sent: Prefill tokens sent in this outage, by workspace.
        largest: The most prefill tokens of one prompt sent.
    """

    def __init__(self, rate: float, started_at: float):
        self.rate = rate
        self.tokens = 0.0
        self.updated_at = started_at
        self.sent: dict[str, float] = {}
        self.largest = 0.0

    def admits(self, workspace: str, tokens: float, now: float) -> bool:
        """Returns whether a prompt may be sent; counts it if so.

        The last prompt may exceed the tokens, so that large prompts do not
        starve.
        """
        self._refill(now)
        self.sent.setdefault(workspace, 0.0)
        if self.tokens + self._advance(workspace) < 0:
            return False
        self.tokens -= tokens
        self.sent[workspace] += tokens
        self.largest = max(self.largest, tokens)
        return True

    def _refill(self, now: float) -> None:
        added = self.rate * (now - self.updated_at)
        self.updated_at = now
        self.tokens = min(self.tokens + added, self.rate * BURST_SECONDS)

    def _advance(self, workspace: str) -> float:
        """Returns the tokens that a workspace may use in advance."""
        even_share = sum(self.sent.values()) / len(self.sent)
        if self.sent[workspace] >= even_share:
            return 0.0
        return max(self.rate * BURST_SECONDS, self.largest)


class GrantPace:
    """Learns the pace of one service and applies it without a broker.

    Attributes:
        history: The recent replies of the service's brokers.
        last_reply_at: When the last one arrived, in monotonic seconds.
        is_lost: Whether a prompt got no reply since then.
        outage: The limit that applies; None if there was no overload.
    """

    def __init__(self):
        self.history = GrantHistory()
        self.last_reply_at = float("-inf")
        self.is_lost = False
        self.outage: PacedOutage | None = None

    def on_granted(self, tokens: float, waited: float, now: float) -> None:
        """Records a grant.

        Args:
            tokens: The expected prefill tokens.
            waited: How long the prompt waited for it, in seconds.
            now: The monotonic time in seconds.
        """
        self._on_reply(now)
        self.history.add(tokens, waited >= LONG_WAIT_SECONDS, now)

    def on_refused(self, now: float) -> None:
        """Records a refusal at a monotonic time in seconds."""
        self._on_reply(now)
        self.history.add(0.0, True, now)

    def _on_reply(self, now: float) -> None:
        silent_seconds = now - self.last_reply_at
        self.last_reply_at = now
        if not self.is_lost:
            return
        self.is_lost = False
        self.outage = None
        if silent_seconds > PACE_SECONDS:
            self.history = GrantHistory()
        else:
            self.history.skip(silent_seconds)

    def admits(self, workspace: str, tokens: float, now: float) -> bool:
        """Returns whether a prompt may be sent without a broker.

        Args:
            workspace: The workspace; "" on open routes.
            tokens: The expected prefill tokens.
            now: The monotonic time in seconds.
        """
        if not self.is_lost:
            self._start_outage()
        if self.outage is None or now - self.last_reply_at > PACE_SECONDS:
            return True
        return self.outage.admits(workspace, tokens, now)

    def _start_outage(self) -> None:
        self.is_lost = True
        rate = self.history.overload_rate()
        if rate is not None:
            self.outage = PacedOutage(rate, self.last_reply_at)


class GrantPaces:
    """The paces of all services.

    Attributes:
        by_service: The paces by service.
    """

    def __init__(self):
        self.by_service: dict[str, GrantPace] = {}

    def pace_of(self, service: str) -> GrantPace:
        """Returns the pace of a service."""
        return self.by_service.setdefault(service, GrantPace())
