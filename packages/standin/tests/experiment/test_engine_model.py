"""The model engine does what the pages of real engines say."""

import pytest

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.engine_model import (
    EngineSpeeds,
    ModelEngine,
    ModelRun,
)
from marjoramyard.standin.experiment.event_loop import EventLoop

SPEEDS = EngineSpeeds(
    slots=4,
    memory_tokens=20_000,
    step_ms=2.0,
    context_ms_per_k=0.0,
    read_tokens_per_ms=100.0,
    pair_ms_per_m=0.0,
    chunk_tokens=1000,
    entry_ms=50.0,
    event_tokens=8,
)


class Bench:
    """One engine and what its streams looked like."""

    def __init__(self, speeds=SPEEDS):
        self.loop = EventLoop()
        self.events = {}
        self.ends = {}
        self.engine = ModelEngine(
            "e0", speeds, self.loop.at, self.on_event, self.on_end
        )

    def on_event(self, run, now):
        self.events.setdefault(run.key, []).append(now)

    def on_end(self, run, now):
        self.ends[run.key] = now

    def send(self, key, own, output=9, shared=(), at=0.0):
        run = ModelRun(key, (*shared, PromptPart(f"own-{key}", own)), output)
        self.loop.at(at, lambda: self.engine.submit(run, at))
        return run

    def play(self, until=100_000.0):
        self.loop.run(until)


def test_a_prompt_is_read_in_chunks_and_events_hold_several_tokens():
    bench = Bench()
    bench.send("a", own=2500, output=17)
    bench.play()
    first = 50.0 + 3 * 2.0 + 25.0
    assert bench.events["a"] == pytest.approx(
        [first, first + 16.0, first + 32.0]
    )
    assert bench.ends["a"] == bench.events["a"][-1]


def test_a_long_prompt_slows_the_streams_beside_it():
    bench = Bench()
    bench.send("stream", own=100, output=65)
    bench.send("long", own=10_000, at=20.0)
    bench.play()
    times = bench.events["stream"]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert max(gaps) > 80.0
    assert min(gaps) == pytest.approx(16.0)


def test_kept_parts_are_not_read_again_until_they_yield():
    guide = PromptPart("guide", 5000)
    bench = Bench()
    bench.send("a", own=100, shared=(guide,))
    bench.send("b", own=100, shared=(guide,), at=1000.0)
    bench.play(5000.0)
    assert bench.engine.tokens_read == pytest.approx(5200)
    bench.send("big", own=16_000, at=5000.0)
    bench.send("c", own=100, shared=(guide,), at=9000.0)
    bench.play()
    assert bench.engine.tokens_read == pytest.approx(5200 + 16_000 + 5100)


def test_requests_beyond_the_slots_wait_for_one():
    bench = Bench()
    for number in range(5):
        bench.send(str(number), own=100, output=81)
    bench.play()
    assert bench.events["4"][0] > min(bench.ends[str(n)] for n in range(4))


def test_the_newest_run_is_preempted_and_read_again():
    bench = Bench()
    bench.send("old", own=9_000, output=800)
    bench.send("new", own=9_900, output=800, at=10.0)
    bench.play()
    assert bench.engine.preempted >= 1
    assert bench.ends["old"] < bench.ends["new"]
    assert bench.engine.memory.run_tokens == 0


def test_a_crash_ends_all_and_nothing_is_kept():
    guide = PromptPart("guide", 5000)
    bench = Bench()
    run = bench.send("a", own=100, output=500, shared=(guide,))
    bench.play(200.0)
    assert bench.engine.crash() == [run]
    bench.send("b", own=100, shared=(guide,), at=300.0)
    bench.play()
    assert "a" not in bench.ends and "b" in bench.ends
    assert bench.engine.tokens_read == pytest.approx(10_200)
