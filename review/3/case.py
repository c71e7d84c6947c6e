"""A machine loses power right after it has acknowledged an engine's leaving."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness import BOUNDS, CaseError, Fleet, Record, run_case
from stand_ins import (
    Client,
    Engine,
    Operator,
    config,
    route,
    wait_until_served,
)

HOSTS = ["127.0.0.21", "127.0.0.22", "127.0.0.23"]
ENGINE_HOSTS = ["127.0.0.24", "127.0.0.25"]
ZONE_NAMES = ["zone-a", "zone-b", "zone-c"]
PATH = "/read/"
DOWN_SECONDS = 1.0
LINGER_SECONDS = 14.0
"""How long the engine serves after its departure was acknowledged: `drain_ms`
and "at times many seconds"."""


def main(record: Record, folder: Path, has_trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    fleet = Fleet(folder, [*HOSTS, *ENGINE_HOSTS])
    fleet.seeds = [f"{host}:{fleet.ports[2]}" for host in HOSTS]
    try:
        return _run(fleet, record, has_trouble)
    finally:
        fleet.end()


def _run(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
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
    engines = [
        Engine(
            fleet,
            controls,
            f"i-0000000{number}",
            "orders",
            (host, fleet.ports[0]),
            zone,
        )
        for number, host, zone in zip(
            (1, 2), ENGINE_HOSTS, ZONE_NAMES, strict=False
        )
    ]
    wait_until_served(fleet, gateways, PATH)
    client = Client(fleet, gateways, PATH, 0.03)
    client.start()
    time.sleep(BOUNDS["contact_ms"] / 1000 + 2.0)

    leaving, acknowledging = engines[0], 1
    record.write(f"engine {leaving.name}: {len(leaving.runs)} requests run")
    status = leaving.leave(controls[acknowledging])
    acknowledged_at = time.monotonic()
    if has_trouble:
        controls[acknowledging].process.kill()
        gateways[acknowledging].process.kill()
    record.write(
        f"engine {leaving.name}: DELETE answered {status} by "
        f"{controls[acknowledging].name}"
    )
    if status != 200:
        raise CaseError("the departure was not acknowledged")
    started_at = acknowledged_at
    if has_trouble:
        record.write(f"{HOSTS[acknowledging]} loses power")
        time.sleep(DOWN_SECONDS)
        for machine in (controls[acknowledging], gateways[acknowledging]):
            machine.process.wait()
            machine.start(bootstrap=False)
        started_at = time.monotonic()
        record.write(f"{HOSTS[acknowledging]} is back, with its disk")
    until = acknowledged_at + LINGER_SECONDS
    time.sleep(max(0.0, until - time.monotonic()))
    client.stopped.set()
    time.sleep(1.0)
    return _check(leaving, client, acknowledged_at, started_at, record)


def _check(
    leaving: Engine,
    client: Client,
    acknowledged_at: float,
    started_at: float,
    record: Record,
) -> bool:
    """Returns whether the engine got requests too late from calm machines."""
    in_touch_at = started_at + BOUNDS["contact_ms"] / 1000 + 0.5
    late_at = acknowledged_at + BOUNDS["drain_ms"] / 1000
    counted_from = max(in_touch_at, late_at)
    record.write(
        f"requests count from {counted_from - acknowledged_at:.1f} s after "
        "the acknowledgement: later than drain_ms, and all machines in touch"
    )
    late = [
        (number, at - acknowledged_at)
        for number, at, _ in leaving.runs
        if at > late_at
    ]
    counted = [
        (number, seconds)
        for number, seconds in late
        if seconds > counted_from - acknowledged_at
    ]
    record.write(
        f"engine {leaving.name}: {len(late)} requests later than drain_ms, "
        f"{len(counted)} of them count"
    )
    for number, seconds in counted[:5] + counted[-2:]:
        record.write(f"  {number}, {seconds:.2f} s after the acknowledgement")
    end_at = acknowledged_at + LINGER_SECONDS
    record.write(
        f"client: statuses {client.counts(counted_from, end_at)} in that time"
    )
    return bool(counted)


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
