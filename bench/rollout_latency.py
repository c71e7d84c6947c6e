"""Time until a bundle is in force at all routers, with leader failures.

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
"""Changes between two kills of the leader."""
PAUSE_SECONDS = 0.2
"""Pause between changes, so that the routers, which share one process, do not
become the bottleneck."""
CONTROL_HOSTS = ["control-1", "control-2", "control-3"]


async def leader_name(fleet) -> str:
    """Returns the name of the control leader, waiting until there is one."""
    while True:
        rows = await fleet.ctl_json("status")
        leaders = [r for r in rows if r["role"] == "leader"]
        if leaders:
            return max(leaders, key=lambda r: r["term"])["name"]


async def kill_leader(fleet, operator, number: int) -> float:
    """Kills the leader; returns the seconds until a change is accepted."""
    name = await leader_name(fleet)
    await fleet.children[name].kill()
    started = time.monotonic()
    await operator.put({"workspaces/probe": workspace_row(10**6, number + 1)})
    elapsed = time.monotonic() - started
    await fleet.restart(name)
    await fleet.wait_until_healthy(fleet.control_hosts[name])
    return elapsed


async def run() -> dict:
    """Rolls out all changes and returns the measurements."""
    async with local_fleet() as fleet:
        await fleet.make_keys()
        await fleet.start_control(CONTROL_HOSTS)
        operator = Operator(fleet)
        await operator.put(first_rows(fleet, 100))
        routers = await start_routers(fleet, ROUTERS)
        bytes_before = sum(r.client.bytes_received for r in routers)
        accepted_at, leaderless, durations = {}, [], []
        for number in range(CHANGES):
            if number % KILL_EVERY == KILL_EVERY // 2:
                leaderless.append(await kill_leader(fleet, operator, number))
                accepted_at[operator.version] = time.monotonic()
            started = time.monotonic()
            row = workspace_row(number % 100, 2.0 + number)
            version = await operator.put({f"workspaces/w{number % 100}": row})
            accepted_at[version] = time.monotonic()
            durations.append(accepted_at[version] - started)
            await asyncio.sleep(PAUSE_SECONDS)
        while any(operator.version not in r.installed for r in routers):
            await asyncio.sleep(0.05)
        bytes_after = sum(r.client.bytes_received for r in routers)
        delays = [
            max(0.0, router.installed[version] - at)
            for version, at in accepted_at.items()
            for router in routers
        ]
        for router in routers:
            await router.close()
        await operator.client.close()
    return {
        "changes": len(accepted_at),
        "routers": ROUTERS,
        "p50_s": percentile(delays, 0.5),
        "p99_s": percentile(delays, 0.99),
        "worst_s": max(delays),
        "change_p50_s": percentile(durations, 0.5),
        "change_worst_s": max(durations),
        "leaderless_s": leaderless,
        "bytes_per_change_per_router": (bytes_after - bytes_before)
        / len(accepted_at)
        / ROUTERS,
    }


def main() -> None:
    """Prints and saves the measurements."""
    out = asyncio.run(run())
    save("rollout_latency", out)
    for name, value in out.items():
        print(f"{name:<30} {value}")


if __name__ == "__main__":
    main()
