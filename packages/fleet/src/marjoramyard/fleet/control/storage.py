"""The data folder: checksummed, synced records and snapshots."""

import fcntl
import os
import secrets
import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from marjoramyard.coordination.consensus.log import ReplicatedLog
from marjoramyard.coordination.consensus.messages import (
    HardState,
    LogEntry,
    Snapshot,
    StoredState,
)
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

FORMAT_VERSION = 1
_HEADER = struct.Struct("<II")
_MAX_RECORD = 1 << 30


class StorageError(RuntimeError):
    """The folder can't be used; the message says why and what to do."""


class Identity(msgspec.Struct):
    """Whose folder it is."""

    format: int
    cluster: str
    replica: ReplicaId


class WalRecord(msgspec.Struct, omit_defaults=True):
    """One batch; it is written and checked as a whole.

    Attributes:
        base: In a file's first record: the snapshot it goes on from.
    """

    hard: HardState | None = None
    entries: list[LogEntry] = []
    base: tuple[int, int] | None = None


def encode_record(record: WalRecord) -> bytes:
    """Returns a record with its length and checksum before it."""
    payload = msgspec.json.encode(record)
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _record_at(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Returns the payload at an offset and where the next record starts."""
    if offset + _HEADER.size > len(data):
        return None
    size, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    payload = data[start : start + size]
    if size == 0 or size > _MAX_RECORD or len(payload) < size:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    return payload, start + size


def _has_record_after(data: bytes, offset: int) -> bool:
    return any(
        _record_at(data, place) is not None
        for place in range(offset + 1, len(data) - _HEADER.size)
    )


def read_records(data: bytes, name: str) -> tuple[list[WalRecord], int]:
    """Reads all records and returns them with the length that is good.

    A batch is one record and was acknowledged only once it was synced, so
    a broken record at the very end is a torn write that nobody relies on.
    A broken record with a good one behind it was synced and then damaged:
    going on would lose acknowledged entries.

    Raises:
        StorageError: A record in the middle is damaged.
    """
    records = []
    offset = 0
    while offset < len(data):
        found = _record_at(data, offset)
        if found is None:
            if _has_record_after(data, offset):
                raise StorageError(
                    f"{name}: damaged at byte {offset}, with good records "
                    "behind it; take the host out and replace it with "
                    "`marjoramctl cluster replace`"
                )
            logger.warning("torn_tail_cut", file=name, offset=offset)
            break
        payload, offset = found
        records.append(msgspec.json.decode(payload, type=WalRecord))
    return records, offset


def sync_directory(folder: Path) -> None:
    """Makes renames and removals in a folder last."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def replace_file(path: Path, data: bytes) -> None:
    """Replaces a file so that a crash leaves the old or the new one."""
    temporary = path.with_suffix(".tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    sync_directory(path.parent)


class Storage:
    """One replica's folder. Nothing is acknowledged before `write` is back."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.identity: Identity | None = None
        self.wal = None
        self.wal_path: Path | None = None
        self.bytes_written = 0
        self.sync_count = 0

    # Identity.

    def load_identity(self) -> Identity | None:
        """Reads whose folder it is; None if it is empty."""
        path = self.folder / "identity.json"
        if not path.exists():
            if any(self.folder.glob("wal-*")):
                raise StorageError(
                    f"{self.folder}: has a log but no identity.json; restore "
                    "it, or empty the folder and replace the host"
                )
            return None
        identity = msgspec.json.decode(path.read_bytes(), type=Identity)
        if identity.format != FORMAT_VERSION:
            raise StorageError(
                f"{self.folder}: format {identity.format} is not of this "
                f"release ({FORMAT_VERSION}); run the release that wrote it"
            )
        self.identity = identity
        return identity

    def create_identity(self, cluster: str, replica: ReplicaId) -> None:
        """Makes the folder a replica's own."""
        self.identity = Identity(FORMAT_VERSION, cluster, replica)
        replace_file(
            self.folder / "identity.json", msgspec.json.encode(self.identity)
        )

    # Reading.

    def load(self) -> StoredState:
        """Reads the stored state and opens the log for writing."""
        snapshot = self._load_snapshot()
        paths = sorted(self.folder.glob("wal-*.log"))
        if not paths:
            stored = StoredState(snapshot=snapshot)
            self._start_wal(stored)
            return stored
        path = paths[-1]
        data = path.read_bytes()
        records, good = read_records(data, path.name)
        stored = self._replay(snapshot, records)
        self.wal = path.open("r+b")
        self.wal.truncate(good)
        self.wal.seek(good)
        os.fsync(self.wal.fileno())
        self.wal_path = path
        return stored

    def _load_snapshot(self) -> Snapshot:
        paths = sorted(self.folder.glob("snapshot-*.json"))
        if not paths:
            return Snapshot()
        found = _record_at(paths[-1].read_bytes(), 0)
        if found is None:
            raise StorageError(
                f"{paths[-1].name}: damaged; replace the host with "
                "`marjoramctl cluster replace`"
            )
        return msgspec.json.decode(found[0], type=Snapshot)

    @staticmethod
    def _replay(snapshot: Snapshot, records: list[WalRecord]) -> StoredState:
        hard = HardState()
        log = ReplicatedLog(Snapshot(), [])
        for record in records:
            if record.base is not None:
                log = ReplicatedLog(Snapshot(*record.base), [])
            hard = record.hard or hard
            if record.entries:
                log.append(record.entries)
        if log.snapshot.index < snapshot.index:
            # A crash came between a snapshot and the log file that goes on
            # from it. Entries of another line of history are dropped.
            log.compact(snapshot)
        return StoredState(hard, snapshot, log.entries)

    # Writing.

    def append(self, hard: HardState | None, entries: list[LogEntry]) -> None:
        """Appends one batch and syncs it."""
        data = encode_record(WalRecord(hard, entries))
        self.wal.write(data)
        self.wal.flush()
        os.fsync(self.wal.fileno())
        self.bytes_written += len(data)
        self.sync_count += 1

    def save_snapshot(
        self, snapshot: Snapshot, hard: HardState, entries: list[LogEntry]
    ) -> None:
        """Stores a snapshot, then a log file that goes on from it."""
        payload = msgspec.json.encode(snapshot)
        header = _HEADER.pack(len(payload), zlib.crc32(payload))
        path = self.folder / f"snapshot-{snapshot.index:016d}.json"
        replace_file(path, header + payload)
        self._start_wal(StoredState(hard, snapshot, entries))
        for old in sorted(self.folder.glob("snapshot-*.json"))[:-1]:
            old.unlink()

    def _start_wal(self, stored: StoredState) -> None:
        number = 1
        if self.wal_path is not None:
            number = int(self.wal_path.stem.partition("-")[2]) + 1
        base = (stored.snapshot.index, stored.snapshot.term)
        record = WalRecord(stored.hard, stored.entries, base)
        path = self.folder / f"wal-{number:016d}.log"
        replace_file(path, encode_record(record))
        if self.wal is not None:
            self.wal.close()
        self.wal = path.open("r+b")
        self.wal.seek(0, os.SEEK_END)
        self.wal_path = path
        for old in sorted(self.folder.glob("wal-*.log"))[:-1]:
            old.unlink()

    def check_writable(self) -> None:
        """Checks that the folder takes writes.

        Raises:
            OSError: It does not.
        """
        replace_file(self.folder / "probe", b"probe")

    def close(self) -> None:
        """Closes the log file."""
        if self.wal is not None:
            self.wal.close()
            self.wal = None


def new_replica_id(name: str) -> ReplicaId:
    """Returns an id for a folder that was empty until now."""
    return ReplicaId(f"{name}~{secrets.token_hex(4)}")


@contextmanager
def open_storage(folder: Path) -> Iterator[Storage]:
    """Owns a data folder; a second process is turned away.

    Raises:
        StorageError: Another process has the folder.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "lock").open("w") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            raise StorageError(
                f"{folder}: another process uses it; stop that one first"
            ) from None
        storage = Storage(folder)
        try:
            yield storage
        finally:
            storage.close()
