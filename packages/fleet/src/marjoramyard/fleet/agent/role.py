"""The agent role: one process next to each endpoint."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

from aiohttp import web

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.fleet.agent.attempt_service import AttemptService
from marjoramyard.fleet.agent.endpoint import Endpoint
from marjoramyard.fleet.agent.orders import OrderForwarder
from marjoramyard.fleet.agent.slot_allocator import SlotAllocator
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import Empty, EndpointAnnouncement
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_WATCH_INTERVAL_SECONDS = 0.5
_DRAIN_POLL_SECONDS = 0.05


class AgentRole:
    """The agent of one endpoint.

    Entries send their requests to the endpoint through its agent; gateways
    send theirs to the endpoint directly.
    """

    def __init__(self, app: Application):
        self.app = app
        self.leaving = False
        self.endpoint = Endpoint(app.settings.max_slots)
        self.control = ControlClient(app.client, app.settings.control_hosts)
        self.membership = RouterMembership(
            self.control, app.metrics, self.row, keeps_api_keys=False
        )
        self.slot_allocator = SlotAllocator(
            app, self.membership, self.endpoint, lambda: self.leaving
        )
        self.attempt_service = AttemptService(
            app,
            self.membership,
            self.control,
            self.endpoint,
            self.slot_allocator,
        )
        self.order_forwarder = OrderForwarder(app, self.endpoint)
        self.membership.order_listeners.append(self.order_forwarder.on_order)

    def row(self) -> DirectoryRow:
        """Returns the row that the agent announces to the control hosts.

        Its state is "down" while the endpoint is not ready or its zone is
        evacuated.
        """
        settings, announced = self.app.settings, self.endpoint.announced
        usable = self.endpoint.is_ready and not self.slot_allocator.is_evacuated
        state = "ready" if usable else "down"
        if self.leaving or (
            announced is not None and announced.state == "leaving"
        ):
            state = "leaving"
        return DirectoryRow(
            self.app.incarnation,
            "agent",
            settings.zone,
            settings.advertised_address,
            announced.service if announced else "",
            state,
            self.endpoint.slot_limit.limit if announced else 0,
            announced.name if announced else "",
            announced.checks_fencing if announced else False,
        )

    def start(self) -> None:
        """Starts the background tasks."""
        for loop in (
            self.membership.run,
            self.slot_allocator.maintain,
            self.attempt_service.sweep,
            partial(
                self.order_forwarder.run, self.attempt_service.http_session
            ),
            self._watch_endpoint,
        ):
            self.app.tasks.spawn_forever(loop)

    async def _watch_endpoint(self) -> None:
        """Announces the row when the endpoint's readiness changes."""
        was_ready = False
        while True:
            await asyncio.sleep(_WATCH_INTERVAL_SECONDS)
            if self.endpoint.is_ready != was_ready:
                was_ready = not was_ready
                logger.info("endpoint_ready", ready=was_ready)
                self.membership.announce_now()
                self.slot_allocator.grant_free_slots()

    def endpoint_routes(self) -> list[web.RouteDef]:
        """Returns the routes for the endpoint."""
        return [web.post("/announce", self.on_announce)]

    async def on_announce(self, request: web.Request) -> web.Response:
        """Applies an announcement of the endpoint to its agent.

        If the endpoint restarted or changed its state, the order forwarder
        is woken and the agent's row is announced to the control hosts.
        Slots are granted as the limit may have grown.
        """
        announcement = await read_message(request, EndpointAnnouncement)
        if self.endpoint.on_announcement(announcement):
            self.order_forwarder.wake.set()
            self.membership.announce_now()
        self.slot_allocator.grant_free_slots()
        return json_response(Empty())

    def is_ready(self) -> bool:
        """Returns whether the agent accepts attempts."""
        return self.slot_allocator.accepts_work()

    async def drain(self) -> None:
        """Refuses new attempts and waits until the last one is delivered.

        All attempts have then ended, and no entry is reading their frames;
        an earlier exit would truncate a response.
        """
        self.leaving = True
        self.membership.announce_now()
        while self.slot_allocator.running or any(
            attempt.reader is not None
            for attempt in self.attempt_service.attempts.values()
        ):
            await asyncio.sleep(_DRAIN_POLL_SECONDS)


@asynccontextmanager
async def agent_role(app: Application) -> AsyncIterator[AgentRole]:
    """Runs an agent for the duration of the context."""
    role = AgentRole(app)
    settings = app.settings
    try:
        async with app.serve(settings.internal, role.attempt_service.routes()):
            async with app.serve(
                settings.endpoint_listen, role.endpoint_routes(), internal=False
            ):
                role.start()
                yield role
    finally:
        await role.attempt_service.close()


def setup(app: Application) -> None:
    """Registers the role."""
    app.add_role("agent", agent_role)
