"""Child processes of a local fleet: started, signalled, waited for."""

import asyncio
import os
import random
import signal
import socket
import sys
from pathlib import Path

BINARIES = Path(sys.executable).parent
_STOP_SECONDS = 20.0
PORTS = range(12_000, 32_000)
"""Below what Linux uses for outgoing connections (32768 and up)."""
_RANDOM = random.SystemRandom()
"""Not the module's own: Hypothesis seeds that one, and test processes that
run side by side would draw the same ports."""
_PORTS_RETURNED: set[int] = set()
"""By `free_address`; they may not be bound yet."""


def free_address() -> str:
    """Returns a loopback address that is free, and stays so.

    A port that the system hands out is from the range that outgoing
    connections use as well. While the process that is to have it starts, or
    starts again after a kill, any connection can take it; the process then
    can't listen and ends, and a test waits for it in vain.
    """
    while True:
        port = _RANDOM.choice(PORTS)
        if port in _PORTS_RETURNED:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            _PORTS_RETURNED.add(port)
            return f"127.0.0.1:{port}"


class Child:
    """One process that we started; only its own id is ever signalled."""

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
        """Starts the process; its output goes to its log."""
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
        """Its process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends it a signal if it still runs."""
        if self.is_running:
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Stops it without its noticing."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets it go on."""
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Ends it as a crash would."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self, seconds: float = _STOP_SECONDS) -> int:
        """Asks it to stop and returns its exit code."""
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(seconds):
            return await self.process.wait()

    def cpu_seconds(self) -> float:
        """Returns the processor time it has used."""
        stat = Path(f"/proc/{self.pid}/stat").read_text(encoding="ascii")
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def rss_bytes(self) -> int:
        """Returns its resident memory."""
        statm = Path(f"/proc/{self.pid}/statm").read_text(encoding="ascii")
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def run_command(
    command: list[str], seconds: float = 60.0
) -> tuple[int, str, str]:
    """Runs a command to its end; returns exit code, output and errors."""
    process = await asyncio.create_subprocess_exec(
        *command,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(seconds):
            output, errors = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return process.returncode, output.decode(), errors.decode()
