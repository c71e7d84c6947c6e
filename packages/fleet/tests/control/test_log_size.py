"""The size of the log, of the snapshot and of their temporary copies."""

import random

import pytest
from control_host import control_host
from result import Ok

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.control import storage as storage_module

DISK_MB = 4
SHARE_OF_DISK = 0.5
LARGE = 60_000
MIXES = {
    "small": [200],
    "large": [LARGE],
    "mixed": [LARGE, 200, 200, LARGE // 3, 200, LARGE],
}


def document(version, size):
    """Returns a configuration that compression makes hardly smaller."""
    text = random.Random(version).randbytes(size)
    return ConfigDocument(version, text)


class PeakSize:
    """The largest size of a folder that was seen after any step of a write."""

    def __init__(self, folder, monkeypatch):
        self.folder = folder
        self.bytes = 0
        for name in ("fsync", "unlink", "replace", "rename"):
            self.watch(monkeypatch, storage_module.os, name)

    def watch(self, monkeypatch, module, name):
        original = getattr(module, name)

        def watched(*arguments, **options):
            self.record()
            return original(*arguments, **options)

        monkeypatch.setattr(module, name, watched)

    def record(self):
        size = 0
        for path in self.folder.glob("*"):
            size += path.stat().st_size
        self.bytes = max(self.bytes, size)


async def put(host, versions, sizes):
    for version in versions:
        size = sizes[version % len(sizes)]
        result = await host.service.put_config(document(version, size))
        assert isinstance(result, Ok)


@pytest.mark.parametrize("mix", MIXES)
async def test_the_log_stays_within_its_share_of_the_disk(
    mix, tmp_path, monkeypatch
):
    """Guards against a log of whole configurations that fills the disk."""
    peak = PeakSize(tmp_path, monkeypatch)
    for first in (1, 101, 201):
        async with control_host(
            tmp_path, snapshot_every=100, disk_mb=DISK_MB
        ) as host:
            await put(host, range(first, first + 100), MIXES[mix])
            held = host.service.newest_config()
            assert held.version == first + 99
    assert peak.bytes <= SHARE_OF_DISK * DISK_MB * 1e6
