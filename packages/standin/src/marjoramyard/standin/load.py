"""Load generator: backlogged workspaces and one probe workspace."""

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp

from marjoramyard.standin.local_fleet import LocalFleet

_TAIL_SHAPE = 1.2
"""Shape of the Pareto distribution of response lengths."""


@dataclass
class LoadPlan:
    """Parameters of a load.

    Attributes:
        model: The model that the chats request.
        workspaces: All workspaces that send requests.
        probe_workspace: Sends one short chat at a time, whose time to first
            token is measured.
        overloading_workspace: The workspace that sends far more than its
            share; "" for none.
        overload_concurrency: Concurrent requests of that workspace.
        concurrency: Concurrent requests of each other workspace.
        min_tokens: Smallest response length.
        max_tokens: Largest response length.
        seconds: Duration of the load.
        seed: Seed of the random number generator.
    """

    model: str
    workspaces: list[str]
    probe_workspace: str
    overloading_workspace: str = ""
    overload_concurrency: int = 100
    concurrency: int = 16
    min_tokens: int = 10
    max_tokens: int = 400
    seconds: float = 30.0
    seed: int = 3


@dataclass
class LoadResult:
    """Measurements of a load.

    Attributes:
        served: Tokens received by each workspace.
        gaps: Samples of the largest difference in tokens per share between
            two backlogged workspaces.
        first_token_seconds: Times to first token of the probe workspace.
        failures: Incomplete responses, by status or exception.
        completed: Number of complete responses.
    """

    served: dict[str, float] = field(default_factory=dict)
    gaps: list[float] = field(default_factory=list)
    first_token_seconds: list[float] = field(default_factory=list)
    failures: dict[str, int] = field(default_factory=dict)
    completed: int = 0


class Load:
    """Sends chats so that all workspaces but the probe stay backlogged."""

    def __init__(
        self, fleet: LocalFleet, plan: LoadPlan, shares: dict[str, float]
    ):
        self.fleet = fleet
        self.plan = plan
        self.shares = shares
        self.rng = random.Random(plan.seed)
        self.result = LoadResult()
        self.until = 0.0

    def draw_tokens(self) -> int:
        """Draws a response length from a heavy-tailed distribution."""
        drawn = self.plan.min_tokens * self.rng.paretovariate(_TAIL_SHAPE)
        return int(min(self.plan.max_tokens, drawn))

    def entry_for(self, workspace: str) -> str:
        """Picks an entry; each workspace prefers one of them."""
        names = sorted(self.fleet.entries)
        if self.rng.random() < 0.7:
            return names[sum(workspace.encode()) % len(names)]
        return self.rng.choice(names)

    async def chat(self, workspace: str, tokens: int) -> float | None:
        """Streams one chat; returns the seconds to its first token, if any."""
        started = time.monotonic()
        first = None
        ended = False
        result = self.result
        try:
            async with self.fleet.session.post(
                self.fleet.url(
                    self.entry_for(workspace), "/v1/chat/completions"
                ),
                headers=self.fleet.headers(workspace),
                json={
                    "model": self.plan.model,
                    "stream": True,
                    "max_tokens": tokens,
                    "messages": [{"content": f"request {started}"}],
                },
            ) as response:
                async for line in response.content:
                    if b'"delta"' in line:
                        first = first or time.monotonic() - started
                        result.served[workspace] += 1
                    ended = ended or b"[DONE]" in line
                failure = "" if ended else str(response.status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = type(error).__name__
        if failure:
            result.failures[failure] = result.failures.get(failure, 0) + 1
            await asyncio.sleep(0.5)
        result.completed += not failure
        return first

    async def keep_backlogged(self, workspace: str) -> None:
        """Sends chats one after the other until the load ends."""
        while time.monotonic() < self.until:
            await self.chat(workspace, self.draw_tokens())

    async def probe(self) -> None:
        """Sends short chats with pauses and measures their first tokens."""
        while time.monotonic() < self.until:
            first = await self.chat(
                self.plan.probe_workspace, self.plan.min_tokens
            )
            if first is not None:
                self.result.first_token_seconds.append(first)
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))

    async def sample_gaps(self, names: list[str]) -> None:
        """Samples the gap in service per share between workspaces."""
        while time.monotonic() < self.until:
            await asyncio.sleep(0.25)
            service = [
                self.result.served[name] / self.shares[name] for name in names
            ]
            self.result.gaps.append(max(service) - min(service))

    async def run(self) -> LoadResult:
        """Runs the load to its end."""
        plan = self.plan
        self.result.served = dict.fromkeys(plan.workspaces, 0.0)
        self.until = time.monotonic() + plan.seconds
        backlogged = [n for n in plan.workspaces if n != plan.probe_workspace]
        work = [self.probe(), self.sample_gaps(backlogged)]
        for name in backlogged:
            count = (
                plan.overload_concurrency
                if name == plan.overloading_workspace
                else plan.concurrency
            )
            work += [self.keep_backlogged(name) for _ in range(count)]
        await asyncio.gather(*work)
        return self.result
