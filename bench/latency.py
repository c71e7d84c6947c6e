"""Direct against through the fleet: latency, requests a core, memory.

`.venv/bin/python bench/latency.py` prints one table and writes
bench/out/latency.json.
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

WARM_UP = 200
SEQUENTIAL = 1500
BUSY_SECONDS = 10.0
IDLE_SECONDS = 10.0
CALLERS = 32
ROLES = ("control-1", "control-2", "control-3", "entry-1", "agent-shop-1")


async def timed(fleet: LocalFleet, url: str, headers: dict, count: int):
    """Returns the seconds of requests sent one after the other."""
    seconds = []
    for _ in range(count):
        started = time.perf_counter()
        async with fleet.session.get(url, headers=headers) as response:
            await response.read()
            assert response.status == 200
        seconds.append(time.perf_counter() - started)
    return seconds


async def busy(fleet: LocalFleet, url: str, headers: dict, seconds: float):
    """Returns requests done by callers that never pause."""
    until = time.perf_counter() + seconds
    counts = []

    async def caller() -> None:
        done = 0
        while time.perf_counter() < until:
            async with fleet.session.get(url, headers=headers) as response:
                await response.read()
                assert response.status == 200, await response.text()
            done += 1
        counts.append(done)

    await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return sum(counts)


def cpu_of(fleet: LocalFleet) -> dict[str, float]:
    """Returns processor seconds so far, by process."""
    return {name: fleet.children[name].cpu_seconds() for name in ROLES}


def rss_of(fleet: LocalFleet) -> dict[str, float]:
    """Returns resident megabytes by process."""
    return {name: fleet.children[name].rss_bytes() / 1e6 for name in ROLES}


async def window(fleet: LocalFleet, work) -> tuple[dict, float, object]:
    """Returns each process's share of a core while work runs."""
    before, started = cpu_of(fleet), time.perf_counter()
    result = await work
    passed = time.perf_counter() - started
    after = cpu_of(fleet)
    shares = {name: (after[name] - before[name]) / passed for name in ROLES}
    return shares, passed, result


async def run() -> dict:
    """Runs all parts against one fleet."""
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
            await timed(fleet, url, headers, WARM_UP)
            seconds = await timed(fleet, url, headers, SEQUENTIAL)
            out[name] = {
                "p50_ms": percentile(seconds, 0.5) * 1e3,
                "p99_ms": percentile(seconds, 0.99) * 1e3,
            }
        out["idle_cpu"], _, _ = await window(fleet, asyncio.sleep(IDLE_SECONDS))
        out["busy_cpu"], passed, done = await window(
            fleet, busy(fleet, through, headers, BUSY_SECONDS)
        )
        out["requests_per_second"] = done / passed
        share = out["busy_cpu"]["entry-1"]
        out["requests_per_entry_core"] = done / passed / share
        out["rss_busy_mb"] = rss_of(fleet)
        return out


def main() -> None:
    """Prints the table."""
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
    for name in ROLES:
        print(
            f"{name:<14} {out['rss_idle_mb'][name]:8.1f} "
            f"{out['rss_busy_mb'][name]:8.1f} "
            f"{out['idle_cpu'][name] * 100:8.2f} "
            f"{out['busy_cpu'][name] * 100:8.1f}"
        )


if __name__ == "__main__":
    main()
