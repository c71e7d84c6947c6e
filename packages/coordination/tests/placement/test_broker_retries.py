"""When refused callers come back, under a rush that lasts for seconds."""

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    Simulation,
    arrivals_of,
    make_ask,
    make_broker,
)

SPREAD = 0.25
CALLER_DEADLINE_MS = 5000.0


def play_with_returns(simulation, arrivals, seed=1):
    """Plays arrivals; refused callers come back once, when they were told.

    They wait a third of their time at the most. Returns the keys of those
    that came back.
    """
    rng = random.Random(seed)
    queue = sorted(arrivals, key=lambda pair: pair[0])
    returned = set()
    while queue:
        at, ask = queue.pop(0)
        simulation.play([(at, ask)], settle_ms=0.0)
        for key, refused in list(simulation.refused.items()):
            back = f"{key}-again"
            if key.endswith("-again") or back in returned:
                continue
            returned.add(back)
            wait = refused.retry_after_ms * rng.uniform(1 - SPREAD, 1 + SPREAD)
            again_at = at + min(wait, CALLER_DEADLINE_MS / 3)
            queue.append((again_at, make_ask(back, "w", again_at)))
        queue.sort(key=lambda pair: pair[0])
    simulation.run_until(simulation.now + 60_000.0)
    return returned


def test_callers_refused_in_a_rush_find_room_when_they_come_back():
    """Refused callers return into the same rush and are refused again.

    For two seconds twice as much arrives as engines read. A line is half a
    second long at the most, so who returns after the time that the line
    would have taken returns into the rush, all for nothing.
    """
    simulation = Simulation(make_broker(2))
    rush = arrivals_of({"w": (72, 2000)}, 2)
    calm = [
        (at + 2000.0, make_ask(f"calm-{n}", "w", at + 2000.0, ask.tokens))
        for n, (at, ask) in enumerate(arrivals_of({"w": (12, 2000)}, 4))
    ]
    returned = play_with_returns(simulation, rush + calm)
    served = [key for key in returned if key in simulation.first_ms]
    assert len(returned) > 20
    assert len(served) >= 0.6 * len(returned)
