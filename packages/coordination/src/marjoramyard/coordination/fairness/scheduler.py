"""The fair choice of the workspace that a free slot serves next."""

import heapq
from collections.abc import Callable, Iterable

import msgspec

from marjoramyard.coordination.fairness.totals import Totals
from marjoramyard.kernel.ids import Incarnation, WorkspaceId, Zone

_MAX_CANDIDATES = 16
_COST_MEMORY = 0.2
"""Weight of the newest cost in a workspace's average cost."""


class FairnessPolicy(msgspec.Struct, frozen=True):
    """The signed knobs of the choice, in service units per share.

    Attributes:
        prefix_slack: How far strict order may be left for a warm prefix.
        zone_slack: How far it may be left for an entry in our zone.
        reserve: The part of a run's expected remaining cost that counts
            while it runs.
        credit_limit: The most that a backlogged workspace may be behind
            the one that is furthest ahead; older credit is written off.
    """

    prefix_slack: float = 0.0
    zone_slack: float = 0.0
    reserve: float = 0.0
    credit_limit: float = 1_000_000.0


class OfferRow(msgspec.Struct, array_like=True):
    """How many requests of a workspace wait at an entry, with a hint.

    Attributes:
        workspace: Whose requests wait.
        waiting: How many; 0 withdraws.
        prefix: The prefix digest of the request at the head.
    """

    workspace: WorkspaceId
    waiting: int
    prefix: str = ""


class Offer(msgspec.Struct):
    """One entry's waiting requests of one workspace."""

    entry: Incarnation
    zone: Zone
    waiting: int
    prefix: str


class Choice(msgspec.Struct, frozen=True):
    """The workspace to serve, and the entry that holds its request."""

    workspace: WorkspaceId
    entry: Incarnation


class EntryView(msgspec.Struct):
    """What we last heard of one entry."""

    zone: Zone
    sequence: int
    last_received_at: float
    workspaces: set[WorkspaceId]


