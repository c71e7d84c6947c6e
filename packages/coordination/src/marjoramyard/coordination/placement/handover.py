"""What a broker takes over from its predecessor.

Routers that hold a predecessor's snapshot send it when they connect. Their
snapshots differ in age and arrive in any order.
"""

import math

import msgspec

from marjoramyard.coordination.placement.engines import EngineEstimate
from marjoramyard.coordination.placement.fair_queues import FairQueues
from marjoramyard.coordination.placement.snapshots import BrokerSnapshot

MAX_AGE_MS = 5000.0
"""Older snapshots are not adopted: the load has changed since."""
WINDOW_MS = 3000.0
"""How long after it came into use a broker adopts snapshots."""
ARRIVAL_MS = 1000.0
"""How long after it came into use a broker may lack requests of workspaces that
were active at its predecessor."""
ANNOUNCE_INTERVAL_MS = 1000.0
"""The time between two announcements, and until the first one of a broker that
came into use."""
DATING_ERROR_MS = 10.0
"""Bound on the error of the time of a snapshot: times are truncated, and clocks
differ slightly in speed."""


class KnownEstimate(msgspec.Struct, frozen=True, order=True):
    """An estimate, ordered by when it was current.

    Attributes:
        made_at: When it was current, in ms of this broker's clock.
        content: The encoded estimate, which sets equally old ones apart.
    """

    made_at: float
    content: bytes

    @property
    def estimate(self) -> EngineEstimate:
        """The estimate."""
        return msgspec.json.decode(self.content, type=EngineEstimate)


class Adoption(msgspec.Struct, frozen=True):
    """What was adopted of a snapshot.

    Attributes:
        engines: The number of engines whose estimates were adopted.
        workspaces: The number of workspaces above the least virtual time, if
            the virtual times were adopted.
    """

    engines: int
    workspaces: int


class Handover:
    """Adopts the newest of the snapshots that routers send to a broker.

    The result does not depend on the order in which they arrive. What the
    broker has measured after a snapshot was made stays.

    All times are in ms of the broker's clock.

    Attributes:
        broker: The broker that adopts them.
        opened_at: When it came into use.
        used_until: When it was in use before; -inf if it was not.
        estimates: The newest estimates, by endpoint and `born`.
        applied: Which of them the engines have adopted, by endpoint.
        leads_from: When the adopted virtual times were current, and their
            content.
    """

    def __init__(self, broker: FairQueues, now: float):
        self.broker = broker
        self.opened_at = now
        self.used_until = -math.inf
        self.estimates: dict[tuple[str, int], KnownEstimate] = {}
        self.applied: dict[str, KnownEstimate] = {}
        self.leads_from = (-math.inf, b"")

    def reopen(self, now: float, used_until: float) -> None:
        """Adopts snapshots again, as another broker was in use meanwhile.

        Args:
            now: The time.
            used_until: When the broker was last in use.
        """
        self._forget()
        self.opened_at = now
        self.used_until = used_until
        self.broker.charges.restart()

    def close_if_over(self, now: float) -> None:
        """Forgets what was needed to adopt snapshots once it is too late."""
        if now - self.opened_at > ARRIVAL_MS:
            self.broker.keeps_floor = False
        if now - self.opened_at > WINDOW_MS:
            self._forget()
            self.broker.charges.stop()

    def _forget(self) -> None:
        self.estimates.clear()
        self.applied.clear()
        self.leads_from = (-math.inf, b"")

    def adopt(
        self, snapshot: BrokerSnapshot, age_ms: float, now: float
    ) -> Adoption | None:
        """Adopts what is newer than what the broker knows.

        Leads that are not positive are ignored.

        Args:
            snapshot: What a predecessor has learnt.
            age_ms: How long ago it was current.
            now: The time.

        Returns:
            What was adopted; None if the snapshot is too old or too late.
        """
        if age_ms > MAX_AGE_MS or now - self.opened_at > WINDOW_MS:
            return None
        made_at = now - max(0.0, age_ms)
        for estimate in snapshot.engines:
            self._record(estimate, made_at)
        engines = self.apply_estimates()
        leads = {
            name: lead for name, lead in snapshot.leads.items() if lead > 0
        }
        has_adopted = self._adopt_leads(leads, made_at)
        workspaces = len(leads) if has_adopted else 0
        return Adoption(engines, workspaces)

    def _record(self, estimate: EngineEstimate, made_at: float) -> None:
        key = (estimate.endpoint, estimate.born)
        known = KnownEstimate(made_at, msgspec.json.encode(estimate))
        self.estimates[key] = max(known, self.estimates.get(key, known))

    def apply_estimates(self) -> int:
        """Has engines adopt their estimates, if they are of this lifetime.

        Called again when engines were added.

        Returns:
            The number of engines that have adopted one.
        """
        count = 0
        for (endpoint, born), known in self.estimates.items():
            engine = self.broker.engines.get(endpoint)
            if engine is None or engine.born != born:
                continue
            if known.made_at < engine.rate_known_at:
                continue
            if (
                known.made_at == engine.rate_known_at
                and self.applied.get(endpoint) == known
            ):
                continue
            engine.adopt(known.estimate)
            engine.rate_known_at = known.made_at
            self.applied[endpoint] = known
            count += 1
        if count:
            self.broker.load.forget()
        return count

    def _adopt_leads(self, leads: dict[str, float], made_at: float) -> bool:
        if self._may_include_own_charges(made_at):
            return False
        content = msgspec.json.encode(leads, order="sorted")
        newest = (made_at, content)
        if made_at <= self.used_until or newest <= self.leads_from:
            return False
        self.leads_from = newest
        self.broker.adopt_virtual_times(leads, made_at)
        return True

    def _may_include_own_charges(self, made_at: float) -> bool:
        """Returns whether virtual times may include this broker's charges.

        From its first announcement on, gateways hand them back, or tell another
        broker that announces them.
        """
        first_at = self.opened_at + ANNOUNCE_INTERVAL_MS
        return made_at >= first_at - DATING_ERROR_MS
