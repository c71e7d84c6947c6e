"""Clients on kept connections that a load balancer assigns to gateways."""

import asyncio
import itertools
import random

import aiohttp

from soak.callers import DEADLINE_SECONDS
from soak.endpoints import LONG_PATH
from soak.fleet import SoakFleet
from soak.operator import Operator
from soak.raw_connections import RawConnections, http_request
from soak.record import SHARED_PART, STREAM_KINDS, Record, RouteKind

CHECK_INTERVAL_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 1.0
MISSES = 2
"""A gateway that misses so many readiness checks in a row gets no new
connections until it is ready again."""
KINDS = (
    RouteKind.PLAIN,
    RouteKind.NON_IDEMPOTENT,
    RouteKind.STREAM,
    RouteKind.RESUMABLE_STREAM,
)
LONG_SHARE = 0.3
"""Share of the streams that take seconds."""
LONG_DEADLINE_SECONDS = 15.0
TIMEOUT_SLACK_SECONDS = 3.5
"""How long a client waits beyond its deadline."""
MAX_PAUSE_SECONDS = 0.2


class LoadBalancer:
    """Checks the readiness of gateways, and chooses one for a connection."""

    def __init__(self, fleet: SoakFleet):
        self.addresses = fleet.ready_addresses
        self.zones = max(1, fleet.size.zones)
        self.misses = [0] * len(self.addresses)

    async def check_repeatedly(self, session: aiohttp.ClientSession) -> None:
        """Checks all gateways once a second, until cancelled."""
        while True:
            numbers = range(len(self.addresses))
            await asyncio.gather(
                asyncio.sleep(CHECK_INTERVAL_SECONDS),
                *(self._check(session, number) for number in numbers),
            )

    async def _check(self, session: aiohttp.ClientSession, number: int) -> None:
        url = f"http://{self.addresses[number]}/readyz"
        is_ready = False
        try:
            async with session.get(url) as response:
                is_ready = response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        self.misses[number] = 0 if is_ready else self.misses[number] + 1

    def choose(self, zone: int, rng: random.Random) -> int:
        """Returns the gateway for a new connection of a zone's client."""
        numbers = range(len(self.addresses))
        nearby = [one for one in numbers if one % self.zones == zone]
        ready = [one for one in nearby if self.misses[one] < MISSES]
        if len(ready) * 2 < len(nearby):
            ready = nearby
        return rng.choice(ready)


class BalancedClients:
    """Sends short and long requests on connections that are kept.

    Attributes:
        record: Gets an exchange for each request.
        operator: Knows the timeouts of routes.
        stopped: Set at the end of the run.
    """

    def __init__(
        self, record: Record, fleet: SoakFleet, operator: Operator, seed: int
    ):
        self.record = record
        self.operator = operator
        self.fleet = fleet
        self.balancer = LoadBalancer(fleet)
        self.seed = seed
        self.rng = random.Random(f"balanced-{seed}")
        self.numbers = itertools.count(1)
        self.stopped = False

    async def run(self, count: int) -> None:
        """Runs the clients until `stopped` is set.

        Args:
            count: Number of clients, evenly spread over the zones.
        """
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_SECONDS)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            asyncio.TaskGroup() as tasks,
        ):
            checking = tasks.create_task(
                self.balancer.check_repeatedly(session)
            )
            clients = (self._call_repeatedly(n) for n in range(count))
            await asyncio.gather(*clients)
            checking.cancel()

    async def _call_repeatedly(self, client: int) -> None:
        connections = RawConnections(
            self.record, "gateway", self.fleet.gateway_addresses
        )
        zone = client % self.balancer.zones
        try:
            while not self.stopped:
                kept = connections.open_numbers()
                number = kept[0] if kept else None
                if number is None:
                    number = self.balancer.choose(zone, self.rng)
                await self._call(connections, number)
                await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_SECONDS))
        finally:
            connections.close()

    async def _call(self, connections: RawConnections, number: int) -> None:
        request_id = f"{self.seed}-b{next(self.numbers)}"
        kind = self.rng.choice(KINDS)
        is_long = kind in STREAM_KINDS and self.rng.random() < LONG_SHARE
        deadline = LONG_DEADLINE_SECONDS if is_long else DEADLINE_SECONDS
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Request-Deadline-Ms": str(int(deadline * 1000)),
            "Prompt-Parts": f"{SHARED_PART}:9,{request_id}:9",
        }
        path = f"/{kind.value}/{LONG_PATH if is_long else 'x'}"
        parts = http_request("POST", path, headers, b"?")
        await connections.send(
            number,
            request_id,
            [b"".join(parts)],
            deadline + TIMEOUT_SLACK_SECONDS,
            self.operator.allowed_seconds(kind, deadline),
        )
