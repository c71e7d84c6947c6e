"""Measures what acknowledging departures of many endpoints costs.

Three control hosts; the endpoints leave at one of them, spread over a second.

Run with PYTHONPATH=tests.
"""

import asyncio
import os
import statistics
import tempfile
import time
from pathlib import Path

import click
from control_hosts import control_hosts
from gateway_fleet import FakeEndpoint

SPREAD_SECONDS = 1.0
SETTLE_SECONDS = 1.0
"""Within this time changes have been announced to all control hosts."""
TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS


async def leave(fleet, name: str, delay: float) -> tuple[int, float]:
    """Returns the status of a departure, and how long it took in ms."""
    await asyncio.sleep(delay)
    url = f"http://{fleet.operator_addresses[0]}/registrations/{name}"
    started_at = time.monotonic()
    async with fleet.session.delete(url) as response:
        return response.status, (time.monotonic() - started_at) * 1000


async def measure(folder: Path, count: int) -> None:
    """Plays one trial and prints its row."""
    async with control_hosts(folder) as fleet:
        children = [fleet.child(number) for number in range(3)]
        names = [f"i-{number}" for number in range(count)]
        for name in names:
            await fleet.send_heartbeat(FakeEndpoint(name))
        await asyncio.sleep(SETTLE_SECONDS)
        used = [processor_seconds(child.process.pid) for child in children]
        began_at = time.monotonic()
        replies = await asyncio.gather(
            *(
                leave(fleet, name, SPREAD_SECONDS * number / count)
                for number, name in enumerate(names)
            )
        )
        await asyncio.sleep(SETTLE_SECONDS)
        seconds = time.monotonic() - began_at
        spent = [
            processor_seconds(child.process.pid) - before
            for child, before in zip(children, used, strict=True)
        ]
    times = sorted(ms for _, ms in replies)
    done = sum(status == 200 for status, _ in replies)
    percentiles = statistics.quantiles(times, n=100)
    print(
        f"{count} departures: {done} acknowledged at once,"
        f" p50 {percentiles[49]:.1f} ms, p99 {percentiles[98]:.1f} ms,"
        f" longest {times[-1]:.1f} ms; processor"
        f" {', '.join(f'{each:.2f}' for each in spent)} s in {seconds:.1f} s"
    )


@click.command()
@click.argument("counts", type=int, nargs=-1)
@click.option("--runs", default=1)
def main(counts: tuple[int, ...], runs: int) -> None:
    """Plays trials with so many departures each."""
    for _ in range(runs):
        for count in counts or (20, 300):
            with tempfile.TemporaryDirectory() as folder:
                asyncio.run(measure(Path(folder), count))


if __name__ == "__main__":
    main()
