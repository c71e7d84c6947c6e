"""Measures what a prompt part that crashes engines costs other requests.

Six engines end 30 ms after their first event of a request that holds the part
and come back after 0.7 s. Such requests, no two alike, come every 0.4 s at two
gateways, beside sound ones that share their caller and their first part.

Run with PYTHONPATH=tests.
"""

import asyncio
import tempfile
from pathlib import Path

import click
from crashing_engines import (
    CONTACT_SECONDS,
    NOTICED_ENDS,
    PLACES,
    parts_fleet,
    send_all,
)


async def measure(folder: Path, place: str, seconds: float) -> None:
    """Plays one trial and prints its row."""
    async with parts_fleet(folder) as found:
        began_at = await send_all(found, PLACES[place], seconds)
        ends = found.ends[:NOTICED_ENDS]
        since = ends[-1] + 2 * CONTACT_SECONDS
        print(
            f"{place}: {len(found.ends)} engines ended,"
            f" {found.later_arrivals()} later,"
            f" sound {found.served_share(0.0, began_at):.2f} before,"
            f" {found.served_share(began_at, since):.2f} until known,"
            f" {found.served_share(since):.2f} after"
        )


@click.command()
@click.option("--place", type=click.Choice([*PLACES]), multiple=True)
@click.option("--seconds", default=24.0)
def main(place: tuple[str, ...], seconds: float) -> None:
    """Plays each place of the part."""
    for one in place or PLACES:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(measure(Path(folder), one, seconds))


if __name__ == "__main__":
    main()
