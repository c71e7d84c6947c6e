"""Replicated service totals: grow-only counters, one set per process."""

import msgspec

from marjoramyard.kernel.ids import Incarnation, WorkspaceId

DEFAULT_ROW_LIMIT = 400
RESTART_VERSION_GAP = 1_000_000
"""Must exceed the number of changes between two exchanges with a peer."""
_WIRE_DECIMALS = 1
"""Decimal places of service units in messages."""


class OriginDelta(msgspec.Struct, array_like=True):
    """Changes to one origin's rows between two versions.

    Attributes:
        since: Version of the origin before the changes.
        upto: Version of the origin after the changes.
        served: Cumulative service of the changed workspaces, in service
            units.
        lifts: Lifts of the changed workspaces, in service units per share.
    """

    since: int
    upto: int
    served: dict[WorkspaceId, float]
    lifts: dict[WorkspaceId, float] = {}


class TotalsDelta(msgspec.Struct, omit_defaults=True):
    """Message with the rows that a peer lacks.

    Attributes:
        sender: Incarnation of the sending process.
        held: Version of each origin that the sender holds.
        origins: Changed rows by origin.
    """

    sender: Incarnation
    held: dict[Incarnation, int] = {}
    origins: dict[Incarnation, OriginDelta] = {}


class OriginRows:
    """Rows of one origin, ordered by their last change."""

    def __init__(self):
        self.version = 0
        self.last_change_version = 0
        self.served: dict[WorkspaceId, float] = {}
        self.lifts: dict[WorkspaceId, float] = {}
        self.changed_at: dict[WorkspaceId, int] = {}

    def mark_changed(self, workspace: WorkspaceId, version: int) -> None:
        """Records the version at which a workspace's rows last changed.

        The entry is re-inserted and versions never decrease, so that
        `changed_at` stays sorted by version.
        """
        self.last_change_version = max(self.last_change_version, version)
        self.changed_at.pop(workspace, None)
        self.changed_at[workspace] = self.last_change_version

    def changes_since(self, since: int, limit: int) -> OriginDelta | None:
        """Returns the rows changed since a version, oldest first.

        Rows that arrived in one message share a version and are always sent
        together, even beyond the limit. Otherwise the peer would record
        their version and never receive the rest.

        Args:
            since: Version that the receiver holds.
            limit: Maximum number of workspaces, but for rows that share a
                version.

        Returns:
            The changes, or None if there are none.
        """
        found = []
        for workspace in reversed(self.changed_at):
            if self.changed_at[workspace] <= since:
                break
            found.append(workspace)
        found.reverse()
        upto = self.version
        if len(found) > limit:
            last = self.changed_at[found[limit - 1]]
            selected = [w for w in found if self.changed_at[w] <= last]
            if len(selected) < len(found):
                found, upto = selected, last
        if upto <= since:
            return None
        served = {
            w: round(self.served.get(w, 0.0), _WIRE_DECIMALS) for w in found
        }
        lifts = {w: self.lifts[w] for w in found if w in self.lifts}
        return OriginDelta(since, upto, served, lifts)


