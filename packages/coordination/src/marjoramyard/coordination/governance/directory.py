"""The directory of announced processes: soft state of the leader."""

import msgspec

ROW_TTL_SECONDS = 12.0
"""A process that has not announced itself for so long is taken out."""


class DirectoryRow(msgspec.Struct, frozen=True):
    """One process of the fleet, as it announces itself.

    Attributes:
        incarnation: Its life.
        role: entry or agent.
        zone: Where it stands.
        address: Its internal address.
        service: What its endpoint serves, if it is an agent.
        state: ready, leaving, or gone.
        slots: How many requests its endpoint runs at once.
        endpoint: The endpoint's own name.
        checks_fencing: The endpoint refuses old fencing numbers.
    """

    incarnation: str
    role: str
    zone: str
    address: str
    service: str = ""
    state: str = "ready"
    slots: int = 0
    endpoint: str = ""
    checks_fencing: bool = False


class DirectoryUpdate(msgspec.Struct):
    """What a reader lacks.

    Attributes:
        epoch: The leader's life as such; another one starts from nothing.
        version: What the rows bring the reader to.
        rows: Changed rows; state "gone" takes one out.
        complete: Whether rows not named may be taken out after a new epoch.
    """

    epoch: str
    version: int
    rows: list[DirectoryRow]
    complete: bool


class Directory:
    """Rows in the order of their last change, so that readers get deltas."""

    def __init__(self, epoch: str, started_at: float):
        self.epoch = epoch
        self.started_at = started_at
        self.version = 0
        self.rows: dict[str, DirectoryRow] = {}
        self.versions: dict[str, int] = {}
        self.announced_at: dict[str, float] = {}

    def announce(self, row: DirectoryRow, now: float) -> bool:
        """Takes in a process's word; returns whether it changed anything."""
        self.announced_at[row.incarnation] = now
        if self.rows.get(row.incarnation) == row:
            return False
        self._put(row)
        return True

    def _put(self, row: DirectoryRow) -> None:
        self.version += 1
        # Re-inserting keeps the rows in the order of their last change.
        self.rows.pop(row.incarnation, None)
        self.rows[row.incarnation] = row
        self.versions[row.incarnation] = self.version

    def expire(self, now: float) -> bool:
        """Takes out silent processes; forgets those long gone."""
        changed = False
        for incarnation, heard_at in list(self.announced_at.items()):
            row = self.rows[incarnation]
            if heard_at + ROW_TTL_SECONDS > now:
                continue
            if row.state != "gone":
                self._put(msgspec.structs.replace(row, state="gone"))
                changed = True
            elif heard_at + 10 * ROW_TTL_SECONDS < now:
                del self.rows[incarnation]
                del self.versions[incarnation]
                del self.announced_at[incarnation]
        return changed

    def changes_since(
        self, epoch: str, version: int, now: float, role: str
    ) -> DirectoryUpdate:
        """Returns what changed since a reader's version."""
        since = version if epoch == self.epoch else 0
        found = []
        for incarnation in reversed(self.rows):
            if self.versions[incarnation] <= since:
                break
            if self.rows[incarnation].role == role:
                found.append(self.rows[incarnation])
        complete = now - self.started_at > ROW_TTL_SECONDS
        return DirectoryUpdate(self.epoch, self.version, found, complete)
