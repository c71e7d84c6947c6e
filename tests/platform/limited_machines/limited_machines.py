"""Plays a day of tpl-dakar on real processes and keeps all limits from outside.

Run: limited_machines.py --seed 1 --profile users
It needs `sh deploy/build.sh` before, and only starts processes on loopback.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import resource
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import limited_callers
import limited_deploy
import limited_engines
import limited_fleet
import limited_judge
import limited_operator
import limited_troubles

ENGINE_PORT = 8782
ZONES = ("dkr-plateau", "dkr-almadies", "dkr-diamniadio")
LEAD_SECONDS = 12.0
RECOVERY_SECONDS = 12.0


def parse_arguments():
    """Returns the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--root",
        type=pathlib.Path,
        default=pathlib.Path(__file__).resolve().parents[3],
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--profile", choices=limited_troubles.PROFILES, default="calm"
    )
    parser.add_argument("--seconds", type=float, default=34.0)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--controls", type=int, choices=(3, 6), default=6)
    parser.add_argument(
        "--slot", type=int, default=30, help="second part of 127.x.y.z"
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder for logs and the report"
    )
    return parser.parse_args()


def make_engines(fleet, slot, ledger, wire, seed):
    """Returns the engines of both services, not started yet."""
    engines = []
    places = [(0, 2), (1, 2), (2, 1)]
    controls = fleet.control_addresses()
    for zone, count in places:
        for number in range(count):
            engines.append(
                limited_engines.Engine(
                    "assistant-llm",
                    True,
                    f"127.{slot}.{zone + 1}.{100 + number}",
                    ENGINE_PORT,
                    ZONES[zone],
                    controls,
                    ledger,
                    wire,
                    seed * 100 + len(engines),
                )
            )
    for zone in range(3):
        engines.append(
            limited_engines.Engine(
                "rental-api",
                False,
                f"127.{slot}.{zone + 1}.120",
                ENGINE_PORT,
                ZONES[zone],
                controls,
                ledger,
                wire,
                seed * 100 + len(engines),
            )
        )
    return engines


async def watch_lag(lag):
    """Notes when the runner itself was late: it judges badly then."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.05)
        late = time.monotonic() - before - 0.05
        if late > 0.15:
            lag.append((before, late))


@contextlib.asynccontextmanager
async def running_fleet(arguments, folder):
    """Runs the fleet and its keeper within the block; yields both."""
    keeper = limited_fleet.KeeperLink()
    await keeper.start()
    fleet = limited_fleet.Fleet(
        arguments.root.resolve(),
        folder,
        arguments.slot,
        arguments.controls,
        pathlib.Path(sys.executable).parent,
        keeper,
    )
    keeper.fleet = fleet
    try:
        await fleet.start_all()
        yield fleet, keeper
    finally:
        await fleet.stop()
        await keeper.stop()


async def play(arguments, folder):
    """Plays one day and returns the report."""
    wire = limited_deploy.Wire(arguments.root)
    ledger = limited_engines.Ledger()
    async with running_fleet(arguments, folder) as (fleet, keeper):
        started = time.monotonic()
        fleet.bootstrap = False
        plan = limited_operator.Plan(arguments.seed)
        operator = limited_operator.Operator(plan, fleet, wire, arguments.seed)
        engines = make_engines(
            fleet, arguments.slot, ledger, wire, arguments.seed
        )
        for engine in engines:
            await engine.start()
        await asyncio.sleep(1.0)
        first = asyncio.create_task(operator.put(plan.config, 30.0))
        entry = limited_callers.Entry(
            fleet.machines,
            limited_fleet.READY_PORT,
            limited_fleet.FRONTEND_PORT,
        )
        lag = []
        background = [
            asyncio.create_task(watch_lag(lag)),
            asyncio.create_task(entry.watch()),
            asyncio.create_task(operator.read_during()),
        ]
        await asyncio.sleep(max(0.0, started + LEAD_SECONDS - time.monotonic()))
        await first
        callers = limited_callers.Callers(
            entry, plan, ledger, arguments.seed, ZONES
        )
        callers.behaviour.rate = arguments.rate
        traffic_from = time.monotonic()
        closing = arguments.profile != "calm"
        traffic = asyncio.create_task(callers.run())
        day = limited_troubles.Day(
            fleet, engines, callers, operator, plan, arguments.seed
        )
        await day.play(arguments.profile, traffic_from, arguments.seconds)
        if closing:
            await asyncio.sleep(RECOVERY_SECONDS)
        read_back = await operator.read_back(4.0)
        traffic.cancel()
        await callers.finish(6.0)
        await keeper.collect()
        disk = {m.name: fleet.disk_bytes(m) for m in fleet.core}
        for task in background:
            task.cancel()
        for engine in engines:
            await engine.crash()
    return limited_judge.make_report(
        fleet,
        callers,
        ledger,
        operator,
        plan,
        day,
        read_back,
        disk,
        entry,
        keeper,
        lag,
        traffic_from,
        arguments,
    )


def main():
    """Plays a day and prints the report; returns 1 if a rule was broken."""
    arguments = parse_arguments()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="limited-machines-"))
    before = time.monotonic()
    try:
        limit = LEAD_SECONDS + arguments.seconds + 90
        report = asyncio.run(asyncio.wait_for(play(arguments, folder), limit))
        report["seconds"] = round(time.monotonic() - before, 1)
        text = limited_judge.as_text(report)
        print(text)
        if arguments.keep:
            arguments.keep.mkdir(parents=True, exist_ok=True)
            (arguments.keep / "report.txt").write_text(text)
            (arguments.keep / "report.json").write_text(
                json.dumps(report, indent=1)
            )
            for path in folder.glob("*/*.log"):
                shutil.copy(
                    path, arguments.keep / f"{path.parent.name}-{path.name}"
                )
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if report["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
