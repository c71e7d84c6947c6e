"""Measures what a request that crashes endpoints costs the other callers.

Three endpoints end 50 ms into one request and come back after 0.7 s. It is sent
again and again, beside six other callers. `--popular` lets endpoints crash in
turn for another reason while all callers send the same request.

Run with PYTHONPATH=tests.
"""

import asyncio
import collections
import itertools
import tempfile
import time
from pathlib import Path

import click
from crashing_endpoints import sends_after_third_end
from test_crashing_requests import (
    NOTICE_SECONDS,
    fleet_with_endpoints,
    send_to_all,
)

CRASH_INTERVAL_SECONDS = 1.2


async def crash_in_turn(endpoints, until):
    """Crashes one endpoint after the other until a time."""
    for endpoint in itertools.cycle(endpoints):
        if time.monotonic() > until:
            return
        await endpoint.crash()
        await asyncio.sleep(CRASH_INTERVAL_SECONDS / 2)


async def measure(
    folder, service, seconds, popular, beside, gap, restarts
) -> None:
    """Plays one trial and prints its row."""
    async with fleet_with_endpoints(folder, service) as (fleet, endpoints):
        until = time.monotonic() + seconds
        crashes = None
        if popular:
            crashes = asyncio.create_task(crash_in_turn(endpoints, until))
        options = {"crashing": beside or not popular, "gap": gap}
        if popular or beside:
            options["bodies"] = itertools.repeat("popular")
        if restarts:
            await send_to_all(fleet, service, seconds / 2, **options)
            await fleet.children["gateway"].kill()
            await fleet.start("gateway")
            seconds /= 2
        _, others = await send_to_all(fleet, service, seconds, **options)
        if crashes is not None:
            await crashes
        counts = collections.Counter(others)
        ends = sum(len(endpoint.ends) for endpoint in endpoints)
        later = sends_after_third_end(endpoints, NOTICE_SECONDS)
        print(
            f"{service:5} ends {ends:3}  later sends {later:3}  others "
            + ", ".join(f"{k}: {counts[k]}" for k in sorted(counts))
        )


@click.command()
@click.option("--service", type=click.Choice(["api", "chat"]), default="api")
@click.option("--seconds", default=15.0)
@click.option("--popular", is_flag=True, help="Crash for another reason.")
@click.option("--beside", is_flag=True, help="Others send the same request.")
@click.option("--gap", default=0.3, help="Seconds between crashing requests.")
@click.option("--restarts", is_flag=True, help="Restart the gateway half way.")
def main(**options) -> None:
    """Plays one trial."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder), **options))


if __name__ == "__main__":
    main()
