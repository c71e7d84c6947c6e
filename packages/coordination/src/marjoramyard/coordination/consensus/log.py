"""The in-memory part of the replicated log."""

from itertools import accumulate

from marjoramyard.coordination.consensus.messages import LogEntry, Snapshot


class ReplicatedLog:
    """Log entries by index; entries up to the snapshot are compacted.

    Attributes:
        ends: For each entry, the total size of the entries up to it.
    """

    def __init__(self, snapshot: Snapshot, entries: list[LogEntry]):
        self.snapshot = snapshot
        self.entries: list[LogEntry] = []
        self.ends: list[int] = []
        self._extend(entries)

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

    def size_between(self, after: int, last: int) -> int:
        """Returns the size of the entries with `after < index <= last`.

        The sum of the lengths of their data; compacted entries count nothing.
        """
        return max(0, self._end_at(last) - self._end_at(after))

    def _end_at(self, index: int) -> int:
        position = min(index - self.snapshot.index, len(self.ends))
        return self.ends[position - 1] if position > 0 else 0

    def append(self, entries: list[LogEntry]) -> None:
        """Appends entries, replacing any from the first new index onwards."""
        self.truncate(entries[0].index - 1)
        self._extend(entries)

    def _extend(self, entries: list[LogEntry]) -> None:
        size = self.ends[-1] if self.ends else 0
        self.entries += entries
        sizes = (len(entry.data) for entry in entries)
        self.ends += list(accumulate(sizes, initial=size))[1:]

    def truncate(self, last: int) -> None:
        """Removes the entries after an index."""
        del self.entries[last - self.snapshot.index :]
        del self.ends[last - self.snapshot.index :]

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the entries up to the snapshot's index with the snapshot.

        The later entries are discarded too if the log holds a different
        term at that index, or does not reach it.
        """
        kept = self.between(snapshot.index, self.last_index)
        if self.term_at(snapshot.index) != snapshot.term:
            kept = []
        self.snapshot = snapshot
        self.entries = []
        self.ends = []
        self._extend(kept)
