"""A small model of engines that read one prompt after the other.

For tests of the broker under load: no network, no clock.
"""

import random

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.requests import (
    PlacementRefusal,
    PlacementRequest,
)
from marjoramyard.coordination.routing.config import EngineProfile
from marjoramyard.coordination.routing.table import PromptPart

PROFILE = EngineProfile(
    slots=64, memory_tokens=235_000, token_bytes=18_432, link_mbps=370_000
)
RATE = 36.0
"""Prompt tokens a millisecond, as on one of the deployments' sheets."""
AIM_MS = 800.0


def make_broker(engines=2):
    broker = Broker(PROFILE, RATE)
    broker.set_engines(f"e{number}" for number in range(engines))
    return broker


def make_ask(key, workspace="w", now=0.0, tokens=2000, shared=(), **changes):
    fields = {
        "key": key,
        "workspace": workspace,
        "parts": (*shared, PromptPart(f"own-{key}", tokens)),
        "output_tokens": 50,
        "aim_at": now + AIM_MS,
        "give_up_at": now + 5000.0,
        "asked_at": now,
    }
    return PlacementRequest(**{**fields, **changes})


class Simulation:
    """Plays arrivals against engines that read one prompt after another."""

    def __init__(self, broker, rate=RATE):
        self.broker = broker
        self.rate = rate
        self.now = 0.0
        self.free_at = dict.fromkeys(broker.engines, 0.0)
        self.reading = []
        self.asked = {}
        self.first_ms = {}
        self.refused = {}

    def play(self, arrivals, settle_ms=60_000.0):
        """Plays (time, ask) pairs, sorted by time, to the end."""
        for at, ask in arrivals:
            self.run_until(at)
            self.asked[ask.key] = ask
            refused = self.broker.ask(ask, at)
            if refused is not None:
                self.refused[ask.key] = refused
            self.pump()
        self.run_until(arrivals[-1][0] + settle_ms)

    def run_until(self, end):
        while self.reading and min(self.reading)[0] <= end:
            done = min(self.reading)
            self.reading.remove(done)
            self.now, key = done
            self.first_ms[key] = self.now - self.asked[key].asked_at
            self.broker.first_token(key, self.now)
            self.broker.ended(key)
            self.pump()
        self.now = end

    def pump(self):
        for told in self.broker.pump(self.now):
            if isinstance(told, PlacementRefusal):
                self.refused[told.key] = told
                continue
            start = max(self.now, self.free_at[told.endpoint])
            self.free_at[told.endpoint] = start + told.tokens / self.rate
            self.reading.append((self.free_at[told.endpoint], told.key))


def arrivals_of(workspaces, seconds, seed=1):
    """Poisson arrivals: {workspace: (a second, tokens)}."""
    rng = random.Random(seed)
    found = []
    for workspace, (per_s, tokens) in workspaces.items():
        at, number = 0.0, 0
        while at < seconds * 1000:
            at += rng.expovariate(per_s) * 1000
            number += 1
            key = f"{workspace}-{number}"
            found.append((at, make_ask(key, workspace, at, tokens)))
    return sorted(found, key=lambda pair: pair[0])