class FairScheduler:
    """Serves the backlogged workspace with the least service per share.

    Levels come from `Totals`; they only grow but for a reservation that
    ends, so the heap holds lower bounds that are brought up to date as they
    surface: a choice costs O(log n) whatever was charged in between.
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

    # What entries tell.

    def record_message(
        self, entry: Incarnation, zone: Zone, sequence: int, now: float
    ) -> bool:
        """Notes a message of an entry; returns whether it is the newest."""
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
        """Takes in an entry's counts; each replaces what stood before."""
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
        """Takes in an entry's whole backlog; what it lacks is withdrawn."""
        rows = list(rows)
        named = {row.workspace for row in rows if row.waiting > 0}
        for workspace in self.entries[entry].workspaces - named:
            self._withdraw(entry, workspace)
        self.update_offers(entry, rows)

    def expire(self, older_than: float) -> list[Incarnation]:
        """Forgets entries not heard from since; returns them."""
        gone = [
            entry
            for entry, view in self.entries.items()
            if view.last_received_at < older_than
        ]
        for entry in gone:
            for workspace in list(self.entries[entry].workspaces):
                self._withdraw(entry, workspace)
            del self.entries[entry]
        return gone

    def _withdraw(self, entry: Incarnation, workspace: WorkspaceId) -> None:
        offers = self.offers.get(workspace, {})
        offers.pop(entry, None)
        if not offers:
            self.offers.pop(workspace, None)
        view = self.entries.get(entry)
        if view is not None:
            view.workspaces.discard(workspace)

    # The choice.

    def virtual_time(self, workspace: WorkspaceId) -> float:
        """Returns service per share, with what its runs still reserve."""
        share = self.share_of(workspace)
        level = self.totals.virtual_time(workspace, share)
        return level + self.reserved.get(workspace, 0.0) / share

    def has_waiting(self) -> bool:
        """Returns whether any entry offers a request."""
        return bool(self.offers)

    def waiting_count(self) -> int:
        """Returns how many requests the entries offer."""
        return sum(
            offer.waiting
            for offers in self.offers.values()
            for offer in offers.values()
        )

    def choose(self, is_warm: Callable[[str], bool]) -> Choice | None:
        """Chooses the workspace and the entry for one free slot."""
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
        """Pops the least level and those that slack lets go before it."""
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
            level = self.virtual_time(workspace)
            if level > key:
                self._push(workspace)
                continue
            found.append((level, workspace))
            if slack == 0:
                break
        return found

    def _push(self, workspace: WorkspaceId) -> None:
        level = self.virtual_time(workspace)
        known = self.heap_keys.get(workspace)
        if known is not None and known <= level:
            return
        self.heap_keys[workspace] = level
        heapq.heappush(self.heap, (level, workspace))

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
        """Returns whether a direct run of the workspace passes nobody.

        A direct run that passed a waiting workspace with a lower level
        would take the slot that it is owed.
        """
        candidates = self._candidates()
        for _, other in candidates:
            self._push(other)
        if not candidates:
            return True
        self._lift_if_idle(workspace)
        return self.virtual_time(workspace) <= candidates[0][0]

    # What becomes of a choice.

    def record_grant(self, choice: Choice) -> None:
        """Counts a granted request out of its entry's offer."""
        offer = self.offers.get(choice.workspace, {}).get(choice.entry)
        if offer is None:
            return
        offer.waiting -= 1
        if offer.waiting <= 0:
            self._withdraw(choice.entry, choice.workspace)

    def withdraw_unused(self, choice: Choice) -> None:
        """Drops an offer whose grant came back: nothing waits there."""
        self._withdraw(choice.entry, choice.workspace)

    def record_start(self, workspace: WorkspaceId) -> float:
        """Notes a run; returns what it reserves until it is charged."""
        self._lift_if_idle(workspace)
        self.running[workspace] = self.running.get(workspace, 0) + 1
        cost = self.average_cost.get(workspace, 0.0) * self.policy.reserve
        self._reserve(workspace, cost)
        return cost

    def charge(self, workspace: WorkspaceId, amount: float) -> None:
        """Charges service as it happens."""
        self.totals.add(workspace, amount)

    def release(self, workspace: WorkspaceId, reserved: float) -> None:
        """Takes back what was reserved and is charged by now."""
        self._reserve(workspace, -reserved)

    def record_finish(self, workspace: WorkspaceId, cost: float) -> None:
        """Notes the end of a run that cost so much in all."""
        left = self.running.get(workspace, 0) - 1
        self.running[workspace] = left
        if left <= 0:
            self.running.pop(workspace, None)
        old = self.average_cost.get(workspace, cost)
        self.average_cost[workspace] = old + _COST_MEMORY * (cost - old)

    def _reserve(self, workspace: WorkspaceId, amount: float) -> None:
        left = self.reserved.get(workspace, 0.0) + amount
        self.reserved[workspace] = left
        if left <= 0:
            self.reserved.pop(workspace, None)
        if amount < 0 and workspace in self.offers:
            self._push(workspace)

    # Credit.

    def is_active(self, workspace: WorkspaceId) -> bool:
        """Returns whether the workspace waits or runs here."""
        return workspace in self.offers or workspace in self.running

    def _lift_if_idle(self, workspace: WorkspaceId) -> None:
        """Lifts a workspace that was idle to the least active one's level.

        Without this an idle workspace hoards credit, and its burst shuts
        everybody else out until it has caught up. The lift is a shared row
        that only grows, so agents that lift the same workspace twice agree
        on the larger lift instead of adding them.
        """
        if self.is_active(workspace):
            return
        behind = self.system_virtual_time - self.virtual_time(workspace)
        if behind > 0:
            lift = self.totals.lifts.get(workspace, 0.0)
            self.totals.lift(workspace, lift + behind)

    def write_off_credit(self) -> None:
        """Lifts backlogged workspaces that are too far behind.

        After a long cut the sides' totals add up, and who was served on
        both sides would wait for as long as the cut lasted. The limit is
        above the fairness bound, so it acts only after a cut.
        """
        levels = {name: self.virtual_time(name) for name in self.offers}
        if not levels:
            return
        least = max(levels.values()) - self.policy.credit_limit
        for workspace, level in levels.items():
            if level < least:
                lift = self.totals.lifts.get(workspace, 0.0)
                self.totals.lift(workspace, lift + least - level)

    def virtual_time_gap(self) -> float:
        """Returns the widest difference of levels among the backlogged."""
        levels = [
            self.totals.virtual_time(name, self.share_of(name))
            for name in self.offers
        ]
        return max(levels) - min(levels) if levels else 0.0
