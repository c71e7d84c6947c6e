"""The data folder of a replica: write-ahead log, snapshots and identity."""

import fcntl
import io
import os
import secrets
import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

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
from marjoramyard.kernel.util.decoding import decode_json, shorten

logger = get_logger(__name__)

T = TypeVar("T")
FORMAT_VERSION = 1
_HEADER = struct.Struct("<II")
_MAX_RECORD_BYTES = 1 << 30
_OBJECT_START, _OBJECT_END = b"{}"


class StorageError(RuntimeError):
    """The data folder can't be used; the message names the remedy."""


class StorageLockedError(StorageError):
    """Another process has locked the data folder."""


class BatchRefusedError(OSError):
    """A batch could not be stored, and nothing of it is in the log."""


class Identity(msgspec.Struct):
    """The replica that a data folder belongs to.

    Attributes:
        format: The version of the storage format.
    """

    format: int
    cluster: str
    replica: ReplicaId


class WalRecord(msgspec.Struct, omit_defaults=True):
    """One batch of the write-ahead log, with one checksum.

    Attributes:
        hard: The hard state (term and vote), if it changed.
        base: Index and term of the snapshot that precedes the log file; only
            in a file's first record.
    """

    hard: HardState | None = None
    entries: list[LogEntry] = []
    base: tuple[int, int] | None = None


def encode_record(record: WalRecord) -> bytes:
    """Returns an encoded record, prefixed by its length and checksum."""
    payload = msgspec.json.encode(record)
    return _HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _read_record(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Reads the record at an offset.

    Returns:
        Its payload and the offset of the next record; None if no complete
        record with a valid checksum starts there.
    """
    if offset + _HEADER.size > len(data):
        return None
    size, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    end = start + size
    if size == 0 or size > _MAX_RECORD_BYTES or end > len(data):
        return None
    # Nothing is copied or summed unless it may be a JSON object: a torn end is
    # searched for records at each of its bytes.
    if data[start] != _OBJECT_START or data[end - 1] != _OBJECT_END:
        return None
    payload = data[start:end]
    if zlib.crc32(payload) != checksum:
        return None
    return payload, end


def _decode(data: bytes, kind: type[T], name: str) -> T:
    """Decodes what this host has stored.

    Raises:
        StorageError: It is not of this release.
    """
    try:
        return decode_json(data, kind)
    except msgspec.DecodeError as error:
        raise StorageError(
            f"{name}: can't be decoded ({shorten(str(error))}); run the "
            "release that wrote it, or replace the host with `marjoramctl "
            "cluster replace`"
        ) from error


def _has_record_after(data: bytes, offset: int) -> bool:
    return any(
        _read_record(data, position) is not None
        for position in range(offset + 1, len(data) - _HEADER.size)
    )


def read_records(data: bytes, name: str) -> tuple[list[WalRecord], int]:
    """Reads the records of a log file.

    An invalid record at the end is a torn write that was never acknowledged,
    and is ignored. An invalid record that is followed by a valid one was
    synced and damaged later; ignoring it would lose acknowledged entries.

    Args:
        data: The content of the file.
        name: The name of the file, for messages.

    Returns:
        The records and the length in bytes of the valid part.

    Raises:
        StorageError: A record before the last one is damaged.
    """
    records = []
    offset = 0
    while offset < len(data):
        found = _read_record(data, offset)
        if found is None:
            if _has_record_after(data, offset):
                raise StorageError(
                    f"{name}: damaged at byte {offset}, before valid "
                    "records; stop this host and replace it with "
                    "`marjoramctl cluster replace`"
                )
            logger.warning("torn_write_discarded", file=name, offset=offset)
            break
        payload, offset = found
        records.append(_decode(payload, WalRecord, name))
    return records, offset


def sync_directory(folder: Path) -> None:
    """Syncs the entries of a folder, so that renames survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(file: io.RawIOBase, data: bytes) -> None:
    """Writes to an unbuffered file and syncs it.

    A buffer would keep what a full disk has refused, and write it later.
    """
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]
    os.fsync(file.fileno())


