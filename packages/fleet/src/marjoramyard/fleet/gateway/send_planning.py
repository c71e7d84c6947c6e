"""Chooses the endpoint of each send of a request."""

import random
import time

import aiohttp
import msgspec

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.cold_start import GRANT_VALID_MS
from marjoramyard.coordination.placement.local_placement import place_prompt
from marjoramyard.coordination.routing.config import Service
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.attempts import SendPlan
from marjoramyard.fleet.gateway.broker_client import BrokerClient
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.broker_protocol import PlaceGrant, PlaceRefusal
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.crash_detection import CrashDetector
from marjoramyard.fleet.gateway.delivery import ResponseDelivery
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.gateway.endpoint_notices import EndpointNotices
from marjoramyard.fleet.gateway.engine_load import (
    EngineLoads,
    estimate_prefill_rate,
)
from marjoramyard.fleet.gateway.grant_pace import GrantPaces
from marjoramyard.fleet.gateway.request_trace import (
    PlacedBy,
    RequestTrace,
    Unplaceable,
)
from marjoramyard.fleet.gateway.run_failures import (
    LEAVING_RETRY_SECONDS,
    late_failure,
    no_endpoint_failure,
    pace_failure,
)
from marjoramyard.fleet.gateway.stream_origins import StreamOrigins
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests
from marjoramyard.kernel.errors import FleetError
from marjoramyard.kernel.metrics import Metrics

MAX_CONNECT_ATTEMPTS = 4
"""Connection attempts per request, each to another endpoint if there is one.
Each takes half a second at the most, and callers wait for seconds."""


class RequestRunContext(msgspec.Struct, frozen=True):
    """State that all request runs of a gateway share.

    Attributes:
        view: The gateway's view of the fleet.
        session: The HTTP session for requests to endpoints.
        brokers: The clients of the services' brokers.
        cold_starts: The limits of endpoints that have just started.
        loads: The requests that this gateway has in flight at each engine.
        notices: What endpoints say of themselves in their responses.
        suspects: The requests that may crash endpoints.
        crashes: Detects endpoints that have died.
        names: The header names of the dialect.
        metrics: The metrics of the process.
        paces: What brokers have recently granted this gateway.
        origins: What began the streams that callers resume.
        outlasting: Refuses requests that may outlast a stopping gateway.
    """

    view: FleetView
    session: aiohttp.ClientSession
    brokers: BrokerClients
    cold_starts: ColdStarts
    loads: EngineLoads
    notices: EndpointNotices
    suspects: GatewaySuspects
    crashes: CrashDetector
    names: HeaderNames
    metrics: Metrics
    origins: StreamOrigins
    paces: GrantPaces = msgspec.field(default_factory=GrantPaces)
    outlasting: OutlastingRequests = msgspec.field(
        default_factory=lambda: OutlastingRequests(LEAVING_RETRY_SECONDS)
    )


class SendProgress(msgspec.Struct):
    """What has become of the sends of one request so far.

    Attributes:
        tried: Endpoints that the request was sent to or whose grant it
            returned.
        sends: Failed sends that may have reached an endpoint.
        connect_failures: Sends of which no byte reached an endpoint.
        may_have_run: Whether an endpoint may have run the request.
        may_have_run_before: The value of `may_have_run` before the current
            send.
        sent_at: When the current send began, on the monotonic clock in
            seconds.
        answer_at: When data of its response arrived first, on the same clock;
            None if none has.
        lost_with: The lifetimes of the endpoints to which connections were
            lost.
        version: The software version that has begun the stream; None if none
            has.
    """

    tried: set[str] = set()
    sends: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    may_have_run_before: bool = False
    sent_at: float = 0.0
    answer_at: float | None = None
    lost_with: tuple[str, ...] = ()
    version: str | None = None


