"""Batching, memory and crashes of the simulated engine."""

import pytest

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.standin.experiment.engine_model import (
    EngineParameters,
    SimulatedEngine,
    SimulatedRequest,
)
from marjoramyard.standin.experiment.event_loop import EventLoop

SPEEDS = EngineParameters(
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


class EngineHarness:
    """One engine with the times of its events."""

    def __init__(self, parameters=SPEEDS):
        self.loop = EventLoop()
        self.events = {}
        self.ends = {}
        self.engine = SimulatedEngine(
            "e0", parameters, self.loop.at, self.on_event, self.on_end
        )

    def on_event(self, request, now):
        self.events.setdefault(request.key, []).append(now)

    def on_end(self, request, now):
        self.ends[request.key] = now

    def send(self, key, own, output=9, shared=(), at=0.0):
        request = SimulatedRequest(
            key, (*shared, PromptPart(f"own-{key}", own)), output
        )
        self.loop.at(at, lambda: self.engine.submit(request, at))
        return request

    def run(self, until=100_000.0):
        self.loop.run(until)


def test_prompts_are_prefilled_in_chunks_and_events_hold_several_tokens():
    harness = EngineHarness()
    harness.send("a", own=2500, output=17)
    harness.run()
    first = 50.0 + 3 * 2.0 + 25.0
    assert harness.events["a"] == pytest.approx(
        [first, first + 16.0, first + 32.0]
    )
    assert harness.ends["a"] == harness.events["a"][-1]


def test_a_long_prompt_slows_concurrent_streams():
    harness = EngineHarness()
    harness.send("stream", own=100, output=65)
    harness.send("long", own=10_000, at=20.0)
    harness.run()
    times = harness.events["stream"]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert max(gaps) > 80.0
    assert min(gaps) == pytest.approx(16.0)


def test_cached_parts_are_not_prefilled_again_until_evicted():
    guide = PromptPart("guide", 5000)
    harness = EngineHarness()
    harness.send("a", own=100, shared=(guide,))
    harness.send("b", own=100, shared=(guide,), at=1000.0)
    harness.run(5000.0)
    assert harness.engine.prefilled_tokens == pytest.approx(5200)
    harness.send("big", own=16_000, at=5000.0)
    harness.send("c", own=100, shared=(guide,), at=9000.0)
    harness.run()
    assert harness.engine.prefilled_tokens == pytest.approx(
        5200 + 16_000 + 5100
    )


def test_requests_beyond_the_slots_wait_for_one():
    harness = EngineHarness()
    for number in range(5):
        harness.send(str(number), own=100, output=81)
    harness.run()
    assert harness.events["4"][0] > min(harness.ends[str(n)] for n in range(4))


def test_the_newest_request_is_preempted_and_prefilled_again():
    harness = EngineHarness()
    harness.send("old", own=9_000, output=800)
    harness.send("new", own=9_900, output=800, at=10.0)
    harness.run()
    assert harness.engine.preemptions >= 1
    assert harness.ends["old"] < harness.ends["new"]
    assert harness.engine.memory.active_tokens == 0


def test_a_crash_drops_all_requests_and_cached_parts():
    guide = PromptPart("guide", 5000)
    harness = EngineHarness()
    request = harness.send("a", own=100, output=500, shared=(guide,))
    harness.run(200.0)
    assert harness.engine.crash() == [request]
    harness.send("b", own=100, shared=(guide,), at=300.0)
    harness.run()
    assert "a" not in harness.ends and "b" in harness.ends
    assert harness.engine.prefilled_tokens == pytest.approx(10_200)
