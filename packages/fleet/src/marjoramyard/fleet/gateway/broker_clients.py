"""The broker clients of all services with engines."""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import aiohttp

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.gateway.broker_client import (
    NO_FORWARDING,
    BrokerClient,
    ForwardingInfo,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.lag import LoopLag
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.metrics import Metrics


class BrokerClients:
    """The broker clients of all services with engines."""

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
        tasks.spawn(self.lag.watch())
        view.on_config.append(self._on_config)

    def _on_config(self) -> None:
        for name, service in self.view.table.services.items():
            if service.engine is not None:
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
            self.tasks.spawn(client.run(service))
            self.tasks.spawn(client.send_heartbeats_forever())
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
