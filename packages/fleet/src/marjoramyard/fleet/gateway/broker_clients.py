"""The broker clients of all services that have a broker."""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from functools import partial

import aiohttp

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.broker_client import (
    NO_FORWARDING,
    BrokerClient,
    ForwardingInfo,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    BegunStream,
    StreamReply,
    StreamsBegun,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.lag import LoopLag
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.ids import StreamKey
from marjoramyard.kernel.metrics import Metrics


class BrokerClients:
    """The broker clients of all services that have a broker.

    These are services with engines, and others whose streams may be resumed.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        view: FleetView,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        zone: str = "",
        forwarding: ForwardingInfo = NO_FORWARDING,
    ):
        self.zone = zone
        self.forwarding = forwarding
        self.needs_peers: Callable[[], bool] = lambda: False
        self.excess: Callable[[], float] = lambda: 0.0
        self.is_leaving: Callable[[], bool] = lambda: False
        self.tasks = tasks
        self.view = view
        self.session = session
        self.clients: dict[str, BrokerClient] = {}
        self.lag = LoopLag(metrics)
        tasks.spawn_forever(self.lag.watch)
        view.on_config.append(self._on_config)

    def _on_config(self) -> None:
        for name, service in self.view.table.services.items():
            is_resumable = name in self.view.table.resumable_services
            if service.engine is not None or is_resumable:
                self.client_for(name)

    def client_for(self, service: str) -> BrokerClient:
        """Returns the client of a service's broker; creates it if needed."""
        client = self.clients.get(service)
        if client is None:
            client = BrokerClient(
                self.view,
                self.session,
                self.lag,
                self.zone,
                self.forwarding,
            )
            client.needs_peers = lambda: self.needs_peers()
            client.excess = lambda: self.excess()
            client.is_leaving = lambda: self.is_leaving()
            self.clients[service] = client
            self.tasks.spawn_forever(partial(client.run, service))
            self.tasks.spawn_forever(client.send_heartbeats_forever)
        return client

    def on_pause(self, endpoint: Registration, seconds: float) -> None:
        """Tells a broker of a pause that an endpoint has asked for."""
        client = self.clients.get(endpoint.service)
        if client is not None:
            client.on_pause(endpoint, seconds)

    def on_leaving(self, endpoint: Registration) -> None:
        """Tells a broker that an endpoint has said that it is leaving."""
        client = self.clients.get(endpoint.service)
        if client is not None:
            client.on_leaving(endpoint)

    def report_stream(self, service: str, stream: BegunStream) -> None:
        """Tells a broker what has begun a stream."""
        client = self.clients.get(service)
        if client is not None and client.knows_streams:
            client.streams.send(StreamsBegun(service, [stream]))

    async def query_stream(
        self, service: str, key: StreamKey
    ) -> StreamReply | None:
        """Asks a broker for a stream; returns None if it can't be asked."""
        client = self.clients.get(service)
        if client is None or not client.knows_streams:
            return None
        return await client.streams.query(service, key)

    def peers(self) -> dict[str, float]:
        """Returns the gateways that have room: their cores by address.

        What lost brokers have named counts only if no other has named any.
        """
        connected = [c for c in self.clients.values() if c.is_connected]
        return _known_peers(connected) or _known_peers(self.clients.values())


def _known_peers(clients: Iterable[BrokerClient]) -> dict[str, float]:
    peers: dict[str, float] = {}
    for client in clients:
        peers |= client.known_peers()
    return peers


@asynccontextmanager
async def open_broker_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Opens the HTTP session for connections to brokers."""
    async with aiohttp.ClientSession() as session:
        yield session
