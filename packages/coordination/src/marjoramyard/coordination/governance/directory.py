"""The directory of announced processes, kept in the leader's memory."""

import msgspec

ROW_TTL_SECONDS = 12.0
"""How long a process stays in the directory without an announcement."""


class DirectoryRow(msgspec.Struct, frozen=True):
    """One process of the fleet, as it announces itself.

    Attributes:
        incarnation: The unique ID of this run of the process.
        role: entry or agent.
        zone: The availability zone.
        address: The internal address.
        service: The service of the endpoint, for an agent.
        state: ready, leaving, down (an agent whose endpoint is not ready),
            or gone.
        slots: The number of requests that the endpoint runs concurrently.
        endpoint: The name of the endpoint.
        checks_fencing: Whether the endpoint rejects stale fencing numbers.
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
    """The changes since a reader's version.

    Attributes:
        epoch: The leadership period; versions restart with each epoch.
        version: The reader's version after applying the rows.
        rows: The changed rows; one with state "gone" is to be removed.
        complete: Whether a reader may remove the rows that are not listed
            after a change of epoch.
    """

    epoch: str
    version: int
    rows: list[DirectoryRow]
    complete: bool


class Directory:
    """Directory rows in the order of their last change."""

    def __init__(self, epoch: str, started_at: float):
        self.epoch = epoch
        self.started_at = started_at
        self.version = 0
        self.rows: dict[str, DirectoryRow] = {}
        self.versions: dict[str, int] = {}
        self.announced_at: dict[str, float] = {}

    def announce(self, row: DirectoryRow, now: float) -> bool:
        """Records an announcement; returns whether it changed the row."""
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
        """Marks unresponsive processes as gone and later deletes their rows.

        Returns:
            Whether a row was marked as gone.
        """
        changed = False
        for incarnation, announced_at in list(self.announced_at.items()):
            row = self.rows[incarnation]
            if announced_at + ROW_TTL_SECONDS > now:
                continue
            if row.state != "gone":
                self._put(msgspec.structs.replace(row, state="gone"))
                changed = True
            elif announced_at + 10 * ROW_TTL_SECONDS < now:
                del self.rows[incarnation]
                del self.versions[incarnation]
                del self.announced_at[incarnation]
        return changed

    def changes_since(
        self, epoch: str, version: int, now: float, role: str
    ) -> DirectoryUpdate:
        """Returns the rows of a role that changed since a reader's version."""
        since = version if epoch == self.epoch else 0
        changed_rows = []
        for incarnation in reversed(self.rows):
            if self.versions[incarnation] <= since:
                break
            if self.rows[incarnation].role == role:
                changed_rows.append(self.rows[incarnation])
        complete = now - self.started_at > ROW_TTL_SECONDS
        return DirectoryUpdate(self.epoch, self.version, changed_rows, complete)
