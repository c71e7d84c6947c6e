"""The data folder: torn writes, damage, locking and snapshots."""

import errno
import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from odd_json import NESTED

from marjoramyard.coordination.consensus.messages import (
    EntryKind,
    HardState,
    LogEntry,
    Snapshot,
)
from marjoramyard.fleet.control import storage as storage_module
from marjoramyard.fleet.control.storage import (
    StorageError,
    WalRecord,
    encode_record,
    open_storage,
    read_records,
)


def entry(index, term=1):
    return LogEntry(index, term, EntryKind.COMMAND, f"value-{index}")


def fill(folder, count):
    with open_storage(folder) as storage:
        storage.load()
        for index in range(1, count + 1):
            storage.append(HardState(1, "a"), [entry(index)])
        return storage.wal_path


def reload(folder):
    with open_storage(folder) as storage:
        return storage.load()


def test_what_was_written_is_read_again(tmp_path):
    fill(tmp_path, 3)
    stored = reload(tmp_path)
    assert [e.index for e in stored.entries] == [1, 2, 3]
    assert stored.hard == HardState(1, "a")


@given(st.integers(1, 400))
def test_a_torn_write_is_discarded_and_complete_records_are_kept(cut):
    """Guards against a power failure that loses acknowledged batches."""
    records = [WalRecord(entries=[entry(n)]) for n in range(1, 6)]
    data = b"".join(encode_record(record) for record in records)
    cut = min(cut, len(data))
    ends, end = [], 0
    for record in records:
        end += len(encode_record(record))
        ends.append(end)
    found, valid_size = read_records(data[:-cut], "wal")
    complete = [end for end in ends if end <= len(data) - cut]
    assert len(found) == len(complete)
    assert valid_size == (complete[-1] if complete else 0)


class CountedBytes(bytes):
    """Counts the bytes that are copied out of it."""

    copied = 0

    def __getitem__(self, key):
        part = super().__getitem__(key)
        if isinstance(key, slice):
            self.copied += len(part)
        return part


