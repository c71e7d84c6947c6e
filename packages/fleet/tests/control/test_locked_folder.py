"""A data folder that another process has locked for a long time."""

import asyncio
import itertools
from contextlib import ExitStack
from types import SimpleNamespace

import pytest

from marjoramyard.fleet.control import data_folders
from marjoramyard.fleet.control.storage import (
    StorageLockedError,
    open_storage,
)

HOUR_SECONDS = 3600.0
ATTEMPTS = 3


async def test_a_locked_data_folder_is_waited_for_without_a_limit(
    tmp_path, monkeypatch
):
    """Guards against a control host that ends by itself, again at each start,
    while another process has its data folder.
    """
    attempts = itertools.count(1)
    hours = itertools.count(0.0, HOUR_SECONDS)

    def open_later(folder):
        if next(attempts) < ATTEMPTS:
            raise StorageLockedError("locked")
        return open_storage(folder)

    monkeypatch.setattr(data_folders, "open_storage", open_later)
    clock = SimpleNamespace(monotonic=hours.__next__)
    monkeypatch.setattr(data_folders, "time", clock, raising=False)
    with ExitStack() as stack:
        storage = await data_folders.open_when_unlocked(
            stack, tmp_path, asyncio.Event()
        )
        assert storage.load().entries == []
    assert next(attempts) == ATTEMPTS + 1


async def test_a_wait_for_a_data_folder_ends_with_the_process(tmp_path):
    """Guards against a control host that doesn't stop as it waits."""
    stopping = asyncio.Event()
    stopping.set()
    with ExitStack() as stack, open_storage(tmp_path):
        with pytest.raises(StorageLockedError):
            await data_folders.open_when_unlocked(stack, tmp_path, stopping)
