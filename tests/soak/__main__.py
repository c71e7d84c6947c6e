"""Runs the soak by hand: `scripts/soak --seeds 50`."""

import asyncio
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import click
import msgspec

from soak.checks import violations
from soak.plan import Size
from soak.record import Record
from soak.run import soak

SEED_BOUND = 1_000_000


@click.command()
@click.option("--seeds", default=3, help="How many seeds to run.")
@click.option("--first", type=int, help="The first seed; else a fresh one.")
@click.option("--seconds", default=20.0, help="How long faults strike.")
@click.option("--jobs", default=1, help="How many runs at a time.")
@click.option("--controls", default=3, help="Control hosts, an odd number.")
@click.option("--gateways", default=3, help="Gateways.")
@click.option("--endpoints", default=4, help="Endpoints.")
@click.option("--callers", default=6, help="Callers.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Where records and logs of failed seeds go.",
)
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    jobs: int,
    keep: Path | None,
    **sizes: int,
) -> None:
    """Plays seeds against the real programs and checks the promises."""
    if first is None:
        first = random.randrange(SEED_BOUND)
    keep = keep or Path(tempfile.gettempdir()) / "marjoramyard-soak"
    wanted = range(first, first + seeds)
    runner = Runner(seconds, Size(**sizes), keep)
    failed = asyncio.run(runner.run_all(wanted, jobs))
    click.echo(f"{seeds - len(failed)} passed, {len(failed)} failed")
    if failed:
        click.echo(f"failed seeds: {failed}; kept in {keep}")
        sys.exit(1)


class Runner:
    """Plays seeds, some at a time."""

    def __init__(self, seconds: float, size: Size, keep: Path):
        self.seconds = seconds
        self.size = size
        self.keep = keep

    async def run_all(self, seeds: range, jobs: int) -> list[int]:
        """Returns the seeds that broke a promise."""
        gate = asyncio.Semaphore(jobs)

        async def one(seed: int) -> bool:
            async with gate:
                return await self.run_one(seed)

        passed = await asyncio.gather(*(one(seed) for seed in seeds))
        return [s for s, ok in zip(seeds, passed, strict=True) if not ok]

    async def run_one(self, seed: int) -> bool:
        """Plays one seed; keeps its record and logs if it fails."""
        folder = self.keep / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        began = time.monotonic()
        try:
            record = await soak(seed, self.seconds, folder, self.size)
        except Exception as error:  # noqa: BLE001 one seed, the others go on
            click.echo(f"seed {seed}: did not run: {error!r}")
            return False
        broken = violations(record)
        took = time.monotonic() - began
        click.echo(f"seed {seed}: {summary(record)}, {took:.0f} s")
        for line in broken[:10]:
            click.echo(f"  {line}")
        if broken:
            text = msgspec.json.format(msgspec.json.encode(record), indent=1)
            (folder / "record.json").write_bytes(text)
            return False
        shutil.rmtree(folder, ignore_errors=True)
        return True


def summary(record: Record) -> str:
    """Returns what happened, in a line."""
    whole = sum(c.is_whole and c.status == 200 for c in record.calls)
    return (
        f"{len(record.calls)} calls, {whole} whole, {len(record.runs)} runs, "
        f"{len(record.orders)} changes, {len(record.spans)} faults"
    )


if __name__ == "__main__":
    main()
