"""How fast a rolled bundle is in force, with control hosts killed.

`.venv/bin/python bench/rollout_latency.py` rolls 200 changes while it kills and
restarts control hosts, prints the figures and writes
bench/out/rollout_latency.json.
"""

import asyncio
import time

from common import percentile, save
from routers import Operator, first_rows, start_routers, workspace_row

from marjoramyard.standin.local_fleet import local_fleet

CHANGES = 200
ROUTERS = 40
KILL_EVERY = 40
PAUSE_SECONDS = 0.2
"""Ten times the rate of the letter's size; without a pause the routers in
this one process could not keep up, and that would be measured instead."""
CONTROL = ["control-1", "control-2", "control-3"]


async def leader_name(fleet) -> str:
    """Returns the control leader's name."""
    while True:
        rows = await fleet.ctl_json("status")
        leaders = [r for r in rows if r["role"] == "leader"]
        if leaders:
            return max(leaders, key=lambda r: r["term"])["name"]


async def kill_leader(fleet, operator, number: int) -> float:
    """Kills the leader; returns the seconds until a command is taken."""
    name = await leader_name(fleet)
    await fleet.children[name].kill()
    started = time.monotonic()
    await operator.put({"workspaces/probe": workspace_row(10**6, number + 1)})
    passed = time.monotonic() - started
    await fleet.restart(name)
    await fleet.wait_until_healthy(fleet.control_hosts[name])
    return passed


async def run() -> dict:
    """Runs all changes."""
    async with local_fleet() as fleet:
        await fleet.make_keys()
        await fleet.start_control(CONTROL)
        operator = Operator(fleet)
        await operator.put(first_rows(fleet, 100))
        routers = await start_routers(fleet, ROUTERS)
        bytes_before = sum(r.client.bytes_received for r in routers)
        accepted, leaderless, took = {}, [], []
        for number in range(CHANGES):
            if number % KILL_EVERY == KILL_EVERY // 2:
                leaderless.append(await kill_leader(fleet, operator, number))
                accepted[operator.version] = time.monotonic()
            started = time.monotonic()
            row = workspace_row(number % 100, 2.0 + number)
            version = await operator.put({f"workspaces/w{number % 100}": row})
            accepted[version] = time.monotonic()
            took.append(accepted[version] - started)
            await asyncio.sleep(PAUSE_SECONDS)
        while any(operator.version not in r.installed for r in routers):
            await asyncio.sleep(0.05)
        bytes_after = sum(r.client.bytes_received for r in routers)
        delays = [
            max(0.0, router.installed[version] - at)
            for version, at in accepted.items()
            for router in routers
        ]
        for router in routers:
            await router.close()
        await operator.client.close()
    return {
        "changes": len(accepted),
        "routers": ROUTERS,
        "p50_s": percentile(delays, 0.5),
        "p99_s": percentile(delays, 0.99),
        "worst_s": max(delays),
        "change_p50_s": percentile(took, 0.5),
        "change_worst_s": max(took),
        "leaderless_s": leaderless,
        "bytes_per_change_per_router": (bytes_after - bytes_before)
        / len(accepted)
        / ROUTERS,
    }


def main() -> None:
    """Prints the figures."""
    out = asyncio.run(run())
    save("rollout_latency", out)
    for name, value in out.items():
        print(f"{name:<30} {value}")


if __name__ == "__main__":
    main()