@pytest.mark.parametrize("torn", [b"QUJD", b"\0", b"{", b"\x10\x27\0\0"])
def test_reading_over_a_torn_end_copies_no_more_than_the_log(torn):
    """Guards against a start that takes time by the square of the torn end."""
    record = encode_record(WalRecord(entries=[entry(1)]))
    data = CountedBytes(record + torn * (20_000 // len(torn)))
    records, valid_size = read_records(data, "wal")
    assert (len(records), valid_size) == (1, len(record))
    assert data.copied <= len(data)


def test_a_torn_write_does_not_damage_later_records(tmp_path):
    path = fill(tmp_path, 3)
    path.write_bytes(path.read_bytes()[:-5])
    with open_storage(tmp_path) as storage:
        assert len(storage.load().entries) == 2
        storage.append(None, [entry(3, term=2)])
    assert [e.term for e in reload(tmp_path).entries] == [1, 1, 2]


def test_damage_before_valid_records_is_refused_with_the_remedy(tmp_path):
    """Guards against a damaged sector that silently drops later entries."""
    path = fill(tmp_path, 5)
    data = bytearray(path.read_bytes())
    position = data.find(b"value-2")
    data[position] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StorageError, match="cluster replace"):
        reload(tmp_path)


def test_a_second_process_is_refused(tmp_path):
    with open_storage(tmp_path):
        with pytest.raises(StorageError, match="another process"):
            with open_storage(tmp_path):
                pass


def test_a_snapshot_replaces_the_entries_it_covers(tmp_path):
    fill(tmp_path, 5)
    with open_storage(tmp_path) as storage:
        stored = storage.load()
        snapshot = Snapshot(4, 1, data="state")
        storage.save_snapshot(snapshot, stored.hard, stored.entries[4:])
        storage.append(None, [entry(6)])
    stored = reload(tmp_path)
    assert stored.snapshot == snapshot
    assert [e.index for e in stored.entries] == [5, 6]
    assert len(list(tmp_path.glob("wal-*"))) == 1


def test_a_crash_between_snapshot_and_log_loses_nothing(tmp_path):
    """The snapshot has been stored, the log file after it has not."""
    fill(tmp_path, 5)
    with open_storage(tmp_path) as storage:
        stored = storage.load()
        storage._start_wal = lambda _: None
        snapshot = Snapshot(3, 1, data="state")
        storage.save_snapshot(snapshot, stored.hard, stored.entries[3:])
    stored = reload(tmp_path)
    assert stored.snapshot.index == 3
    assert [e.index for e in stored.entries] == [4, 5]


def test_entries_that_conflict_with_an_installed_snapshot_are_dropped(
    tmp_path,
):
    """The leader's snapshot is of a later term than the stored entries."""
    fill(tmp_path, 5)
    with open_storage(tmp_path) as storage:
        storage.load()
        storage._start_wal = lambda _: None
        storage.save_snapshot(Snapshot(3, 7, data="state"), HardState(7), [])
    assert reload(tmp_path).entries == []


def test_a_log_without_its_identity_is_refused(tmp_path):
    """Guards against votes from a data folder that was restored in part."""
    fill(tmp_path, 1)
    with open_storage(tmp_path) as storage:
        with pytest.raises(StorageError, match=r"identity\.json"):
            storage.load_identity()


def test_a_folder_of_another_format_is_refused(tmp_path):
    with open_storage(tmp_path) as storage:
        storage.create_identity("cluster", "a~1")
        path = tmp_path / "identity.json"
        path.write_text(path.read_text().replace('"format":1', '"format":9'))
        with pytest.raises(StorageError, match="format 9"):
            storage.load_identity()


def names_in(folder):
    return {path.name.partition("-")[0] for path in folder.glob("*")}


def test_a_failed_write_leaves_no_temporary_copy(tmp_path, monkeypatch):
    """Guards against a full disk that stays full by a copy nobody reads."""
    fill(tmp_path, 2)

    def full(_):
        raise OSError(errno.ENOSPC, "no space left")

    with open_storage(tmp_path) as storage:
        stored = storage.load()
        with monkeypatch.context() as patched:
            patched.setattr(storage_module.os, "fsync", full)
            with pytest.raises(OSError, match="no space"):
                storage.save_snapshot(Snapshot(2, 1), stored.hard, [])
    assert names_in(tmp_path) == {"lock", "wal"}
    assert len(reload(tmp_path).entries) == 2


def test_a_start_removes_what_an_interrupted_write_has_left(tmp_path):
    """Guards against copies that add up with each kill during a compaction."""
    path = fill(tmp_path, 5)
    with open_storage(tmp_path) as storage:
        stored = storage.load()
        for index in (3, 4):
            snapshot = Snapshot(index, 1, data="state")
            storage.save_snapshot(snapshot, stored.hard, stored.entries[index:])
            (tmp_path / f"snapshot-{index + 5:016d}.tmp").write_bytes(b"part")
    path.write_bytes(b"")
    (tmp_path / "snapshot-0000000000000003.json").write_bytes(b"older")
    stored = reload(tmp_path)
    assert (stored.snapshot.index, len(stored.entries)) == (4, 1)
    assert sorted(name.name for name in tmp_path.glob("*")) == [
        "lock",
        "snapshot-0000000000000004.json",
        "wal-0000000000000003.log",
    ]


@pytest.mark.parametrize("payload", [b'{"hard":7}', b'{"x":' + NESTED + b"}"])
def test_a_record_of_another_release_is_refused_with_the_remedy(payload):
    """Guards against hosts that end at their log without saying why."""
    record = struct.pack("<II", len(payload), zlib.crc32(payload)) + payload
    with pytest.raises(StorageError, match="release that wrote it"):
        read_records(record, "wal")
