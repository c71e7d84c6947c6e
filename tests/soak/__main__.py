"""Command line of the soak test: `scripts/soak --seeds 50`."""

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
from soak.plan import DEPLOYMENT, FleetSize
from soak.record import Record
from soak.run import run_seed

SEED_BOUND = 1_000_000


@click.command()
@click.option("--seeds", default=3, help="Number of seeds to run.")
@click.option("--first", type=int, help="First seed; random if omitted.")
@click.option("--seconds", default=20.0, help="Duration of the fault phase.")
@click.option("--jobs", default=1, help="Number of concurrent runs.")
@click.option(
    "--controls", default=3, help="Number of control hosts; must be odd."
)
@click.option("--gateways", default=3, help="Number of gateways.")
@click.option("--endpoints", default=4, help="Number of endpoints.")
@click.option("--callers", default=6, help="Number of concurrent callers.")
@click.option("--pressing", default=12, help="Number of callers that press on.")
@click.option(
    "--stops-only", is_flag=True, help="Stop processes; no other faults."
)
@click.option(
    "--deployment",
    is_flag=True,
    help="A deployment with 19 processes in three zones, and faults of many "
    "processes at once; replaces the numbers above.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Folder for the records and logs of failed seeds.",
)
def main(
    seeds: int,
    first: int | None,
    seconds: float,
    jobs: int,
    stops_only: bool,
    keep: Path | None,
    deployment: bool,
    **sizes: int,
) -> None:
    """Runs the fleet under random faults and checks its guarantees."""
    if first is None:
        first = random.randrange(SEED_BOUND)
    keep = keep or Path(tempfile.gettempdir()) / "marjoramyard-soak"
    seed_range = range(first, first + seeds)
    size = DEPLOYMENT if deployment else FleetSize(**sizes)
    runner = Runner(seconds, size, stops_only, keep)
    failed = asyncio.run(runner.run_all(seed_range, jobs))
    click.echo(f"{seeds - len(failed)} passed, {len(failed)} failed")
    if failed:
        click.echo(f"failed seeds: {failed}; records are in {keep}")
        sys.exit(1)


class Runner:
    """Runs seeds concurrently, up to a limit."""

    def __init__(
        self, seconds: float, size: FleetSize, stops_only: bool, keep: Path
    ):
        self.seconds = seconds
        self.size = size
        self.stops_only = stops_only
        self.keep = keep

    async def run_all(self, seeds: range, jobs: int) -> list[int]:
        """Returns the seeds that violated a guarantee or did not finish."""
        semaphore = asyncio.Semaphore(jobs)

        async def one(seed: int) -> bool:
            async with semaphore:
                return await self.run_one(seed)

        passed = await asyncio.gather(*(one(seed) for seed in seeds))
        return [s for s, ok in zip(seeds, passed, strict=True) if not ok]

    async def run_one(self, seed: int) -> bool:
        """Runs one seed and returns whether it passed.

        The record and the logs are kept only if it failed.
        """
        folder = self.keep / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        started_at = time.monotonic()
        try:
            record = await run_seed(
                seed, self.seconds, folder, self.size, self.stops_only
            )
        except Exception as error:  # noqa: BLE001 other seeds must still run
            click.echo(f"seed {seed}: run aborted: {error!r}")
            return False
        found = violations(record)
        elapsed = time.monotonic() - started_at
        click.echo(f"seed {seed}: {summary(record)}, {elapsed:.0f} s")
        for line in found[:10]:
            click.echo(f"  {line}")
        if found:
            text = msgspec.json.format(msgspec.json.encode(record), indent=1)
            (folder / "record.json").write_bytes(text)
            return False
        shutil.rmtree(folder, ignore_errors=True)
        return True


def summary(record: Record) -> str:
    """Returns a one-line summary of a run."""
    complete = sum(c.is_complete and c.status == 200 for c in record.calls)
    return (
        f"{len(record.calls)} calls, {complete} complete, "
        f"{len(record.exchanges)} raw exchanges, "
        f"{len(record.attempts)} attempts, "
        f"{len(record.config_changes)} config changes, "
        f"{len(record.fault_spans)} faults, "
        f"{len(record.shutdowns)} stops, "
        f"{len(record.own_ends)} ended by themselves, "
        f"{record.peak_memory / 1e6:.0f} MB of memory at most"
    )


if __name__ == "__main__":
    main()
