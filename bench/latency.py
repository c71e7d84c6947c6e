"""Overhead of the fleet: added latency, throughput per core and memory.

`.venv/bin/python bench/latency.py` compares direct requests to an endpoint
with requests through the fleet and writes bench/out/latency.json.
"""

import asyncio
import time

import yaml
from common import ROOT, percentile, save

from marjoramyard.standin.local_fleet import (
    LocalFleet,
    local_fleet,
    start_small_fleet,
)

WARM_UP_REQUESTS = 200
SEQUENTIAL_REQUESTS = 1500
BUSY_SECONDS = 10.0
IDLE_SECONDS = 10.0
CALLERS = 32
PROCESSES = ("control-1", "control-2", "control-3", "entry-1", "agent-shop-1")


async def send_sequentially(
    fleet: LocalFleet, url: str, headers: dict, count: int
):
    """Sends requests one after the other; returns the seconds of each."""
    seconds = []
    for _ in range(count):
        started = time.perf_counter()
        async with fleet.session.get(url, headers=headers) as response:
            await response.read()
            assert response.status == 200
        seconds.append(time.perf_counter() - started)
    return seconds


async def send_concurrently(
    fleet: LocalFleet, url: str, headers: dict, seconds: float
):
    """Sends requests from concurrent callers; returns their number."""
    end = time.perf_counter() + seconds
    counts = []

    async def caller() -> None:
        done = 0
        while time.perf_counter() < end:
            async with fleet.session.get(url, headers=headers) as response:
                await response.read()
                assert response.status == 200, await response.text()
            done += 1
        counts.append(done)

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return sum(counts)


def cpu_of(fleet: LocalFleet) -> dict[str, float]:
    """Returns the CPU seconds used so far, by process."""
    return {name: fleet.children[name].cpu_seconds() for name in PROCESSES}


def rss_of(fleet: LocalFleet) -> dict[str, float]:
    """Returns the resident memory in megabytes, by process."""
    return {name: fleet.children[name].rss_bytes() / 1e6 for name in PROCESSES}


async def measure_cpu(fleet: LocalFleet, work) -> tuple[dict, float, object]:
    """Awaits some work; returns CPU use by process, seconds and its result."""
    before, started = cpu_of(fleet), time.perf_counter()
    result = await work
    elapsed = time.perf_counter() - started
    after = cpu_of(fleet)
    shares = {
        name: (after[name] - before[name]) / elapsed for name in PROCESSES
    }
    return shares, elapsed, result


async def run() -> dict:
    """Runs all measurements against one fleet."""
    text = (ROOT / "tests/roots/small/bundle.yaml").read_text()
    async with local_fleet() as fleet:
        await start_small_fleet(fleet, yaml.safe_load(text), entries=1)
        options = ["--call-seconds", "0", "--slots", "64"]
        await fleet.add_endpoint("shop-1", "plain", "shop", *options)
        await fleet.wait_until_serving("shop-1")
        path = "/stock/boots"
        direct = f"http://{fleet.endpoint_addresses['shop-1']}{path}"
        through = fleet.url("entry-1", f"/services/shop{path}")
        headers = fleet.headers("counter")
        out = {"rss_idle_mb": rss_of(fleet)}
        for name, url in (("direct", direct), ("through", through)):
            await send_sequentially(fleet, url, headers, WARM_UP_REQUESTS)
            seconds = await send_sequentially(
                fleet, url, headers, SEQUENTIAL_REQUESTS
            )
            out[name] = {
                "p50_ms": percentile(seconds, 0.5) * 1e3,
                "p99_ms": percentile(seconds, 0.99) * 1e3,
            }
        out["idle_cpu"], _, _ = await measure_cpu(
            fleet, asyncio.sleep(IDLE_SECONDS)
        )
        out["busy_cpu"], elapsed, done = await measure_cpu(
            fleet, send_concurrently(fleet, through, headers, BUSY_SECONDS)
        )
        out["requests_per_second"] = done / elapsed
        share = out["busy_cpu"]["entry-1"]
        out["requests_per_entry_core"] = done / elapsed / share
        out["rss_busy_mb"] = rss_of(fleet)
        return out


def main() -> None:
    """Prints and saves the measurements."""
    out = asyncio.run(run())
    save("latency", out)
    for name in ("direct", "through"):
        row = out[name]
        print(
            f"{name:<9} p50 {row['p50_ms']:.2f} ms  p99 {row['p99_ms']:.2f} ms"
        )
    added = out["through"]["p50_ms"] - out["direct"]["p50_ms"]
    added99 = out["through"]["p99_ms"] - out["direct"]["p99_ms"]
    print(f"added     p50 {added:.2f} ms  p99 {added99:.2f} ms")
    print(
        f"busy      {out['requests_per_second']:.0f} requests/s, "
        f"{out['requests_per_entry_core']:.0f} per entry core"
    )
    print("process         idle MB  busy MB   idle %   busy %")
    for name in PROCESSES:
        print(
            f"{name:<14} {out['rss_idle_mb'][name]:8.1f} "
            f"{out['rss_busy_mb'][name]:8.1f} "
            f"{out['idle_cpu'][name] * 100:8.2f} "
            f"{out['busy_cpu'][name] * 100:8.1f}"
        )


if __name__ == "__main__":
    main()
