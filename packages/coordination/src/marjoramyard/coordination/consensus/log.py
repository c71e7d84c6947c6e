"""The in-memory part of the replicated log."""

from marjoramyard.coordination.consensus.messages import LogEntry, Snapshot


class ReplicatedLog:
    """Log entries by index; entries up to the snapshot are compacted."""

    def __init__(self, snapshot: Snapshot, entries: list[LogEntry]):
        self.snapshot = snapshot
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if there is none."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in this log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def between(self, after: int, last: int) -> list[LogEntry]:
        """Returns the entries with `after < index <= last`."""
        start = after - self.snapshot.index
        return self.entries[start : last - self.snapshot.index]

    def append(self, entries: list[LogEntry]) -> None:
        """Appends entries, replacing any from the first new index onwards."""
        start = entries[0].index - self.snapshot.index - 1
        del self.entries[start:]
        self.entries += entries

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the entries up to the snapshot's index with the snapshot.

        The later entries are discarded too if the log holds a different
        term at that index, or does not reach it.
        """
        kept = self.between(snapshot.index, self.last_index)
        if self.term_at(snapshot.index) != snapshot.term:
            kept = []
        self.entries = kept
        self.snapshot = snapshot
