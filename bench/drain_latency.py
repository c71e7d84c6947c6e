"""How long a leaving endpoint still gets new work: the worst of many.

`.venv/bin/python bench/drain_latency.py` lets endpoints leave one after the
other under load and writes bench/out/drain_latency.json. An endpoint's call
counts as new work if it reached it after the word that it leaves was sent.
"""

import asyncio
import time

import yaml
from common import ROOT, save

from marjoramyard.standin.local_fleet import local_fleet, start_small_fleet

LEAVES = 8
CALLERS = 12


async def run() -> dict:
    """Lets endpoints leave while callers never pause."""
    text = (ROOT / "tests/roots/small/bundle.yaml").read_text()
    late, told_in = [], []
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
                told_in.append(time.monotonic() - started)
            before = len((await fleet.counters(name))["calls"])
            await asyncio.sleep(1.0)
            late.append(len((await fleet.counters(name))["calls"]) - before)
        stop.set()
        await asyncio.gather(*callers)
    return {
        "leaves": LEAVES,
        "new_calls_after_the_word_was_taken": sum(late),
        "worst_seconds_until_the_word_was_taken": max(told_in),
        "failed_requests": failed,
    }


def main() -> None:
    """Prints the figures."""
    out = asyncio.run(run())
    save("drain_latency", out)
    for name, value in out.items():
        print(f"{name:<42} {value}")


if __name__ == "__main__":
    main()
