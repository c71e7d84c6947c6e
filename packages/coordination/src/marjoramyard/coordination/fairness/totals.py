"""Replicated totals of the service that workspaces received.

Service means work done for a workspace, in service units. The totals are a
state-based grow-only counter: each host is an origin, and its process writes
only the rows of that origin. A row holds the values of one workspace at one
origin. Rows are merged by maximum, so messages may be lost, repeated or
reordered.

A row has two values: the service that the workspace received, and its lift. The
lift is an offset of virtual time. It is raised when a workspace was idle, so
that it gains no credit, or when it lags by more than the credit limit.
"""

import msgspec

from marjoramyard.kernel.ids import Incarnation, WorkspaceId

DEFAULT_ROW_LIMIT = 400
RESTART_VERSION_GAP = 1_000_000
"""Added to the recovered version after a restart. Must exceed the number of
changes that the peer recovered from can have missed before the restart."""
_WIRE_DECIMALS = 1
"""Decimal places of service units in messages."""


class OriginDelta(msgspec.Struct, array_like=True):
    """Rows of one origin that changed between two versions.

    Attributes:
        since: Version of the origin before the changes.
        upto: Version of the origin after the changes.
        served: Cumulative service of the changed workspaces, in service
            units.
        lifts: Lifts of the changed workspaces that have one, in service units
            per share.
    """

    since: int
    upto: int
    served: dict[WorkspaceId, float]
    lifts: dict[WorkspaceId, float] = {}


class TotalsDelta(msgspec.Struct, omit_defaults=True):
    """Message with the rows that a peer lacks.

    Attributes:
        sender: Incarnation of the sending process.
        held: Version of each origin that the sender holds. Origins are typed
            as incarnations, but are named after their host.
        origins: Changed rows by origin.
    """

    sender: Incarnation
    held: dict[Incarnation, int] = {}
    origins: dict[Incarnation, OriginDelta] = {}


