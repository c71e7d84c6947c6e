"""The entry role: accepts callers' requests and queues them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.entry.admission import Admission
from marjoramyard.fleet.entry.dispatchers import Dispatchers
from marjoramyard.fleet.entry.request_handler import (
    RequestHandler,
    RequestMetrics,
)
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import (
    Empty,
    FreeSlotsMessage,
    GrantMessage,
    GrantReply,
)
from marjoramyard.fleet.paths import FREE_PATH, GRANT_PATH
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests
from marjoramyard.fleet.util.rpc import json_response, read_message
from marjoramyard.kernel.errors import (
    FailureKind,
    FleetError,
    Outcome,
    raise_failure,
)
from marjoramyard.kernel.ids import ServiceId

_DRAIN_POLL_SECONDS = 0.05
_LEAVING_RETRY_SECONDS = 1.0
"""`Retry-After` while draining."""
_PARSER_LIMIT_FACTOR = 4
"""The HTTP parser accepts headers of up to this multiple of the limit, so
that they are refused with a typed error instead of the library's."""


class EntryRole:
    """One entry host.

    Attributes:
        active: Number of requests being handled.
        leaving: The entry is draining and accepts no new request.
        outlasting: Refuses requests that may outlast a draining entry.
    """

    def __init__(self, app: Application):
        self.app = app
        self.active = 0
        self.leaving = False
        self.outlasting = OutlastingRequests(_LEAVING_RETRY_SECONDS)
        self.control = ControlClient(app.client, app.settings.control_hosts)
        self.membership = RouterMembership(self.control, app.metrics, self.row)
        self.dispatchers = Dispatchers(app)
        self.admission = Admission(
            self.membership, app.settings.max_header_bytes
        )
        self.handler = RequestHandler(
            app,
            self.membership,
            self.control,
            self.dispatchers,
            self.outlasting,
        )
        self.metrics = RequestMetrics(app)
        self.membership.agents_listeners.append(self._on_agents)

    def _on_agents(self) -> None:
        self.dispatchers.set_agents(list(self.membership.agents.values()))

    def row(self) -> DirectoryRow:
        """Returns the row that the entry announces to the control hosts."""
        settings = self.app.settings
        return DirectoryRow(
            self.app.incarnation,
            "entry",
            settings.zone,
            settings.advertised_address,
            state="leaving" if self.leaving else "ready",
        )

    def start(self) -> None:
        """Starts the background tasks."""
        self.app.tasks.spawn_forever(self.membership.run)
        self.app.tasks.spawn_forever(self.dispatchers.refresh_forever)

    # Routes.

    def caller_routes(self) -> list[web.RouteDef]:
        """Returns the routes for callers."""
        return [web.route("*", "/{path:.*}", self.on_request)]

    def internal_routes(self) -> list[web.RouteDef]:
        """Returns the routes for agents."""
        return [
            web.post(GRANT_PATH, self.on_grant),
            web.post(FREE_PATH, self.on_free),
        ]

    async def on_free(self, request: web.Request) -> web.Response:
        """Applies an agent's report of free slots."""
        message = await read_message(request, FreeSlotsMessage)
        self.dispatchers.get(ServiceId(message.service)).on_free(message)
        return json_response(Empty())

    async def on_grant(self, request: web.Request) -> web.Response:
        """Replies whether an agent's grant of a slot is used."""
        message = await read_message(request, GrantMessage)
        dispatcher = self.dispatchers.get(ServiceId(message.service))
        if not self.membership.holds_lease():
            return json_response(GrantReply(False))
        return json_response(dispatcher.on_grant(message))

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        """Admits a caller's request and returns the response.

        Raises:
            FleetError: The request is refused or has failed.
        """
        if self.leaving:
            raise_failure(
                FailureKind.LEAVING,
                "this entry is being stopped; resend the request to another",
                retry_after=_LEAVING_RETRY_SECONDS,
            )
        self.active += 1
        try:
            return await self._serve(request)
        finally:
            self.active -= 1

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        try:
            # Their deadline is known once they have been read.
            async with self.outlasting.refusing(float("inf")):
                admitted = await self.admission.admit(request)
        except FleetError as error:
            self.app.metrics.count("refusals", kind=error.failure.code)
            raise
        outcome = "caller-left"
        try:
            response = await self.handler.serve(admitted)
            outcome = Outcome.COMPLETE.value
            return response
        except FleetError as error:
            outcome = error.failure.outcome
            raise
        finally:
            self.metrics.record(admitted, outcome)

    def is_ready(self) -> bool:
        """Returns whether load balancers may send requests to this entry."""
        return self.membership.holds_lease() and not self.leaving

    async def drain(self) -> None:
        """Refuses new requests and waits until the active ones have ended."""
        self.leaving = True
        self.outlasting.stop(self.app.ends_at)
        self.membership.announce_now()
        while self.active:
            await asyncio.sleep(_DRAIN_POLL_SECONDS)


@asynccontextmanager
async def entry_role(app: Application) -> AsyncIterator[EntryRole]:
    """Runs an entry for the duration of the context."""
    role = EntryRole(app)
    settings = app.settings
    async with app.serve(settings.internal, role.internal_routes()):
        async with app.serve(
            settings.listen,
            role.caller_routes(),
            internal=False,
            max_header=_PARSER_LIMIT_FACTOR * settings.max_header_bytes,
            answers_half_closed=True,
        ):
            role.start()
            yield role


def setup(app: Application) -> None:
    """Registers the role."""
    app.add_role("entry", entry_role)
