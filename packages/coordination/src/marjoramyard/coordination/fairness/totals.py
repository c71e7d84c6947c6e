"""Service totals that grow only, merged from every agent's counts."""

import msgspec

from marjoramyard.kernel.ids import Incarnation, WorkspaceId

DEFAULT_ROW_LIMIT = 400
RESTART_VERSION_GAP = 1_000_000
"""More changes than an agent makes between two exchanges."""
_DECIMALS = 1
"""A tenth of a token on the wire; the rest would only cost bytes."""


class OriginDelta(msgspec.Struct, array_like=True):
    """What a peer lacks of one origin's rows.

    Attributes:
        since: The origin's version that the rows start after.
        upto: The version that they lead to.
        served: Service by workspace so far.
        lifts: Lifts by workspace, in units per share.
    """

    since: int
    upto: int
    served: dict[WorkspaceId, float]
    lifts: dict[WorkspaceId, float] = {}


class TotalsDelta(msgspec.Struct, omit_defaults=True):
    """Rows that the peer lacks, and which rows we hold ourselves.

    Attributes:
        sender: The incarnation of the sending table.
        held: The version that we hold of each origin.
        origins: The changed rows by origin.
    """

    sender: Incarnation
    held: dict[Incarnation, int] = {}
    origins: dict[Incarnation, OriginDelta] = {}


class OriginRows:
    """All that is known of one origin's counts, newest change last."""

    def __init__(self):
        self.version = 0
        self.last_change_version = 0
        self.served: dict[WorkspaceId, float] = {}
        self.lifts: dict[WorkspaceId, float] = {}
        self.changed_at: dict[WorkspaceId, int] = {}

    def mark_changed(self, workspace: WorkspaceId, version: int) -> None:
        """Notes when a workspace's rows last changed.

        Re-inserting keeps the order of the last change, and versions never
        go back in that order, so that a walk from the end may stop early.
        """
        self.last_change_version = max(self.last_change_version, version)
        self.changed_at.pop(workspace, None)
        self.changed_at[workspace] = self.last_change_version

    def changes_since(self, since: int, limit: int) -> OriginDelta | None:
        """Returns rows changed since a version, oldest first.

        Rows that came in one message share a version and travel together,
        past the limit if need be: naming their version without some of
        them would tell the peer that it has these.
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
            kept = [w for w in found if self.changed_at[w] <= last]
            if len(kept) < len(found):
                found, upto = kept, last
        if upto <= since:
            return None
        served = {w: round(self.served.get(w, 0.0), _DECIMALS) for w in found}
        lifts = {w: self.lifts[w] for w in found if w in self.lifts}
        return OriginDelta(since, upto, served, lifts)


class Totals:
    """Every agent's counts of every workspace of one service.

    Each process writes only the rows under its own name, and a row only
    grows, so rows may be lost, repeated or reordered: the maximum of what
    arrived is right.

    A restarted agent has forgotten its rows, but its peers have not. It
    publishes nothing before it has learned them, then goes on from there.
    (A new name with each life would do too, but the names would pile up:
    a fleet whose agents restart daily would send more of them each day.)

    Attributes:
        me: The host's name, the same after a restart.
        life: The process's incarnation.
        step: A row of ours travels once it has grown by so much. With many
            agents each small growth would be a message to everybody; the
            fairness bound grows by a step for each agent.
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
        """Charges service to a workspace under our own incarnation."""
        self.sums[workspace] = self.sums.get(workspace, 0.0) + amount
        grown = self.unpublished.get(workspace, 0.0) + amount
        self.unpublished[workspace] = grown
        if self.is_recovered and grown >= self.step:
            self._publish(workspace)

    def _publish(self, workspace: WorkspaceId) -> None:
        grown = self.unpublished.pop(workspace)
        mine = self._origin(self.name)
        mine.version += 1
        mine.mark_changed(workspace, mine.version)
        mine.served[workspace] = mine.served.get(workspace, 0.0) + grown

    def update_recovery(self, held: dict[Incarnation, int]) -> None:
        """Notes that a peer answered, and what it holds of our last life.

        It sends those rows, perhaps in parts. Once all are here, our
        versions go on far behind them: other peers may hold later ones of
        our last life, and would take our new rows for rows that they have.
        """
        last = held.get(self.name, 0)
        mine = self.origins.get(self.name)
        if self.is_recovered or (mine.version if mine else 0) < last:
            return
        self.is_recovered = True
        if mine is not None and last:
            mine.version += RESTART_VERSION_GAP
        for workspace, grown in list(self.unpublished.items()):
            if grown >= self.step:
                self._publish(workspace)

    def lift(self, workspace: WorkspaceId, value: float) -> None:
        """Raises the workspace's lift to at least `value`."""
        if value <= self.lifts.get(workspace, 0.0):
            return
        mine = self._origin(self.name)
        mine.version += 1
        mine.mark_changed(workspace, mine.version)
        mine.lifts[workspace] = value
        self.lifts[workspace] = value

    def virtual_time(self, workspace: WorkspaceId, share: float) -> float:
        """Returns service per share, with the lift."""
        served = self.sums.get(workspace, 0.0) / share
        return served + self.lifts.get(workspace, 0.0)

    def merge(self, name: Incarnation, delta: OriginDelta) -> None:
        """Takes in another origin's rows.

        After a gap (rows in between were lost) the rows are good, but the
        version stays, so that what is missing is still asked for.
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
        """Takes back what we counted before we were restarted."""
        mine = self._origin(self.name)
        changed = self._merge_rows(mine, delta)
        if self.is_recovered:
            # A peer knew more of it than the one that we learned it from.
            mine.version += 1
        elif delta.since <= mine.version:
            mine.version = max(mine.version, delta.upto)
        for workspace in changed:
            mine.mark_changed(workspace, mine.version)

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
        """Returns the version that we hold of each origin."""
        return {
            name: rows.version
            for name, rows in self.origins.items()
            if rows.version
        }


class TotalsSync:
    """What one peer holds, by its own last word.

    The word is absolute, so a lost message costs nothing, and rows that the
    peer had from somebody else are not sent to it again.
    """

    def __init__(self, totals: Totals):
        self.totals = totals
        self.peer = Incarnation("")
        self.peer_versions: dict[Incarnation, int] = {}

    def make_delta(self, limit: int = DEFAULT_ROW_LIMIT) -> TotalsDelta:
        """Returns what the peer lacks; a repeat or a loss does no harm."""
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
        """Merges the peer's rows and learns what it holds.

        A restarted peer has a new incarnation and holds nothing: its word
        replaces what we knew, or it would never get the old rows again and
        compare workspaces as if nobody had been served.
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