class SendPlanner:
    """Chooses the endpoint of each send of one request."""

    def __init__(
        self,
        context: RequestRunContext,
        caller: CallerRequest,
        delivery: ResponseDelivery,
        trace: RequestTrace,
        service: Service,
        progress: SendProgress,
    ):
        self.context = context
        self.view = context.view
        self.caller = caller
        self.delivery = delivery
        self.trace = trace
        self.service = service
        self.progress = progress

    def candidates(self) -> list[Registration]:
        """Returns the endpoints that may get the request.

        Raises:
            FleetError: There is none.
        """
        candidates = self.view.sendable(self.service.name, self.excluded())
        if not candidates:
            candidates = self.view.sendable(
                self.service.name, self.other_versions()
            )
            if (
                not candidates
                or self.progress.sends
                or self.progress.connect_failures >= MAX_CONNECT_ATTEMPTS
            ):
                raise self.no_endpoint()
        return candidates

    def other_versions(self) -> set[str]:
        """Returns the endpoints that must not get the rest of the stream."""
        version = self.progress.version
        if version is None:
            return set()
        return {
            registration.endpoint
            for registration in self.view.registrations.usable(
                self.service.name
            )
            if registration.software_version != version
        }

    def excluded(self) -> set[str]:
        """Returns the endpoints that must not get the request."""
        return self.progress.tried | self.other_versions()

    def _has_version(self, registration: Registration) -> bool:
        version = self.progress.version
        return version is None or registration.software_version == version

    def _is_version_gone(self) -> bool:
        """Whether no endpoint of the stream's version accepts requests."""
        return not any(
            self._has_version(registration)
            and not self.view.is_leaving(registration)
            for registration in self.view.registrations.usable(
                self.service.name
            )
        )

    def _why_unplaceable(self) -> Unplaceable:
        service = self.service.name
        if self.progress.version is not None and self._is_version_gone():
            return Unplaceable.VERSION_GONE
        if self.view.is_evacuated(service):
            return Unplaceable.EVACUATED
        if self.view.pause_seconds(service):
            return Unplaceable.PAUSED
        return Unplaceable.NONE_READY

    def no_endpoint(self, why: Unplaceable | None = None) -> FleetError:
        """Returns the error of a request for which there is no endpoint."""
        why = why or self._why_unplaceable()
        self.trace.unplaceable = why
        pause_seconds = self.view.pause_seconds(self.service.name)
        return FleetError(
            no_endpoint_failure(self.progress.may_have_run, why, pause_seconds)
        )

    async def plan(self) -> SendPlan:
        """Plans the next send.

        Raises:
            FleetError: The request can't be placed, or not in time.
        """
        candidates = self.candidates()
        if not self.caller.parts or self.service.engine is None:
            chosen = self._least_loaded(self._placeable(candidates))
            self.context.cold_starts.record(self.service, chosen.endpoint)
            return SendPlan(chosen, "", self._last_event_id())
        client = self.context.brokers.client_for(self.service.name)
        started_at = time.monotonic()
        broker_number, reply = await client.place(
            self.caller, self.service, self.excluded()
        )
        age = time.monotonic() - started_at
        self.trace.wait_ms += age * 1000
        self._record_reply(reply, age)
        if isinstance(reply, PlaceRefusal):
            self.trace.predicted_ms = round(reply.predicted_ms)
            raise FleetError(late_failure(reply, self.progress.may_have_run))
        if reply is None:
            # Endpoints may have changed during the wait for the broker.
            plan = self._plan_locally(self.candidates(), broker_number)
            self._check_pace(client, plan)
        else:
            plan = self.plan_granted(reply, broker_number, age * 1000)
        self._record_placement(plan)
        return plan

    def _record_reply(
        self, reply: PlaceGrant | PlaceRefusal | None, waited: float
    ) -> None:
        """Records what shows the pace of the broker.

        Args:
            reply: Its reply, if any.
            waited: How long the request waited for it, in seconds.
        """
        pace = self.context.paces.pace_of(self.service.name)
        if isinstance(reply, PlaceGrant):
            pace.on_granted(reply.tokens, waited, time.monotonic())
        elif isinstance(reply, PlaceRefusal):
            pace.on_refused(time.monotonic())

    def _check_pace(self, client: BrokerClient, plan: SendPlan) -> None:
        """Checks that a send without a broker is within the broker's last pace.

        Raises:
            FleetError: It is not; the request is not sent.
        """
        if client.is_connected:
            return
        workspace = self.caller.workspace
        pace = self.context.paces.pace_of(self.service.name)
        if pace.admits(
            workspace.name if workspace is not None else "",
            plan.prefill_tokens,
            time.monotonic(),
        ):
            return
        self.trace.unplaceable = Unplaceable.OVER_PACE
        self.context.metrics.count("pace_refusals")
        raise FleetError(pace_failure(self.progress.may_have_run))

    def _record_placement(self, plan: SendPlan) -> None:
        by = PlacedBy.BROKER if plan.is_granted else PlacedBy.GATEWAY
        self.trace.placed_by = by
        self.context.metrics.count("placements", by=by.value)

    def plan_granted(
        self, reply: PlaceGrant, broker_number: int, age_ms: float
    ) -> SendPlan:
        """Plans a send by the broker's grant, if that may still be used.

        Args:
            reply: The grant.
            broker_number: The number of the request.
            age_ms: The time since the grant was requested.
        """
        known = self.view.registrations.by_endpoint
        registration = known.get(reply.endpoint)
        has_expired = reply.is_cold and age_ms > GRANT_VALID_MS
        if (
            registration is None
            or has_expired
            or not self._has_version(registration)
            or not self.view.may_send_to(registration)
        ):
            # The broker may not know yet that the endpoint is draining or
            # pausing, or its zone evacuated.
            self.context.brokers.client_for(self.service.name).return_grant(
                broker_number
            )
            self.progress.tried.add(reply.endpoint)
            return self._plan_locally(self.candidates(), broker_number)
        source = known.get(reply.fetch_from)
        may_fetch = source is not None and self.view.may_send_to(source)
        return SendPlan(
            registration,
            source.address if may_fetch else "",
            self._last_event_id(),
            reply.tokens,
            broker_number,
            True,
        )

    def _least_loaded(self, candidates: list[Registration]) -> Registration:
        loads = self.context.loads
        return min(
            candidates,
            key=lambda registration: (
                loads.load_of(registration.endpoint).running,
                random.random(),
            ),
        )

    def _placeable(self, candidates: list[Registration]) -> list[Registration]:
        """Returns the endpoints that may be chosen without a broker."""
        found = self.context.cold_starts.placeable(self.service, candidates)
        if not found:
            raise self.no_endpoint(Unplaceable.COLD)
        return found

    def _plan_locally(
        self, candidates: list[Registration], broker_number: int
    ) -> SendPlan:
        """Places a prompt by this gateway's own requests in flight."""
        candidates = self._placeable(candidates)
        loads = self.context.loads
        loads.rate = estimate_prefill_rate(
            self.view.table.config, len(candidates)
        )
        profile = self.service.engine
        fetch_ms = 0.0
        if profile.link_mbps > 0:
            fetch_ms = profile.token_bytes * 8 / profile.link_mbps / 1000
        placement = place_prompt(
            self.caller.parts,
            [
                loads.load_of(registration.endpoint)
                for registration in candidates
            ],
            fetch_ms,
        )
        by_id = {
            registration.endpoint: registration for registration in candidates
        }
        source = by_id.get(placement.fetch_from)
        return SendPlan(
            by_id[placement.endpoint],
            source.address if source is not None else "",
            self._last_event_id(),
            placement.prefill_tokens,
            broker_number,
        )

    def _last_event_id(self) -> str:
        return self.delivery.events.last_id or self.caller.last_event
