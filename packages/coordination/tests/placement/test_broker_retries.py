"""Tests of the retry delay of refusals during several seconds of overload."""

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    Simulation,
    make_broker,
    make_request,
    poisson_arrivals,
)

JITTER = 0.25
CALLER_DEADLINE_MS = 5000.0


def run_with_retries(simulation, arrivals, seed=1):
    """Runs arrivals; refused requests are retried once, after their delay.

    The delay is limited to a third of the deadline. Returns the keys of the
    retries.
    """
    rng = random.Random(seed)
    queue = sorted(arrivals, key=lambda pair: pair[0])
    retried = set()
    while queue:
        at, request = queue.pop(0)
        simulation.run([(at, request)], settle_ms=0.0)
        for key, refused in list(simulation.refused.items()):
            retry = f"{key}-retry"
            if key.endswith("-retry") or retry in retried:
                continue
            retried.add(retry)
            delay_ms = refused.retry_after_ms * rng.uniform(
                1 - JITTER, 1 + JITTER
            )
            retry_at = at + min(delay_ms, CALLER_DEADLINE_MS / 3)
            queue.append((retry_at, make_request(retry, "w", retry_at)))
        queue.sort(key=lambda pair: pair[0])
    simulation.run_until(simulation.now + 60_000.0)
    return retried


def test_most_retries_after_a_burst_are_served():
    """Guards against retries that arrive while the overload lasts.

    Twice the capacity arrives for two seconds, but the queue is never longer
    than half a second, so the predicted wait is too short as a delay.
    """
    simulation = Simulation(make_broker(2))
    burst = poisson_arrivals({"w": (72, 2000)}, 2)
    calm = [
        (
            at + 2000.0,
            make_request(f"calm-{n}", "w", at + 2000.0, request.prompt_tokens),
        )
        for n, (at, request) in enumerate(
            poisson_arrivals({"w": (12, 2000)}, 4)
        )
    ]
    retried = run_with_retries(simulation, burst + calm)
    served = [key for key in retried if key in simulation.first_token_ms]
    assert len(retried) > 20
    assert len(served) >= 0.6 * len(retried)
