"""Blocks of ports that only one process on this host uses."""

import fcntl
import os
import random
import tempfile
from pathlib import Path

BLOCK_SIZE = 500
_FOLDER = "marjoramyard-ports"


class PortBlocks:
    """Claims blocks of ports, by locks that end with the process.

    A port that was only found free may be drawn by another process too, until
    one of them listens on it.

    Attributes:
        ports: All ports that may be claimed.
        claimed: The ports that this process may use.
        locks: The descriptors of the lock files.
    """

    def __init__(self, ports: range):
        self.ports = ports
        self.claimed: list[int] = []
        self.locks: list[int] = []

    def claim(self) -> None:
        """Claims another block.

        Raises:
            RuntimeError: All blocks are claimed by running processes.
        """
        folder = Path(tempfile.gettempdir()) / _FOLDER
        folder.mkdir(exist_ok=True)
        starts = list(range(self.ports.start, self.ports.stop, BLOCK_SIZE))
        random.SystemRandom().shuffle(starts)
        for start in starts:
            if start not in self.claimed and self._lock(folder / str(start)):
                block = range(start, min(start + BLOCK_SIZE, self.ports.stop))
                self.claimed += block
                return
        raise RuntimeError(
            f"all ports of {folder} are in use; end other test runs"
        )

    def _lock(self, path: Path) -> bool:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self.locks.append(descriptor)
        return True
