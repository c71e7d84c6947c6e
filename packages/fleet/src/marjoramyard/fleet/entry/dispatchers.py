"""The services' dispatchers of one entry, and the agents that each uses."""

import asyncio
import random

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.entry.service_dispatcher import ServiceDispatcher
from marjoramyard.fleet.util.tasks import log_failure
from marjoramyard.kernel.ids import ServiceId


class Dispatchers:
    """The dispatchers of one entry, by service."""

    def __init__(self, app: Application):
        self.app = app
        self.dispatchers: dict[ServiceId, ServiceDispatcher] = {}
        app.metrics.gauge("waiting_requests", self._waiting_requests)
        app.metrics.gauge("known_agents", self._known_agents)

    def _waiting_requests(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (dispatcher.queue.count(), {"service": name})
            for name, dispatcher in self.dispatchers.items()
        ]

    def _known_agents(self) -> list[tuple[float, dict[str, str]]]:
        return [
            (
                1.0,
                {
                    "service": name,
                    "endpoint": view.row.endpoint,
                    "state": view.row.state,
                },
            )
            for name, dispatcher in self.dispatchers.items()
            for view in dispatcher.agents.values()
        ]

    def get(self, service: ServiceId) -> ServiceDispatcher:
        """Returns a service's dispatcher, which is created if needed."""
        if service not in self.dispatchers:
            self.dispatchers[service] = ServiceDispatcher(self.app, service)
        return self.dispatchers[service]

    def set_agents(self, rows: list[DirectoryRow]) -> None:
        """Distributes the directory's agents to the services' dispatchers."""
        by_service: dict[ServiceId, list[DirectoryRow]] = {
            name: [] for name in self.dispatchers
        }
        for row in rows:
            by_service.setdefault(ServiceId(row.service), []).append(row)
        for service, service_rows in by_service.items():
            if service:
                used = self._subset(service_rows)
                others = [row for row in service_rows if row not in used]
                self.get(service).set_agents(used, others)

    def _subset(self, rows: list[DirectoryRow]) -> list[DirectoryRow]:
        """Picks the agents that this entry uses.

        The subset bounds the number of connections. Rendezvous hashing
        spreads the entries evenly over the agents and changes few of the
        pairs when an agent joins or leaves. Half of the subset comes from
        the entry's own availability zone if it has enough agents.
        """
        limit = self.app.settings.agents_per_service
        if not limit or len(rows) <= limit:
            return rows
        name, zone = self.app.settings.name, self.app.settings.zone

        def rank(row: DirectoryRow) -> float:
            return random.Random(f"{name} {row.incarnation}").random()

        near = sorted((r for r in rows if r.zone == zone), key=rank)
        near = near[: limit // 2]
        rest = sorted((r for r in rows if r not in near), key=rank)
        return near + rest[: limit - len(near)]

    async def refresh_forever(self) -> None:
        """Repeats offers to agents until cancelled."""
        period = self.app.settings.offer_seconds
        while True:
            await asyncio.sleep(period / 4)
            for service, dispatcher in list(self.dispatchers.items()):
                with log_failure("offer", service=service):
                    dispatcher.refresh(period)