class Totals:
    """Service received by each workspace of one service, by origin.

    Each process writes only the rows under its own name, and rows only
    grow. They are merged by maximum, so that messages may be lost, repeated
    or reordered.

    Origins are named after the host rather than the incarnation, so that
    restarts do not add origins. A restarted process first recovers its
    previous rows from a peer, and publishes no service until then.

    Attributes:
        name: Name of this process's origin, which survives restarts.
        incarnation: Incarnation of the process.
        step: Growth, in service units, after which a row is published.
            Larger steps save messages; each agent adds one step to the
            fairness bound.
    """

    def __init__(
        self,
        name: str,
        incarnation: Incarnation | None = None,
        step: float = 0.0,
    ):
        self.name = name
        self.incarnation = incarnation or name
        self.step = step
        self.is_recovered = False
        self.unpublished: dict[WorkspaceId, float] = {}
        self.origins: dict[Incarnation, OriginRows] = {}
        self.sums: dict[WorkspaceId, float] = {}
        self.lifts: dict[WorkspaceId, float] = {}

    def _origin(self, name: Incarnation) -> OriginRows:
        rows = self.origins.get(name)
        if rows is None:
            rows = self.origins[name] = OriginRows()
        return rows

    def add(self, workspace: WorkspaceId, amount: float) -> None:
        """Charges service, in service units, to a workspace."""
        self.sums[workspace] = self.sums.get(workspace, 0.0) + amount
        growth = self.unpublished.get(workspace, 0.0) + amount
        self.unpublished[workspace] = growth
        if self.is_recovered and growth >= self.step:
            self._publish(workspace)

    def _publish(self, workspace: WorkspaceId) -> None:
        growth = self.unpublished.pop(workspace)
        own = self._origin(self.name)
        own.version += 1
        own.mark_changed(workspace, own.version)
        own.served[workspace] = own.served.get(workspace, 0.0) + growth

    def update_recovery(self, held: dict[Incarnation, int]) -> None:
        """Ends the recovery once a peer has sent all own rows that it holds.

        Other peers may hold later versions from before the restart, and
        would ignore new rows with the same versions. New versions therefore
        start at a distance from the recovered one.

        Args:
            held: Versions by origin that the peer holds.
        """
        last = held.get(self.name, 0)
        own = self.origins.get(self.name)
        if self.is_recovered or (own.version if own else 0) < last:
            return
        self.is_recovered = True
        if own is not None and last:
            own.version += RESTART_VERSION_GAP
        for workspace, growth in list(self.unpublished.items()):
            if growth >= self.step:
                self._publish(workspace)

    def lift(self, workspace: WorkspaceId, value: float) -> None:
        """Raises the workspace's lift to at least `value`."""
        if value <= self.lifts.get(workspace, 0.0):
            return
        own = self._origin(self.name)
        own.version += 1
        own.mark_changed(workspace, own.version)
        own.lifts[workspace] = value
        self.lifts[workspace] = value

    def virtual_time(self, workspace: WorkspaceId, share: float) -> float:
        """Returns the virtual time: service per share plus the lift."""
        served = self.sums.get(workspace, 0.0) / share
        return served + self.lifts.get(workspace, 0.0)

    def merge(self, name: Incarnation, delta: OriginDelta) -> None:
        """Merges an origin's rows.

        If rows before `delta.since` are missing, the rows are merged but
        the version is kept, so that peers send the missing ones again.
        """
        if name == self.name:
            self._merge_own_rows(delta)
            return
        rows = self._origin(name)
        for workspace in self._merge_rows(rows, delta):
            rows.mark_changed(workspace, delta.upto)
        if delta.since <= rows.version:
            rows.version = max(rows.version, delta.upto)

    def _merge_own_rows(self, delta: OriginDelta) -> None:
        """Merges rows that this process published before a restart."""
        own = self._origin(self.name)
        changed = self._merge_rows(own, delta)
        if self.is_recovered:
            # This peer held later rows than the one recovered from.
            own.version += 1
        elif delta.since <= own.version:
            own.version = max(own.version, delta.upto)
        for workspace in changed:
            own.mark_changed(workspace, own.version)

    def _merge_rows(
        self, rows: OriginRows, delta: OriginDelta
    ) -> set[WorkspaceId]:
        changed = set()
        for workspace in delta.served.keys() | delta.lifts.keys():
            before = rows.served.get(workspace), rows.lifts.get(workspace)
            self._merge_served(rows, workspace, delta.served.get(workspace, 0))
            self._merge_lift(rows, workspace, delta.lifts.get(workspace, 0.0))
            after = rows.served.get(workspace), rows.lifts.get(workspace)
            if after != before:
                changed.add(workspace)
        return changed

    def _merge_served(
        self, rows: OriginRows, workspace: WorkspaceId, value: float
    ) -> None:
        growth = value - rows.served.get(workspace, 0.0)
        if growth > 0:
            rows.served[workspace] = value
            self.sums[workspace] = self.sums.get(workspace, 0.0) + growth

    def _merge_lift(
        self, rows: OriginRows, workspace: WorkspaceId, value: float
    ) -> None:
        if value > rows.lifts.get(workspace, 0.0):
            rows.lifts[workspace] = value
            self.lifts[workspace] = max(self.lifts.get(workspace, 0.0), value)

    def held(self) -> dict[Incarnation, int]:
        """Returns the version held of each origin."""
        return {
            name: rows.version
            for name, rows in self.origins.items()
            if rows.version
        }


class TotalsSync:
    """Exchange of totals with one peer.

    Each message states all versions that its sender holds. A lost message
    is therefore made up for by the next, and rows that the peer has from
    others are not sent to it.
    """

    def __init__(self, totals: Totals):
        self.totals = totals
        self.peer = Incarnation("")
        self.peer_versions: dict[Incarnation, int] = {}

    def make_delta(self, limit: int = DEFAULT_ROW_LIMIT) -> TotalsDelta:
        """Returns a message with the rows that the peer lacks.

        Args:
            limit: Maximum number of rows, but for rows that share a version.
        """
        found: dict[Incarnation, OriginDelta] = {}
        for name, rows in self.totals.origins.items():
            if limit <= 0:
                break
            since = self.peer_versions.get(name, 0)
            if rows.version <= since:
                continue
            delta = rows.changes_since(since, limit)
            if delta is not None:
                found[name] = delta
                limit -= len(delta.served)
        return TotalsDelta(self.totals.incarnation, self.totals.held(), found)

    def apply_delta(self, delta: TotalsDelta) -> None:
        """Merges the peer's rows and records the versions that it holds.

        A restarted peer has a new incarnation and has lost its rows: the
        versions recorded before are dropped, so that it gets all rows again.
        """
        if delta.sender == self.peer:
            for name, version in delta.held.items():
                known = self.peer_versions.get(name, 0)
                self.peer_versions[name] = max(known, version)
        else:
            self.peer = delta.sender
            self.peer_versions = dict(delta.held)
        for name, rows in delta.origins.items():
            self.totals.merge(name, rows)
        self.totals.update_recovery(delta.held)
