"""Processor time of a broker's decisions, by the number of engines.

`.venv/bin/python bench/placement.py` drives the real `Broker` and `FleetView`
with a model of engines that are always busy, and writes
bench/out/placement.json.
"""

import random
import time
from collections import Counter

from common import save

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRequest,
)
from marjoramyard.coordination.routing.config import EngineProfile
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import FleetView

ENGINE_COUNTS = (6, 27, 60, 330)
REQUESTS = 2000
LOOKUPS = 300
REQUESTS_PER_ENGINE_SECOND = 12
"""Slightly more than an engine serves, so that there is a queue."""
PREFILL_MS = 150.0
RATE = 36.0
WORKSPACES = 60
PROFILE = EngineProfile(
    slots=64, memory_tokens=235_000, token_bytes=18_432, link_mbps=370_000
)


def engine_names(count: int) -> list[str]:
    """Returns the endpoints of the model."""
    return [f"engine-{number}" for number in range(count)]


def make_request(rng: random.Random, number: int, now: float):
    """Returns a request with two shared prompt parts and one of its own."""
    parts = (
        PromptPart(f"system-{rng.randrange(8)}", 2500),
        PromptPart(f"topic-{rng.randrange(900)}", 3700),
        PromptPart(f"own-{number}", 2900),
    )
    return PlacementRequest(
        key=str(number),
        workspace=f"workspace-{rng.randrange(WORKSPACES)}",
        parts=parts,
        output_tokens=50,
        first_token_due_at=now + 800.0,
        deadline_at=now + 5000.0,
        submitted_at=now,
    )


class Stopwatch:
    """Adds up the time of each kind of call."""

    def __init__(self):
        self.seconds: Counter[str] = Counter()

    def call(self, name, function, *arguments):
        """Calls a function and returns its result."""
        started_at = time.perf_counter()
        result = function(*arguments)
        self.seconds[name] += time.perf_counter() - started_at
        return result


def measure_broker(engines: int) -> dict[str, float]:
    """Returns the ms per request of each kind of call to a broker."""
    broker = Broker(PROFILE, RATE)
    broker.set_engines(engine_names(engines))
    rng = random.Random(1)
    watch = Stopwatch()
    now = 0.0
    prefilling: list[tuple[float, str]] = []
    for number in range(REQUESTS):
        now += 1000.0 / (REQUESTS_PER_ENGINE_SECOND * engines)
        request = make_request(rng, number, now)
        watch.call("submit", broker.submit, request, now)
        for result in watch.call("dispatch", broker.dispatch, now):
            if isinstance(result, PlacementGrant):
                prefilling.append((now + PREFILL_MS, result.key))
        while prefilling and prefilling[0][0] <= now:
            _, key = prefilling.pop(0)
            watch.call("first token", broker.record_first_token, key, now)
            watch.call("finish", broker.finish, key)
    return {
        name: seconds / REQUESTS * 1000
        for name, seconds in watch.seconds.items()
    }


def measure_view(endpoints: int) -> float:
    """Returns the ms of one look-up of the usable endpoints."""
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    for number, name in enumerate(engine_names(endpoints)):
        view.registrations.merge(
            Registration(
                endpoint=name, service="llm", address=f"127.0.0.1:{number + 1}"
            ),
            0.0,
        )
    for host in range(10):
        view.unresponsive_reports[str(host)] = (time.monotonic(), frozenset())
    started_at = time.perf_counter()
    for _ in range(LOOKUPS):
        view.usable("llm", set())
    return (time.perf_counter() - started_at) / LOOKUPS * 1000


def main() -> None:
    """Measures all numbers of engines."""
    results = {}
    for count in ENGINE_COUNTS:
        figures = measure_broker(count) | {"usable": measure_view(count)}
        results[count] = figures
        shown = ", ".join(f"{k} {v:.3f}" for k, v in figures.items())
        print(f"{count} engines, ms a request: {shown}", flush=True)
    save("placement", results)


if __name__ == "__main__":
    main()