class OriginRows:
    """Rows of one origin, ordered by their last change.

    Attributes:
        version: The version up to which the rows are complete.
        last_change_version: The largest version of a row. It exceeds `version`
            if earlier rows are missing.
        served: Cumulative service by workspace, in service units.
        lifts: Lift by workspace, in service units per share.
        changed_at: Version of each row, in ascending order.
    """

    def __init__(self):
        self.version = 0
        self.last_change_version = 0
        self.served: dict[WorkspaceId, float] = {}
        self.lifts: dict[WorkspaceId, float] = {}
        self.changed_at: dict[WorkspaceId, int] = {}

    def mark_changed(self, workspace: WorkspaceId, version: int) -> None:
        """Records that a workspace's row changed at a version.

        The entry is inserted again at the end. A version below the last one is
        raised to it, so that `changed_at` stays sorted.
        """
        self.last_change_version = max(self.last_change_version, version)
        self.changed_at.pop(workspace, None)
        self.changed_at[workspace] = self.last_change_version

    def changes_since(self, since: int, limit: int) -> OriginDelta | None:
        """Returns the rows changed since a version, oldest first.

        Rows that arrived in one message share a version and are never split.
        Otherwise the receiver would record their version and never receive the
        rest.

        Args:
            since: Version that the receiver holds.
            limit: Number of rows after which the delta ends; exceeded by rows
                that share a version.

        Returns:
            The changed rows, or None if the receiver is up to date.
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
    """Work done for each workspace by the endpoints of one service.

    Origins are typed as incarnations, but are named after their host, so that
    restarts don't add origins. A restarted process first recovers its previous
    rows from a peer, and publishes no service until then.

    Attributes:
        name: Name of this process's origin, which survives restarts.
        incarnation: Incarnation of the process.
        publish_threshold: Service units by which a row must grow before it is
            published. A larger threshold saves messages, but each agent adds
            it once to the fairness bound.
        is_recovered: Whether the rows from before a restart were received, so
            that service may be published.
        unpublished: Service that is in `sums` but not yet in the own rows, by
            workspace.
        origins: The rows, by origin.
        sums: Service received from all origins, by workspace, including
            unpublished service.
        lifts: The largest lift of all origins, by workspace.
    """

    def __init__(
        self,
        name: str,
        incarnation: Incarnation | None = None,
        publish_threshold: float = 0.0,
    ):
        self.name = name
        self.incarnation = incarnation or name
        self.publish_threshold = publish_threshold
        self.is_recovered = False
        self.unpublished: dict[WorkspaceId, float] = {}
        self.origins: dict[Incarnation, OriginRows] = {}
        self.sums: dict[WorkspaceId, float] = {}
        self.lifts: dict[WorkspaceId, float] = {}

    def _get_or_create_rows(self, name: Incarnation) -> OriginRows:
        rows = self.origins.get(name)
        if rows is None:
            rows = self.origins[name] = OriginRows()
        return rows

    def add(self, workspace: WorkspaceId, amount: float) -> None:
        """Adds service received by a workspace, in service units.

        It counts in `sums` at once, and is published when the recovery has
        ended and the threshold is reached.
        """
        self.sums[workspace] = self.sums.get(workspace, 0.0) + amount
        growth = self.unpublished.get(workspace, 0.0) + amount
        self.unpublished[workspace] = growth
        if self.is_recovered and growth >= self.publish_threshold:
            self._publish(workspace)

    def _publish(self, workspace: WorkspaceId) -> None:
        """Moves a workspace's unpublished service to its own row."""
        growth = self.unpublished.pop(workspace)
        own = self._get_or_create_rows(self.name)
        own.version += 1
        own.mark_changed(workspace, own.version)
        own.served[workspace] = own.served.get(workspace, 0.0) + growth

    def update_recovery(self, held: dict[Incarnation, int]) -> None:
        """Ends the recovery if all own rows that a peer holds were received.

        Service counted since the restart is then published where it reaches the
        threshold. Other peers may hold later versions from before the restart,
        and would not be sent new rows with the same versions. New versions
        therefore start `RESTART_VERSION_GAP` above the recovered one.

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
            if growth >= self.publish_threshold:
                self._publish(workspace)

    def lift(self, workspace: WorkspaceId, value: float) -> None:
        """Raises a workspace's lift to at least `value` and publishes it.

        Args:
            workspace: The workspace.
            value: The lift, in service units per share.
        """
        if value <= self.lifts.get(workspace, 0.0):
            return
        own = self._get_or_create_rows(self.name)
        own.version += 1
        own.mark_changed(workspace, own.version)
        own.lifts[workspace] = value
        self.lifts[workspace] = value

    def virtual_time(self, workspace: WorkspaceId, share: float) -> float:
        """Returns a workspace's virtual time: service per share plus lift."""
        served = self.sums.get(workspace, 0.0) / share
        return served + self.lifts.get(workspace, 0.0)

    def merge(self, name: Incarnation, delta: OriginDelta) -> None:
        """Merges rows of an origin that a peer sent.

        If the version held is below `delta.since`, earlier rows are missing.
        The rows of the delta are merged, but the version is kept, so that peers
        send the missing ones.
        """
        if name == self.name:
            self._merge_own_rows(delta)
            return
        rows = self._get_or_create_rows(name)
        for workspace in self._merge_rows(rows, delta):
            rows.mark_changed(workspace, delta.upto)
        if delta.since <= rows.version:
            rows.version = max(rows.version, delta.upto)

    def _merge_own_rows(self, delta: OriginDelta) -> None:
        """Merges rows that this process published before a restart."""
        own = self._get_or_create_rows(self.name)
        changed = self._merge_rows(own, delta)
        if self.is_recovered:
            # The peer recovered from lacked these rows. They get a new version
            # so that other peers are sent them too.
            own.version += 1
        elif delta.since <= own.version:
            own.version = max(own.version, delta.upto)
        for workspace in changed:
            own.mark_changed(workspace, own.version)

    def _merge_rows(
        self, rows: OriginRows, delta: OriginDelta
    ) -> set[WorkspaceId]:
        """Merges rows by maximum.

        Returns:
            The workspaces whose rows changed.
        """
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
        """Returns the version held of each origin, without empty origins."""
        return {
            name: rows.version
            for name, rows in self.origins.items()
            if rows.version
        }


class TotalsSync:
    """Exchanges totals with one peer.

    Each message states all versions that its sender holds. Rows of a lost
    message are therefore sent again in the next one, and rows that the peer has
    received from others are not sent to it.

    Attributes:
        totals: The totals of this process.
        peer: Incarnation of the peer; empty before its first message.
        peer_versions: Version of each origin that the peer is known to hold.
    """

    def __init__(self, totals: Totals):
        self.totals = totals
        self.peer = Incarnation("")
        self.peer_versions: dict[Incarnation, int] = {}

    def make_delta(self, limit: int = DEFAULT_ROW_LIMIT) -> TotalsDelta:
        """Returns a message with the rows that the peer lacks.

        Args:
            limit: Number of rows after which the message ends; exceeded by rows
                that share a version. With 0 it has only the versions held.
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

        A restarted peer has a new incarnation and has lost its rows. The
        versions recorded for its previous incarnation are dropped, so that it
        is sent the rows again.
        """
        if delta.sender == self.peer:
            for name, version in delta.held.items():
                known = self.peer_versions.get(name, 0)
                self.peer_versions[name] = max(known, version)
        else:
            self.peer = delta.sender
            self.peer_versions = dict(delta.held)
        for name, origin_delta in delta.origins.items():
            self.totals.merge(name, origin_delta)
        self.totals.update_recovery(delta.held)
