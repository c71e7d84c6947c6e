"""Load test of both example deployments in separate processes.

`.venv/bin/python bench/fleet_load.py [DEPLOYMENT ...]` measures the fairness
gap, utilisation, control traffic and the probe workspace's time to first
token: once with one overloading workspace and an engine killed half-way, and
once without. It writes bench/out/fleet_load.json.
"""

import asyncio
import copy
import re
import sys
import time

import yaml
from common import ROOT, percentile, save

from marjoramyard.standin.load import Load, LoadPlan
from marjoramyard.standin.local_fleet import local_fleet, start_small_fleet

LOAD_SECONDS = 40.0
TOKEN_SECONDS = 0.04
# By name: service, engines, probe and overloading workspace, entries.
DEPLOYMENTS = {
    "teranga": ("assistant", 5, "counter-thies", "trip-guides", 3),
    "luzaberta": ("quotes", 10, "vila-real", "web-quotes", 3),
}


def metric(page: str, name: str, *labels: str) -> float:
    """Returns the sum of a metric's samples with the given labels."""
    total = 0.0
    for line in page.splitlines():
        if re.match(rf"marjoramyard_{name}(_total)?[{{ ]", line):
            if all(label in line for label in labels):
                total += float(line.rpartition(" ")[2])
    return total


async def control_bytes(fleet) -> dict[str, float]:
    """Returns the control bytes of each router so far."""
    totals = {}
    for name, address in fleet.internal_addresses.items():
        page = await fleet.metrics_page(address)
        totals[name] = metric(page, "control_bytes")
    return totals


async def slot_seconds(fleet, engines) -> tuple[float, float]:
    """Returns the slot seconds of all agents, busy and idle while queued."""
    busy = idle = 0.0
    for name in engines:
        page = await fleet.metrics_page(
            fleet.internal_addresses[f"agent-{name}"]
        )
        busy += metric(page, "slots", 'state="busy_seconds"')
        idle += metric(page, "slots", 'state="idle_while_waiting"')
    return busy, idle


async def kill_engine(fleet, name: str) -> None:
    """Kills an engine half-way through the load."""
    await asyncio.sleep(LOAD_SECONDS / 2)
    await fleet.children[name].kill()


async def run_one(deployment: str, overload: bool) -> dict:
    """Runs one load and returns its measurements."""
    service, count, probe, overloading, entries = DEPLOYMENTS[deployment]
    text = (ROOT / f"examples/{deployment}/bundle.yaml").read_text()
    bundle = yaml.safe_load(text)
    bundle = copy.deepcopy(bundle)
    names = list(bundle["workspaces"])
    shares = {n: w["share"] for n, w in bundle["workspaces"].items()}
    engines = [f"engine-{n}" for n in range(1, count + 1)]
    async with local_fleet() as fleet:
        await start_small_fleet(fleet, bundle, entries=entries)
        options = ["--token-seconds", str(TOKEN_SECONDS), "--slots", "8"]
        await asyncio.gather(
            *(
                fleet.add_endpoint(n, "engine", service, *options)
                for n in engines
            )
        )
        await fleet.wait_until_serving(*engines)
        plan = LoadPlan(
            service,
            names,
            probe,
            overloading if overload else "",
            seconds=LOAD_SECONDS,
        )
        before, started = await control_bytes(fleet), time.monotonic()
        killer = asyncio.ensure_future(
            kill_engine(fleet, engines[0]) if overload else asyncio.sleep(0)
        )
        result = await Load(fleet, plan, shares).run()
        await killer
        elapsed = time.monotonic() - started
        after = await control_bytes(fleet)
        busy, idle = await slot_seconds(fleet, engines)
        rates = {n: (after[n] - before[n]) / elapsed for n in after}
    entry_rates = [v for n, v in rates.items() if n.startswith("entry")]
    agent_rates = [v for n, v in rates.items() if n.startswith("agent")]
    return {
        "worst_gap": max(result.gaps),
        "warm_gap": max(result.gaps[len(result.gaps) // 4 :]),
        "utilisation": busy / (busy + idle),
        "wait_p50": percentile(result.first_token_seconds, 0.5),
        "wait_p95": percentile(result.first_token_seconds, 0.95),
        "entry_bytes": max(entry_rates),
        "agent_bytes": max(agent_rates),
        "answered": result.completed,
        "failures": result.failures,
        "tokens": sum(result.served.values()),
        "bound": count * 8 * plan.max_tokens / min(shares.values()),
    }


def main() -> None:
    """Measures the named deployments, or both."""
    out = {}
    print(
        "deployment overload  worst  warm   util   p50 s  p95 s  "
        "entry B/s  agent B/s  responses  failures"
    )
    for deployment in sys.argv[1:] or DEPLOYMENTS:
        for overload in (True, False):
            row = asyncio.run(run_one(deployment, overload))
            out[f"{deployment} {'flood' if overload else 'calm'}"] = row
            print(
                f"{deployment:<10} {'yes' if overload else 'no':<8} "
                f"{row['worst_gap']:6.0f} {row['warm_gap']:5.0f} "
                f"{row['utilisation']:7.4f} {row['wait_p50']:6.3f} "
                f"{row['wait_p95']:6.3f} {row['entry_bytes']:10.0f} "
                f"{row['agent_bytes']:10.0f} {row['answered']:8d}  "
                f"{row['failures']}",
                flush=True,
            )
    save("fleet_load", out)


if __name__ == "__main__":
    main()
