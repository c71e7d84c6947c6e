"""A simulation of engines that prefill one prompt at a time.

For tests of the broker under load, without network and real time.
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
"""The prefill rate of an engine, in tokens per ms."""
OBJECTIVE_MS = 800.0
"""Time from the submission of a request until its first token is due."""


def make_broker(engines=2):
    broker = Broker(PROFILE, RATE)
    broker.set_engines(f"e{number}" for number in range(engines))
    return broker


def make_request(
    key, workspace="w", now=0.0, tokens=2000, shared=(), **changes
):
    fields = {
        "key": key,
        "workspace": workspace,
        "parts": (*shared, PromptPart(f"own-{key}", tokens)),
        "output_tokens": 50,
        "first_token_due_at": now + OBJECTIVE_MS,
        "deadline_at": now + 5000.0,
        "submitted_at": now,
    }
    return PlacementRequest(**{**fields, **changes})


class Simulation:
    """Runs a broker against engines that prefill one prompt at a time.

    Attributes:
        now: The simulated time, in ms.
        free_at: When each engine will have prefilled all of its prompts.
        grant_ms: Time from a grant until the engine has the request.
        report_ms: Time from the end of a prefill until the broker learns of
            the first token.
        gap_ratio: The longest gap of each stream relative to its objective, as
            reported when the stream ends.
        prefilling: (report of the first token, key) of the granted requests.
        submitted: All submitted requests, by key.
        first_token_ms: Time from submission to the first token, by key.
        refused: Refusals, by key.
    """

    def __init__(
        self, broker, rate=RATE, grant_ms=0.0, report_ms=0.0, gap_ratio=0.0
    ):
        self.broker = broker
        self.rate = rate
        self.grant_ms = grant_ms
        self.report_ms = report_ms
        self.gap_ratio = gap_ratio
        self.now = 0.0
        self.free_at = dict.fromkeys(broker.engines, 0.0)
        self.prefilling = []
        self.submitted = {}
        self.first_token_ms = {}
        self.refused = {}

    def run(self, arrivals, settle_ms=60_000.0):
        """Submits (time, request) pairs in order, and waits for the engines."""
        for at, request in arrivals:
            self.submit(at, request)
        self.run_until(arrivals[-1][0] + settle_ms)

    def submit(self, at, request):
        """Submits a request after all that was due before."""
        self.run_until(at)
        self.submitted[request.key] = request
        refused = self.broker.submit(request, at)
        if refused is not None:
            self.refused[request.key] = refused
        self.dispatch()

    def run_until(self, end):
        """Ends all prefills that are due by the given time."""
        while self.prefilling and min(self.prefilling)[0] <= end:
            done = min(self.prefilling)
            self.prefilling.remove(done)
            self.now, key = done
            self.first_token_ms[key] = (
                self.now - self.submitted[key].submitted_at
            )
            self.broker.record_first_token(key, self.now)
            endpoint = self.broker.in_flight[key].endpoint
            self.broker.record_longest_gap(key, self.gap_ratio_at(endpoint))
            self.broker.finish(key)
            self.dispatch()
        self.now = end

    def prefill_ms(self, endpoint, tokens):
        """Returns how long an engine takes to prefill a prompt."""
        return tokens / self.rate

    def gap_ratio_at(self, endpoint):
        """Returns the longest gap that an engine's streams have."""
        return self.gap_ratio

    def dispatch(self):
        for result in self.broker.dispatch(self.now):
            if isinstance(result, PlacementRefusal):
                self.refused[result.key] = result
                continue
            start = max(self.now + self.grant_ms, self.free_at[result.endpoint])
            self.free_at[result.endpoint] = start + self.prefill_ms(
                result.endpoint, result.prefill_tokens
            )
            reported_at = self.free_at[result.endpoint] + self.report_ms
            self.prefilling.append((reported_at, result.key))


def poisson_arrivals(workspaces, seconds, seed=1):
    """Returns Poisson arrivals for {workspace: (requests per s, tokens)}."""
    rng = random.Random(seed)
    arrivals = []
    for workspace, (per_s, tokens) in workspaces.items():
        at, number = 0.0, 0
        while at < seconds * 1000:
            at += rng.expovariate(per_s) * 1000
            number += 1
            key = f"{workspace}-{number}"
            arrivals.append((at, make_request(key, workspace, at, tokens)))
    return sorted(arrivals, key=lambda pair: pair[0])
