"""Fair queueing: chooses the workspace that a free slot serves next."""

import heapq
from collections.abc import Callable, Iterable

import msgspec

from marjoramyard.coordination.fairness.totals import Totals
from marjoramyard.kernel.ids import Incarnation, WorkspaceId, Zone

_MAX_CANDIDATES = 16
_NEWEST_COST_WEIGHT = 0.2
"""Weight of the newest cost in a workspace's moving average."""


class FairnessPolicy(msgspec.Struct, frozen=True):
    """Scheduling parameters from the configuration bundle.

    Slacks and the credit limit are in units of virtual time (service units
    per share).

    Attributes:
        prefix_slack: Virtual time by which a request with a cached prefix
            may be served ahead of the strict order.
        zone_slack: Virtual time by which a request from an entry in the
            local zone may be served ahead of the strict order.
        reserve: Fraction of a workspace's average cost that is reserved
            when one of its requests starts.
        credit_limit: Maximum lag of a backlogged workspace behind the one
            with the largest virtual time; any further lag is written off.
    """

    prefix_slack: float = 0.0
    zone_slack: float = 0.0
    reserve: float = 0.0
    credit_limit: float = 1_000_000.0


class OfferRow(msgspec.Struct, array_like=True):
    """Queue length of one workspace at an entry.

    Attributes:
        workspace: The workspace that the queued requests belong to.
        waiting: Number of queued requests; 0 withdraws the offer.
        prefix: Prefix digest of the request at the head of the queue.
    """

    workspace: WorkspaceId
    waiting: int
    prefix: str = ""


class Offer(msgspec.Struct):
    """Queued requests of one workspace at one entry."""

    entry: Incarnation
    zone: Zone
    waiting: int
    prefix: str


class Choice(msgspec.Struct, frozen=True):
    """The workspace to serve and the entry that holds its request."""

    workspace: WorkspaceId
    entry: Incarnation


class EntryView(msgspec.Struct):
    """State of one entry as of its newest message."""

    zone: Zone
    sequence: int
    last_received_at: float
    workspaces: set[WorkspaceId]


