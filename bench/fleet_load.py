"""Both deployments at today's size, in processes, under load.

`.venv/bin/python bench/fleet_load.py` prints the three measures (fairness
gap, utilisation, control traffic) and the counter's waits, with a flood and
an engine lost in the middle, and without, and writes bench/out/fleet_load.json.
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

SECONDS = 40.0
TOKEN_SECONDS = 0.04
DEPLOYMENTS = {
    "teranga": ("assistant", 5, "counter-thies", "trip-guides", 3),
    "luzaberta": ("quotes", 10, "vila-real", "web-quotes", 3),
}


def metric(page: str, name: str, *labels: str) -> float:
    """Returns the sum of a metric's samples that carry the labels."""
    total = 0.0
    for line in page.splitlines():
        if re.match(rf"marjoramyard_{name}(_total)?[{{ ]", line):
            if all(label in line for label in labels):
                total += float(line.rpartition(" ")[2])
    return total


async def control_bytes(fleet) -> dict[str, float]:
    """Returns each router's control bytes so far."""
    found = {}
    for name, address in fleet.internal_addresses.items():
        page = await fleet.metrics_page(address)
        found[name] = metric(page, "control_bytes")
    return found


async def slot_seconds(fleet, engines) -> tuple[float, float]:
    """Returns busy and idle-while-waiting slot seconds of all agents."""
    busy = idle = 0.0
    for name in engines:
        page = await fleet.metrics_page(
            fleet.internal_addresses[f"agent-{name}"]
        )
        busy += metric(page, "slots", 'state="busy_seconds"')
        idle += metric(page, "slots", 'state="idle_while_waiting"')
    return busy, idle


async def lose_engine(fleet, name: str) -> None:
    """Kills an engine in the middle of the load."""
    await asyncio.sleep(SECONDS / 2)
    await fleet.children[name].kill()


async def run_one(deployment: str, flood: bool) -> dict:
    """Runs one load and returns its row."""
    service, count, counter, flooder, entries = DEPLOYMENTS[deployment]
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
            service, names, counter, flooder if flood else "", seconds=SECONDS
        )
        before, started = await control_bytes(fleet), time.monotonic()
        killer = asyncio.ensure_future(
            lose_engine(fleet, engines[0]) if flood else asyncio.sleep(0)
        )
        result = await Load(fleet, plan, shares).run()
        await killer
        passed = time.monotonic() - started
        after = await control_bytes(fleet)
        busy, idle = await slot_seconds(fleet, engines)
        rates = {n: (after[n] - before[n]) / passed for n in after}
    entries_rates = [v for n, v in rates.items() if n.startswith("entry")]
    agent_rates = [v for n, v in rates.items() if n.startswith("agent")]
    return {
        "worst_gap": max(result.gaps),
        "warm_gap": max(result.gaps[len(result.gaps) // 4 :]),
        "utilisation": busy / (busy + idle),
        "wait_p50": percentile(result.waits, 0.5),
        "wait_p95": percentile(result.waits, 0.95),
        "entry_bytes": max(entries_rates),
        "agent_bytes": max(agent_rates),
        "answered": result.answered,
        "failures": result.failures,
        "tokens": sum(result.served.values()),
        "bound": count * 8 * plan.most_tokens / min(shares.values()),
    }


def main() -> None:
    """Runs the chosen deployments, or both."""
    out = {}
    print(
        "deployment flood  worst  warm   util   p50 s  p95 s  "
        "entry B/s  agent B/s  answers  failures"
    )
    for deployment in sys.argv[1:] or DEPLOYMENTS:
        for flood in (True, False):
            row = asyncio.run(run_one(deployment, flood))
            out[f"{deployment} {'flood' if flood else 'calm'}"] = row
            print(
                f"{deployment:<10} {'yes' if flood else 'no':<5} "
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
