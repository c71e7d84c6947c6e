"""Child processes of a local fleet, and free ports for them."""

import asyncio
import os
import random
import signal
import socket
import sys
from pathlib import Path

from marjoramyard.standin.port_blocks import PortBlocks

BINARIES = Path(sys.executable).parent
_TERMINATE_TIMEOUT_SECONDS = 20.0
PORTS = range(12_000, 32_000)
"""Below the default ephemeral port range of Linux, which starts at 32768."""
_RANDOM = random.SystemRandom()
"""Separate from the global generator, which Hypothesis seeds: parallel test
processes would otherwise draw the same ports."""
_PORTS_RETURNED: set[int] = set()
"""By `free_address`; they may not be bound yet."""
_BLOCKS = PortBlocks(PORTS)
_MAX_USE = 0.8
"""Share of the claimed ports to return; others may be in use."""


def free_address(consecutive: int = 1) -> str:
    """Returns a free loopback address outside the ephemeral port range.

    No other process on this host gets the same one.

    A port assigned by the kernel could be taken by an outgoing connection
    while the process that should listen on it starts or restarts.

    Args:
        consecutive: How many ports from the returned one on are reserved.
    """
    while True:
        if len(_PORTS_RETURNED) >= _MAX_USE * len(_BLOCKS.claimed):
            _BLOCKS.claim()
        for _ in range(len(_BLOCKS.claimed)):
            first = _RANDOM.choice(_BLOCKS.claimed)
            ports = range(first, first + consecutive)
            is_claimed = all(port in _BLOCKS.claimed for port in ports)
            if is_claimed and all(_is_free(port) for port in ports):
                _PORTS_RETURNED.update(ports)
                return f"127.0.0.1:{first}"
        _BLOCKS.claim()


def _is_free(port: int) -> bool:
    if port in _PORTS_RETURNED:
        return False
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class ChildProcess:
    """A child process whose output is appended to a log file."""

    def __init__(
        self,
        name: str,
        command: list[str],
        log: Path,
        extra_env: dict[str, str] | None = None,
    ):
        self.name = name
        self.command = command
        self.log = log
        self.env = {**os.environ, **(extra_env or {})}
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with its output appended to the log file."""
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=self.env,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal if the process is running."""
        if self.is_running:
            self.process.send_signal(number)

    def suspend(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended process."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(
        self, seconds: float = _TERMINATE_TIMEOUT_SECONDS
    ) -> int:
        """Sends SIGTERM and returns the exit code.

        Raises:
            TimeoutError: The process did not exit within `seconds`.
        """
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(seconds):
            return await self.process.wait()

    def cpu_seconds(self) -> float:
        """Returns the CPU time used so far, user and system."""
        stat = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Returns the resident set size in bytes."""
        statm = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def run_command(
    command: list[str], seconds: float = 60.0
) -> tuple[int, str, str]:
    """Runs a command and returns its exit code, stdout and stderr.

    Raises:
        TimeoutError: It did not end within `seconds`; it was killed.
    """
    process = await asyncio.create_subprocess_exec(
        *command,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(seconds):
            stdout, stderr = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return process.returncode, stdout.decode(), stderr.decode()