def replace_file(path: Path, data: bytes) -> None:
    """Replaces a file atomically and syncs it.

    After a crash, the file has either its old or its new content.

    Raises:
        OSError: No temporary copy is left.
    """
    temporary = path.with_suffix(".tmp")
    try:
        with temporary.open("wb", buffering=0) as file:
            write_all(file, data)
        temporary.rename(path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    sync_directory(path.parent)


class Storage:
    """The data folder of one replica.

    Entries may be acknowledged once `append` has returned.

    Attributes:
        wal: The open log file (write-ahead log), if any.
        base_index: The index of the snapshot that precedes the log file.
        appended_bytes: The length of the log file without what was kept of
            the log before.
        bytes_written: Bytes appended since the start of the process.
        sync_count: Appends, each with a sync, since the start of the process.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.identity: Identity | None = None
        self.wal = None
        self.wal_path: Path | None = None
        self.base_index = 0
        self.appended_bytes = 0
        self.bytes_written = 0
        self.sync_count = 0

    # Identity.

    def load_identity(self) -> Identity | None:
        """Reads the identity; returns None if the folder is empty.

        Raises:
            StorageError: The identity is missing beside a log, or has another
                format.
        """
        path = self.folder / "identity.json"
        if not path.exists():
            if any(self.folder.glob("wal-*")):
                raise StorageError(
                    f"{self.folder}: contains a log but no identity.json; "
                    "restore the file, or empty the folder and replace the "
                    "host"
                )
            return None
        identity = _decode(path.read_bytes(), Identity, path.name)
        if identity.format != FORMAT_VERSION:
            raise StorageError(
                f"{self.folder}: format {identity.format} is not supported "
                f"by this release (format {FORMAT_VERSION}); run the release "
                "that wrote it"
            )
        self.identity = identity
        return identity

    def create_identity(self, cluster: str, replica: ReplicaId) -> None:
        """Stores the identity of a new replica in an empty folder.

        Raises:
            OSError: The folder is still empty.
        """
        identity = Identity(FORMAT_VERSION, cluster, replica)
        replace_file(
            self.folder / "identity.json", msgspec.json.encode(identity)
        )
        self.identity = identity

    # Reading.

    def load(self) -> StoredState:
        """Reads the stored state and opens the log for appending.

        Raises:
            StorageError: The snapshot or the log is damaged.
        """
        self._remove_unused()
        snapshot = self._load_snapshot()
        paths = sorted(self.folder.glob("wal-*.log"))
        if not paths:
            stored = StoredState(snapshot=snapshot)
            self._start_wal(stored)
            return stored
        path = paths[-1]
        data = path.read_bytes()
        records, valid_size = read_records(data, path.name)
        stored = self._replay(snapshot, records)
        self.base_index = self._base_of(records)
        self.appended_bytes = valid_size
        self.wal = path.open("r+b", buffering=0)
        self._truncate(valid_size)
        self.wal_path = path
        return stored

    def _remove_unused(self) -> None:
        """Removes temporary copies, and files that newer ones replace."""
        unused = list(self.folder.glob("*.tmp"))
        for pattern in ("snapshot-*.json", "wal-*.log"):
            unused += sorted(self.folder.glob(pattern))[:-1]
        try:
            # A newer file may have been renamed without a sync of the folder.
            sync_directory(self.folder)
            for path in unused:
                path.unlink()
        except OSError as error:
            logger.warning("unused_files_kept", error=str(error))

    def _load_snapshot(self) -> Snapshot:
        paths = sorted(self.folder.glob("snapshot-*.json"))
        if not paths:
            return Snapshot()
        found = _read_record(paths[-1].read_bytes(), 0)
        if found is None:
            raise StorageError(
                f"{paths[-1].name}: damaged; replace the host with "
                "`marjoramctl cluster replace`"
            )
        return _decode(found[0], Snapshot, paths[-1].name)

    @staticmethod
    def _base_of(records: list[WalRecord]) -> int:
        base = records[0].base if records else None
        return base[0] if base is not None else 0

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
            # A crash occurred after a snapshot was stored and before its log
            # file was. Entries that conflict with the snapshot are dropped.
            log.compact(snapshot)
        return StoredState(hard, snapshot, log.entries)

    # Writing.

    def append(self, hard: HardState | None, entries: list[LogEntry]) -> None:
        """Appends one batch to the log and syncs it.

        Raises:
            BatchRefusedError: Nothing of the batch is in the log.
            OSError: How much of the batch is on disk is unknown.
        """
        data = encode_record(WalRecord(hard, entries))
        end = self.wal.tell()
        try:
            write_all(self.wal, data)
        except OSError as error:
            self._truncate(end)
            raise BatchRefusedError(*error.args) from error
        self.bytes_written += len(data)
        self.appended_bytes += len(data)
        self.sync_count += 1

    def _truncate(self, size: int) -> None:
        self.wal.truncate(size)
        self.wal.seek(size)
        os.fsync(self.wal.fileno())

    def save_snapshot(
        self, snapshot: Snapshot, hard: HardState, entries: list[LogEntry]
    ) -> None:
        """Stores a snapshot and starts a log file after it.

        Args:
            snapshot: The snapshot; it replaces older ones.
            hard: The current hard state.
            entries: The log entries after the snapshot.
        """
        self.write_snapshot(snapshot)
        self.start_log(hard, snapshot, entries)

    def write_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot, which covers a part of the log from now on.

        Raises:
            OSError: The log and an earlier snapshot are as before.
        """
        payload = msgspec.json.encode(snapshot)
        header = _HEADER.pack(len(payload), zlib.crc32(payload))
        path = self.folder / f"snapshot-{snapshot.index:016d}.json"
        replace_file(path, header + payload)
        for old in sorted(self.folder.glob("snapshot-*.json"))[:-1]:
            old.unlink()

    def start_log(
        self, hard: HardState, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        """Replaces the log file by one that begins after a stored snapshot."""
        self._start_wal(StoredState(hard, snapshot, entries))

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
        self.wal = path.open("r+b", buffering=0)
        self.wal.seek(0, os.SEEK_END)
        self.wal_path = path
        self.base_index = stored.snapshot.index
        self.appended_bytes = 0
        for old in sorted(self.folder.glob("wal-*.log"))[:-1]:
            old.unlink()

    def check_writable(self) -> None:
        """Checks that files can be written and synced in the folder.

        Raises:
            OSError: They can't.
        """
        replace_file(self.folder / "probe", b"probe")

    def close(self) -> None:
        """Closes the log file."""
        if self.wal is not None:
            self.wal.close()
            self.wal = None


def new_replica_id(name: str) -> ReplicaId:
    """Returns a unique replica id for a host with an empty data folder."""
    return ReplicaId(f"{name}~{secrets.token_hex(4)}")


@contextmanager
def open_storage(folder: Path) -> Iterator[Storage]:
    """Opens a data folder and locks it for this process.

    Raises:
        StorageLockedError: Another process has locked the folder.
        OSError: The folder can't be used.
    """
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "lock").open("w") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise StorageLockedError(
                f"{folder}: locked by another process; stop that process first"
            ) from None
        storage = Storage(folder)
        try:
            yield storage
        finally:
            storage.close()
