"""A request that crashes the engines that run it comes again and again."""

import itertools
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import BOUNDS, CaseError, Fleet, Record, call, run_case
from stand_ins import (
    Client,
    Operator,
    client_headers,
    config,
    route,
    wait_until_served,
)

HOSTS = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
ENGINE_HOSTS = [f"127.0.0.{number}" for number in range(34, 40)]
ZONE_NAMES = ["zone-a", "zone-b", "zone-c"]
PATH = "/read/"
BACK_SECONDS = 3.0
"""After this time a crashed engine is back: "after some seconds"."""
DEADLY_PAUSE_SECONDS = 0.25
CALLERS = 4
REPEATS = 3
"""How often a failed attempt is repeated at once (`retry_abuse`, x = 3)."""
LENGTH_SECONDS = 98.0
MOST_RETRIES = 3


class Engines:
    """The engines, each a process that is started again after a crash."""

    def __init__(self, fleet: Fleet, controls, record_path: Path):
        self.fleet = fleet
        self.controls = ",".join(
            f"{host}:{port}" for host, port in map(fleet.control, controls)
        )
        self.record_path = record_path
        self.numbers = itertools.count(1)
        self.crashes: list[float] = []
        self.stopped = threading.Event()
        self.processes: dict[str, subprocess.Popen] = {}
        self.threads = [
            threading.Thread(target=self._keep, args=(host,), daemon=True)
            for host in ENGINE_HOSTS
        ]
        for thread in self.threads:
            thread.start()

    def _keep(self, host: str) -> None:
        program = Path(__file__).resolve().parents[1] / "engine_process.py"
        while not self.stopped.is_set():
            name = f"i-{next(self.numbers):08x}"
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-S",
                    str(program),
                    name,
                    "orders",
                    f"{host}:{self.fleet.ports[0]}",
                    self.controls,
                    str(self.record_path),
                ]
            )
            self.processes[host] = process
            process.wait()
            if not self.stopped.is_set():
                self.crashes.append(time.monotonic())
            self.stopped.wait(BACK_SECONDS)

    def end(self) -> None:
        """Ends all engines."""
        self.stopped.set()
        for process in self.processes.values():
            process.kill()
        for thread in self.threads:
            thread.join(5.0)

    def runs(self, is_deadly: bool) -> list[tuple[float, str, str]]:
        """Returns the time, the id and the engine of each run of a kind."""
        found = []
        for line in self.record_path.read_text().splitlines():
            at, number, engine, kind = line.split()
            if (kind == "1") == is_deadly:
                found.append((float(at), number, engine))
        return sorted(found)


class DeadlyClient(threading.Thread):
    """The caller of the deadly request, which does not wait as instructed.

    It sends the request four times a second. Each attempt that fails is
    repeated at once, at the next gateway.
    """

    def __init__(self, fleet: Fleet, gateways, caller: int):
        super().__init__(daemon=True)
        self.caller = caller
        self.fleet = fleet
        self.gateways = itertools.cycle(gateways)
        self.statuses: dict[int, int] = {}
        self.stopped = threading.Event()

    def run(self) -> None:
        """Sends until it is stopped."""
        for number in itertools.count(1):
            if self.stopped.wait(DEADLY_PAUSE_SECONDS):
                return
            for attempt in range(1 + REPEATS):
                gateway = next(self.gateways)
                status, _, _ = call(
                    self.fleet.frontend(gateway),
                    "POST",
                    PATH,
                    b"deadly",
                    client_headers(
                        f"deadly-{self.caller}-{number}.{attempt}-{gateway.name}",
                        1500,
                    ),
                    2.0,
                )
                self.statuses[status] = self.statuses.get(status, 0) + 1


def main(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    fleet = Fleet(folder, [*HOSTS, *ENGINE_HOSTS])
    fleet.seeds = [f"{host}:{fleet.ports[2]}" for host in HOSTS]
    engines = None
    try:
        controls = [
            fleet.add("control", host, zone)
            for host, zone in zip(HOSTS, ZONE_NAMES, strict=True)
        ]
        gateways = [
            fleet.add("gateway", host, zone)
            for host, zone in zip(HOSTS, ZONE_NAMES, strict=True)
        ]
        for machine in controls + gateways:
            machine.start(bootstrap=True)
        operator = Operator(fleet, controls, record)
        routes = [route("read", "orders", "idempotent", max_attempts=2)]
        if not operator.put(config(1, routes, ["orders"]), 20.0):
            raise CaseError("the first config was not acknowledged")
        engines = Engines(fleet, controls, folder / "runs.txt")
        wait_until_served(fleet, gateways, PATH)
        return _run(fleet, gateways, engines, record, has_trouble)
    finally:
        if engines is not None:
            engines.end()
        fleet.end()


def _run(fleet, gateways, engines, record: Record, has_trouble: bool) -> bool:
    client = Client(fleet, gateways, PATH, 0.03)
    client.start()
    time.sleep(BOUNDS["contact_ms"] / 1000 + 2.0)
    started_at = time.monotonic()
    callers = [
        DeadlyClient(fleet, gateways[n % 3 :] + gateways[: n % 3], n)
        for n in range(CALLERS)
    ]
    if has_trouble:
        record.write(
            f"the deadly request comes from now on, from {CALLERS} clients "
            f"each {DEADLY_PAUSE_SECONDS} s, repeated {REPEATS} times at once"
        )
        for caller in callers:
            caller.start()
    time.sleep(LENGTH_SECONDS)
    for caller in callers:
        caller.stopped.set()
    client.stopped.set()
    time.sleep(2.0)
    runs = engines.runs(is_deadly=True)
    for at, number, engine in runs:
        record.write(f"  {at - started_at:7.2f} s: {number} run by {engine}")
    record.write(
        f"deadly clients: statuses {[caller.statuses for caller in callers]}"
    )
    record.write(
        f"other client: statuses {client.counts(started_at, time.monotonic())}"
    )
    record.write(f"engines: {len(engines.crashes)} crashes")
    if len(runs) < 3:
        return False
    third_at = runs[2][0]
    late = [
        at for at, _, _ in runs if at > third_at + BOUNDS["contact_ms"] / 1e3
    ]
    record.write(
        f"{len(late)} runs later than contact_ms after the third crash; "
        f"{MOST_RETRIES} are allowed"
    )
    return len(late) > MOST_RETRIES


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
