"""The agent role: one process beside each endpoint."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.fleet.agent.attempt_service import AttemptService
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.orders import OrderForwarder
from marjoramyard.fleet.agent.slot_allocator import SlotAllocator
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import Membership
from marjoramyard.fleet.messages import Announcement, Empty
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_WATCH_SECONDS = 0.5


class AgentRole:
    """The only way to its endpoint."""

    def __init__(self, app: Application):
        self.app = app
        self.leaving = False
        self.endpoint = Endpoint(app.settings.max_slots)
        self.control = ControlClient(app.client, app.settings.control_hosts)
        self.membership = Membership(
            self.control, app.metrics, self.row, keeps_keys=False
        )
        self.slots = SlotAllocator(
            app, self.membership, self.endpoint, lambda: self.leaving
        )
        self.runs = AttemptService(
            app, self.membership, self.control, self.endpoint, self.slots
        )
        self.orders = OrderForwarder(app, self.endpoint)
        self.membership.on_order.append(self.orders.learn)

    def row(self) -> DirectoryRow:
        """Returns what the directory should say of this agent."""
        settings, word = self.app.settings, self.endpoint.announced
        state = "ready" if self.endpoint.is_ready else "down"
        if self.leaving or (word is not None and word.state == "leaving"):
            state = "leaving"
        return DirectoryRow(
            self.app.incarnation,
            "agent",
            settings.zone,
            settings.advertised_address,
            word.service if word else "",
            state,
            self.endpoint.slots.limit if word else 0,
            word.name if word else "",
            word.checks_fencing if word else False,
        )

    def start(self) -> None:
        """Starts what runs in the background."""
        for work in (
            self.membership.run(),
            self.slots.maintain(),
            self.runs.sweep(),
            self.orders.run(self.runs.session),
            self._watch_endpoint(),
        ):
            self.app.tasks.spawn(work)

    async def _watch_endpoint(self) -> None:
        """Tells the directory when the endpoint falls silent or comes back."""
        known = False
        while True:
            await asyncio.sleep(_WATCH_SECONDS)
            if self.endpoint.is_ready != known:
                known = not known
                logger.info("endpoint_ready", ready=known)
                self.membership.announce_soon()

    def endpoint_routes(self) -> list[web.RouteDef]:
        """Returns the service to the endpoint."""
        return [web.post("/announce", self.on_announce)]

    async def on_announce(self, request: web.Request) -> web.Response:
        """Takes in the endpoint's announcement."""
        word = await read_message(request, Announcement)
        if self.endpoint.announce(word):
            self.orders.wake.set()
            self.membership.announce_soon()
        self.slots.grant_free_slots()
        return json_response(Empty())

    def is_ready(self) -> bool:
        """Returns whether new work may start here."""
        return self.slots.accepts_work()

    async def drain(self) -> None:
        """Takes no new work, and waits for all attempts and their readers.

        An ended attempt whose last frames no entry has fetched yet still
        counts: exiting then would cut an answer that is whole.
        """
        self.leaving = True
        self.membership.announce_soon()
        while self.slots.running or any(
            attempt.reader is not None
            for attempt in self.runs.attempts.values()
        ):
            await asyncio.sleep(0.05)


@asynccontextmanager
async def agent_role(app: Application) -> AsyncIterator[AgentRole]:
    """Runs an agent."""
    role = AgentRole(app)
    settings = app.settings
    try:
        async with app.serve(settings.internal, role.runs.routes()):
            async with app.serve(
                settings.endpoint_listen, role.endpoint_routes(), internal=False
            ):
                role.start()
                yield role
    finally:
        await role.runs.close()


def setup(app: Application) -> None:
    """Registers the role."""
    app.add_role("agent", agent_role)
