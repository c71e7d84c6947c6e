"""Clients that press on: they use open connections until a process is gone."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable

from soak.callers import DEADLINE_SECONDS
from soak.endpoints import Endpoint
from soak.fleet import SoakFleet
from soak.operator import Operator, put_config_request
from soak.raw_connections import RawConnections, Response, http_request
from soak.record import SHARED_PART, Record, RouteKind

CLIENT_TIMEOUT_SECONDS = 6.0
MAX_PAUSE_SECONDS = 0.05
"""The next request follows the response within this time."""
KINDS = (
    RouteKind.PLAIN,
    RouteKind.PLAIN,
    RouteKind.NON_IDEMPOTENT,
    RouteKind.STREAM,
)
SPLIT_SHARE = 0.1
"""Share of the requests whose body follows their head later."""
LARGE_SHARE = 0.05
"""Share of the requests with a large body, which is sent in pieces."""
LARGE_BYTES = 200_000
PIECES = 5
CHANGE_SHARE = 0.2
"""Share of the requests to control hosts that send a configuration again while
one of them stops. At other times these would keep the log from being the same
everywhere, and disks may be lost only when it is."""


class PressingClients:
    """Sends requests to each process, also while it stops.

    Attributes:
        record: Gets an exchange for each request.
        gateways: The addresses that the gateways themselves listen on.
        operator: The operator whose last configuration is sent again.
        endpoints: The endpoints whose registrations are sent.
        is_control_stopping: Tells whether a control host stops now.
        stopped: Set at the end of the run.
    """

    def __init__(
        self,
        record: Record,
        fleet: SoakFleet,
        operator: Operator,
        endpoints: list[Endpoint],
        seed: int,
    ):
        self.record = record
        self.gateways = fleet.gateway_addresses
        self.is_control_stopping = lambda: any(
            node.is_stopping for node in fleet.controls
        )
        self.operator = operator
        self.endpoints = endpoints
        self.seed = seed
        self.rng = random.Random(f"pressing-{seed}")
        self.large = random.Random(f"large-{seed}")
        self.numbers = itertools.count(1)
        self.stopped = False

    async def run(self, gateway_clients: int, control_clients: int) -> None:
        """Runs the clients until `stopped` is set.

        Args:
            gateway_clients: Number of clients of gateways, each of one gateway.
            control_clients: The same for control hosts.
        """
        hosts = self.operator.hosts
        async with asyncio.TaskGroup() as tasks:
            for client in range(gateway_clients):
                number = client % len(self.gateways)
                connections = RawConnections(
                    self.record, "gateway", self.gateways
                )
                tasks.create_task(
                    self._press(connections, number, self._call_gateway)
                )
            for client in range(control_clients):
                number = client % len(hosts)
                connections = RawConnections(self.record, "control", hosts)
                tasks.create_task(
                    self._press(connections, number, self._call_control)
                )

    async def _press(
        self,
        connections: RawConnections,
        number: int,
        send: Callable[[RawConnections, int], Awaitable[Response | None]],
    ) -> None:
        try:
            while not self.stopped:
                await send(connections, number)
                await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_SECONDS))
        finally:
            connections.close()

    async def _call_gateway(
        self, connections: RawConnections, number: int
    ) -> Response | None:
        request_id = f"{self.seed}-p{next(self.numbers)}"
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Request-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            "Prompt-Parts": f"{SHARED_PART}:9,{request_id}:9",
        }
        kind = self.rng.choice(KINDS)
        path = f"/{kind.value}/x"
        is_large = self.large.random() < LARGE_SHARE
        content = b"?" * (LARGE_BYTES if is_large else 1)
        head, body = http_request("POST", path, headers, content)
        is_split = self.rng.random() < SPLIT_SHARE
        parts = (head, body) if is_split else (head + body,)
        if is_large:
            size = LARGE_BYTES // PIECES
            starts = range(0, LARGE_BYTES, size)
            parts = (head, *(body[start : start + size] for start in starts))
        return await connections.send(
            number,
            request_id,
            parts,
            CLIENT_TIMEOUT_SECONDS,
            self.operator.allowed_seconds(kind, DEADLINE_SECONDS),
        )

    async def _call_control(
        self, connections: RawConnections, number: int
    ) -> Response | None:
        config = self.operator.acknowledged
        may_change = config is not None and self.is_control_stopping()
        if may_change and self.rng.random() < CHANGE_SHARE:
            name = f"config {config['version']}"
            head, body = put_config_request(config)
        elif running := [one for one in self.endpoints if one.is_running]:
            endpoint = self.rng.choice(running)
            name = f"registration {endpoint.name}"
            head, body = endpoint.registration_request()
        else:
            return None
        return await connections.send(
            number, name, (head + body,), CLIENT_TIMEOUT_SECONDS
        )
