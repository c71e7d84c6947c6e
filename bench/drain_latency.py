"""How long endpoints that announced to leave still receive new calls.

`.venv/bin/python bench/drain_latency.py` lets endpoints leave one after the
other under load and writes bench/out/drain_latency.json. A call
counts as new if it arrives after the agent accepted the announcement.
"""

import asyncio
import time

import yaml
from common import ROOT, save

from marjoramyard.standin.local_fleet import local_fleet, start_small_fleet

LEAVES = 8
CALLERS = 12


async def run() -> dict:
    """Lets endpoints leave under load and returns the measurements."""
    text = (ROOT / "tests/roots/small/bundle.yaml").read_text()
    late_calls, announce_seconds = [], []
    async with local_fleet() as fleet:
        await start_small_fleet(fleet, yaml.safe_load(text))
        names = [f"shop-{n}" for n in range(LEAVES + 2)]
        options = ["--call-seconds", "0.005", "--slots", "4"]
        await asyncio.gather(
            *(fleet.add_endpoint(n, "plain", "shop", *options) for n in names)
        )
        await fleet.wait_until_serving(*names)
        stop = asyncio.Event()
        failed = 0

        async def caller(number: int) -> None:
            nonlocal failed
            url = fleet.url(f"entry-{1 + number % 2}", "/services/shop/stock/x")
            while not stop.is_set():
                async with fleet.session.get(
                    url, headers=fleet.headers("counter")
                ) as response:
                    await response.read()
                    failed += response.status != 200

        callers = [asyncio.ensure_future(caller(n)) for n in range(CALLERS)]
        await asyncio.sleep(1.0)
        for name in names[:LEAVES]:
            address = fleet.endpoint_addresses[name]
            started = time.monotonic()
            async with fleet.session.post(f"http://{address}/admin/leave"):
                announce_seconds.append(time.monotonic() - started)
            before = len((await fleet.counters(name))["calls"])
            await asyncio.sleep(1.0)
            late_calls.append(
                len((await fleet.counters(name))["calls"]) - before
            )
        stop.set()
        await asyncio.gather(*callers)
    return {
        "leaves": LEAVES,
        "new_calls_after_announcement": sum(late_calls),
        "worst_announcement_seconds": max(announce_seconds),
        "failed_requests": failed,
    }


def main() -> None:
    """Prints and saves the measurements."""
    out = asyncio.run(run())
    save("drain_latency", out)
    for name, value in out.items():
        print(f"{name:<42} {value}")


if __name__ == "__main__":
    main()
