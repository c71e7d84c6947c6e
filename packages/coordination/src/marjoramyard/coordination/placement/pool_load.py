"""The load of all engines of one service, and the least loaded of them."""

import heapq

import msgspec

from marjoramyard.coordination.placement.engines import Engine
from marjoramyard.coordination.placement.router_pauses import RouterPauses
from marjoramyard.coordination.placement.wait_forecast import WaitLevels

CHANGE_SHARE = 1 / 64
"""Sums may be out of date by changes of this share of the engines."""
MIN_LIGHTEST = 64
"""Pools of up to as many engines are searched completely."""


class LoadSums(msgspec.Struct, frozen=True):
    """Sums over the engines on which waits are estimated.

    An engine that has asked some routers for a pause counts for the share of
    the others.

    Attributes:
        count: Their number.
        total_rate: Their prefill rates together, in tokens per ms.
        mean_wait_ms: The mean time until one could start a new prefill.
        lightest: Usable engines, the least loaded first: all engines of a
            small pool.
    """

    count: float
    total_rate: float
    mean_wait_ms: float
    lightest: list[Engine]


class PoolLoad:
    """The load of a pool, computed again when enough has changed.

    In a pool of less than 1 / `CHANGE_SHARE` engines that is after each change.

    Attributes:
        engines: The engines, by endpoint.
        pauses: The pauses that engines have asked routers for.
        router_count: The number of routers.
        sums: The last sums.
        wait_levels: The waits from which they were computed, if they have been
            needed.
        changes: The number of changes since then.
    """

    def __init__(self, engines: dict[str, Engine], pauses: RouterPauses):
        self.engines = engines
        self.pauses = pauses
        self.router_count = 1
        self.sums: LoadSums | None = None
        self.wait_levels: WaitLevels | None = None
        self.changes = 0

    def record_change(self) -> None:
        """Records that the load of an engine has changed."""
        self.changes += 1

    def forget(self) -> None:
        """Has the sums computed again at their next use."""
        self.sums = None

    def current(self) -> LoadSums:
        """Returns the sums."""
        tolerated = int(len(self.engines) * CHANGE_SHARE)
        if self.sums is None or self.changes > tolerated:
            self.sums = self._compute()
            self.wait_levels = None
            self.changes = 0
        return self.sums

    def level_ms(self, tokens: float) -> float:
        """Returns the shortest wait after engines got further prompts, in ms.

        Args:
            tokens: The tokens to prefill of these prompts.
        """
        if tokens <= 0.0:
            return 0.0
        self.current()
        if self.wait_levels is None:
            self.wait_levels = WaitLevels(self._serving())
        return self.wait_levels.level_ms(tokens)

    def _serving(self) -> list[Engine]:
        """Returns the usable engines, without cold ones if there are others."""
        usable = [e for e in self.engines.values() if e.is_usable]
        return [e for e in usable if not e.is_cold] or usable

    def _compute(self) -> LoadSums:
        usable = [e for e in self.engines.values() if e.is_usable]
        serving = self._serving()
        shares = self._router_shares(serving)
        count = sum(shares)
        wait_ms = sum(
            share * e.wait_ms for share, e in zip(shares, serving, strict=True)
        )
        rate = sum(
            share * e.rate for share, e in zip(shares, serving, strict=True)
        )
        lightest = usable
        if len(usable) > MIN_LIGHTEST:
            lightest = heapq.nsmallest(
                max(MIN_LIGHTEST, int(2 * len(usable) * CHANGE_SHARE)),
                usable,
                key=lambda engine: (
                    not engine.has_capacity(0.0),
                    engine.wait_ms,
                    engine.running,
                ),
            )
        return LoadSums(
            count, rate, wait_ms / count if count else 0.0, lightest
        )

    def _router_shares(self, serving: list[Engine]) -> list[float]:
        """Returns the share of routers that may send to each engine.

        1.0 for all if no router may send to any.
        """
        paused = self.pauses.by_endpoint
        if not paused:
            return [1.0] * len(serving)
        shares = [
            1.0 - min(1.0, len(paused.get(e.endpoint, ())) / self.router_count)
            for e in serving
        ]
        return shares if any(shares) else [1.0] * len(serving)