class FairScheduler:
    """Serves the backlogged workspace with the least virtual time.

    A workspace's virtual time is its service divided by its share, plus its
    lift (see `totals`) and its reservations. It decreases only when a
    reservation is released, which updates the heap. The keys in the heap are
    therefore lower bounds and are refreshed when they reach the top, so that
    charging needs no heap update and a choice takes amortized O(log n) time.
    """

    def __init__(
        self,
        totals: Totals,
        zone: Zone,
        share_of: Callable[[WorkspaceId], float],
        policy: FairnessPolicy,
    ):
        self.totals = totals
        self.zone = zone
        self.share_of = share_of
        self.policy = policy
        self.entries: dict[Incarnation, EntryView] = {}
        self.offers: dict[WorkspaceId, dict[Incarnation, Offer]] = {}
        self.running: dict[WorkspaceId, int] = {}
        self.reserved: dict[WorkspaceId, float] = {}
        self.average_cost: dict[WorkspaceId, float] = {}
        self.heap: list[tuple[float, WorkspaceId]] = []
        self.heap_keys: dict[WorkspaceId, float] = {}
        self.system_virtual_time = 0.0

    # Offers of entries.

    def record_message(
        self, entry: Incarnation, zone: Zone, sequence: int, now: float
    ) -> bool:
        """Records an entry's message; returns whether it is the newest."""
        view = self.entries.get(entry)
        if view is None:
            self.entries[entry] = EntryView(zone, sequence, now, set())
            return True
        if sequence <= view.sequence:
            return False
        view.sequence = sequence
        view.last_received_at = now
        return True

    def update_offers(
        self, entry: Incarnation, rows: Iterable[OfferRow]
    ) -> None:
        """Replaces the offers of the workspaces named in `rows`."""
        view = self.entries[entry]
        for row in rows:
            if row.waiting <= 0:
                self._withdraw(entry, row.workspace)
                continue
            self._lift_if_idle(row.workspace)
            offers = self.offers.setdefault(row.workspace, {})
            offers[entry] = Offer(entry, view.zone, row.waiting, row.prefix)
            view.workspaces.add(row.workspace)
            self._push(row.workspace)

    def replace_offers(
        self, entry: Incarnation, rows: Iterable[OfferRow]
    ) -> None:
        """Replaces all offers of an entry; missing workspaces are withdrawn."""
        rows = list(rows)
        named = {row.workspace for row in rows if row.waiting > 0}
        for workspace in self.entries[entry].workspaces - named:
            self._withdraw(entry, workspace)
        self.update_offers(entry, rows)

    def expire(self, older_than: float) -> list[Incarnation]:
        """Removes entries that have sent no message since `older_than`.

        Returns:
            The removed entries.
        """
        expired = [
            entry
            for entry, view in self.entries.items()
            if view.last_received_at < older_than
        ]
        for entry in expired:
            for workspace in list(self.entries[entry].workspaces):
                self._withdraw(entry, workspace)
            del self.entries[entry]
        return expired

    def _withdraw(self, entry: Incarnation, workspace: WorkspaceId) -> None:
        offers = self.offers.get(workspace, {})
        offers.pop(entry, None)
        if not offers:
            self.offers.pop(workspace, None)
        view = self.entries.get(entry)
        if view is not None:
            view.workspaces.discard(workspace)

    # Choosing a workspace.

    def virtual_time(self, workspace: WorkspaceId) -> float:
        """Returns the virtual time of a workspace, with its reservations."""
        share = self.share_of(workspace)
        virtual_time = self.totals.virtual_time(workspace, share)
        return virtual_time + self.reserved.get(workspace, 0.0) / share

    def has_waiting(self) -> bool:
        """Returns whether any entry has a queued request."""
        return bool(self.offers)

    def waiting_count(self) -> int:
        """Returns the number of queued requests at all entries."""
        return sum(
            offer.waiting
            for offers in self.offers.values()
            for offer in offers.values()
        )

    def choose(self, is_warm: Callable[[str], bool]) -> Choice | None:
        """Chooses the workspace and the entry for one free slot.

        Args:
            is_warm: Whether the engine's cache is likely to hold the prefix
                with a given digest.
        """
        candidates = self._candidates()
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda pair: pair[0] - self._bonus(pair[1], is_warm),
        )
        for _, workspace in candidates:
            self._push(workspace)
        self.system_virtual_time = max(
            self.system_virtual_time, candidates[0][0]
        )
        offer = self._best_offer(best[1], is_warm)
        return Choice(best[1], offer.entry)

    def _candidates(self) -> list[tuple[float, WorkspaceId]]:
        """Pops the least virtual time and those within the slack of it."""
        slack = self.policy.prefix_slack + self.policy.zone_slack
        found: list[tuple[float, WorkspaceId]] = []
        while self.heap and len(found) < _MAX_CANDIDATES:
            key, workspace = self.heap[0]
            if self.heap_keys.get(workspace) != key:
                heapq.heappop(self.heap)
                continue
            if found and key > found[0][0] + slack:
                break
            heapq.heappop(self.heap)
            del self.heap_keys[workspace]
            if workspace not in self.offers:
                continue
            virtual_time = self.virtual_time(workspace)
            if virtual_time > key:
                self._push(workspace)
                continue
            found.append((virtual_time, workspace))
            if slack == 0:
                break
        return found

    def _push(self, workspace: WorkspaceId) -> None:
        virtual_time = self.virtual_time(workspace)
        known = self.heap_keys.get(workspace)
        if known is not None and known <= virtual_time:
            return
        self.heap_keys[workspace] = virtual_time
        heapq.heappush(self.heap, (virtual_time, workspace))

    def _offer_bonus(self, offer: Offer, is_warm: Callable) -> float:
        bonus = 0.0
        if offer.zone == self.zone:
            bonus += self.policy.zone_slack
        if offer.prefix and is_warm(offer.prefix):
            bonus += self.policy.prefix_slack
        return bonus

    def _bonus(self, workspace: WorkspaceId, is_warm: Callable) -> float:
        offers = self.offers[workspace].values()
        return max(self._offer_bonus(offer, is_warm) for offer in offers)

    def _best_offer(self, workspace: WorkspaceId, is_warm: Callable) -> Offer:
        offers = self.offers[workspace].values()
        return max(
            offers,
            key=lambda o: (self._offer_bonus(o, is_warm), o.waiting, o.entry),
        )

    def may_bypass_queue(self, workspace: WorkspaceId) -> bool:
        """Returns whether the workspace may use a free slot without queueing.

        It may not if a workspace with a smaller virtual time is queued.
        """
        candidates = self._candidates()
        for _, other in candidates:
            self._push(other)
        if not candidates:
            return True
        self._lift_if_idle(workspace)
        return self.virtual_time(workspace) <= candidates[0][0]

    # Outcome of a choice.

    def record_grant(self, choice: Choice) -> None:
        """Subtracts a granted request from its entry's offer."""
        offer = self.offers.get(choice.workspace, {}).get(choice.entry)
        if offer is None:
            return
        offer.waiting -= 1
        if offer.waiting <= 0:
            self._withdraw(choice.entry, choice.workspace)

    def withdraw_unused(self, choice: Choice) -> None:
        """Withdraws an offer whose grant the entry did not use."""
        self._withdraw(choice.entry, choice.workspace)

    def record_start(self, workspace: WorkspaceId) -> float:
        """Records the start of a run; returns its reservation."""
        self._lift_if_idle(workspace)
        self.running[workspace] = self.running.get(workspace, 0) + 1
        cost = self.average_cost.get(workspace, 0.0) * self.policy.reserve
        self._reserve(workspace, cost)
        return cost

    def charge(self, workspace: WorkspaceId, amount: float) -> None:
        """Charges service that a workspace has received."""
        self.totals.add(workspace, amount)

    def release(self, workspace: WorkspaceId, reserved: float) -> None:
        """Releases a reservation, or the part that has been charged."""
        self._reserve(workspace, -reserved)

    def record_finish(self, workspace: WorkspaceId, cost: float) -> None:
        """Records the end of a run and its total cost."""
        remaining = self.running.get(workspace, 0) - 1
        self.running[workspace] = remaining
        if remaining <= 0:
            self.running.pop(workspace, None)
        old = self.average_cost.get(workspace, cost)
        self.average_cost[workspace] = old + _NEWEST_COST_WEIGHT * (cost - old)

    def _reserve(self, workspace: WorkspaceId, amount: float) -> None:
        remaining = self.reserved.get(workspace, 0.0) + amount
        self.reserved[workspace] = remaining
        if remaining <= 0:
            self.reserved.pop(workspace, None)
        if amount < 0 and workspace in self.offers:
            self._push(workspace)

    # Limits on credit.

    def is_active(self, workspace: WorkspaceId) -> bool:
        """Returns whether the workspace has queued or running requests."""
        return workspace in self.offers or workspace in self.running

    def _lift_if_idle(self, workspace: WorkspaceId) -> None:
        """Lifts an idle workspace to the system virtual time.

        Otherwise a workspace would accumulate credit while it is idle, and
        its next burst would block all others until it has caught up. Lifts
        only grow and are merged by maximum, so two agents that lift the
        same workspace do not add their lifts up.
        """
        if self.is_active(workspace):
            return
        lag = self.system_virtual_time - self.virtual_time(workspace)
        if lag > 0:
            lift = self.totals.lifts.get(workspace, 0.0)
            self.totals.lift(workspace, lift + lag)

    def write_off_credit(self) -> None:
        """Lifts backlogged workspaces that lag by more than the limit.

        When a network partition heals, the totals of both sides are added
        up. Without the limit, workspaces that were served on both sides
        would wait until the others have caught up. The limit must exceed
        the fairness bound, so that it has no effect without a partition.
        """
        virtual_times = {name: self.virtual_time(name) for name in self.offers}
        if not virtual_times:
            return
        minimum = max(virtual_times.values()) - self.policy.credit_limit
        for workspace, virtual_time in virtual_times.items():
            if virtual_time < minimum:
                lift = self.totals.lifts.get(workspace, 0.0)
                self.totals.lift(workspace, lift + minimum - virtual_time)

    def virtual_time_gap(self) -> float:
        """Returns the spread of virtual time, without reservations.

        Only backlogged workspaces count.
        """
        virtual_times = [
            self.totals.virtual_time(name, self.share_of(name))
            for name in self.offers
        ]
        return max(virtual_times) - min(virtual_times) if virtual_times else 0.0
