"""How fast an engine reads, learnt from first tokens.

The engine of these tests reads one prompt after the other, and has a first
token 53 ms later than reading alone would take, whatever else it reads.
"""

import itertools
import sys
from pathlib import Path

import pytest

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.rates import (
    DELAY_PERIOD_MS,
    MAX_DELAY_MS,
    LeastDelay,
)

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import PROFILE, make_ask  # noqa: E402

TRUE_RATE = 112.0
ENTRY_MS = 53.0
TOKENS = 1800


class SequentialEngine:
    """Reads prompts in the order of their grants."""

    def __init__(self, rate=TRUE_RATE):
        self.rate = rate
        self.free_at = 0.0
        self.first_tokens = []

    def send(self, key, tokens, now):
        start = max(self.free_at, now)
        self.free_at = start + tokens / self.rate
        self.first_tokens.append((self.free_at + ENTRY_MS, key))


def play(arrivals, engine, broker):
    """Plays prompts that come at given times; returns the tokens read."""
    told = 0
    waiting = list(arrivals)
    numbers = itertools.count()
    while waiting or engine.first_tokens:
        news_at = engine.first_tokens[0][0] if engine.first_tokens else None
        if news_at is None or (waiting and waiting[0] <= news_at):
            now = waiting.pop(0)
            ask = make_ask(f"k{next(numbers)}", now=now, tokens=TOKENS)
            broker.ask(ask, now)
        else:
            now, key = engine.first_tokens.pop(0)
            broker.first_token(key, now)
            broker.ended(key)
        for granted in broker.pump(now):
            if hasattr(granted, "endpoint"):
                engine.send(granted.key, granted.tokens, now)
                told += granted.tokens
    return told


@pytest.fixture
def broker():
    made = Broker(PROFILE, TRUE_RATE)
    made.set_engines(["e0"])
    return made


def test_a_calm_load_does_not_make_an_engine_seem_slow(broker):
    """Guards against: engines that wait for prompts are taken to be reading,
    and at the beginning of a rush callers are refused who could be served.
    """
    arrivals = [number * 40.0 for number in range(500)]
    play(arrivals, SequentialEngine(), broker)
    assert broker.engines["e0"].rate > 0.8 * TRUE_RATE


def test_a_rush_does_not_make_an_engine_seem_slow(broker):
    """Guards against: an engine that is given too little seems slow, is given
    less for that, and ends at a quarter of what it could read.
    """
    seconds = 10.0
    arrivals = [number * 8.0 for number in range(int(seconds * 125))]
    told = play(arrivals, SequentialEngine(), broker)
    assert broker.engines["e0"].rate == pytest.approx(TRUE_RATE, rel=0.2)
    assert told > 0.8 * TRUE_RATE * seconds * 1000


@pytest.mark.parametrize("gap_ms", [30.0, 100.0])
def test_an_engine_that_turns_slow_is_learnt(broker, gap_ms):
    arrivals = [number * gap_ms for number in range(500)]
    play(arrivals, SequentialEngine(TRUE_RATE / 5), broker)
    assert broker.engines["e0"].rate < TRUE_RATE / 3


def test_the_least_delay_follows_what_was_seen_of_late():
    delay = LeastDelay()
    assert delay.ms == MAX_DELAY_MS
    delay.add(40.0, now=0.0)
    delay.add(55.0, now=1.0)
    assert delay.ms == 40.0
    delay.add(55.0, now=DELAY_PERIOD_MS)
    assert delay.ms == 40.0
    delay.add(55.0, now=2 * DELAY_PERIOD_MS)
    assert delay.ms == 55.0
