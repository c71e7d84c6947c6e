"""One request's way: where it is sent, what a failed send means."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.coordination.placement.local_placement import place_prompt
from marjoramyard.coordination.routing.config import Service
from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.gateway.admitting import CallerRequest
from marjoramyard.fleet.gateway.attempts import (
    SendFailedError,
    SendOutcome,
    SendPlan,
    sending,
)
from marjoramyard.fleet.gateway.broker_link import BrokerLinks
from marjoramyard.fleet.gateway.brokering import (
    GrantPlace,
    RefusePlace,
    Running,
)
from marjoramyard.fleet.gateway.delivery import Delivery
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.gateway.loads import Flight, Loads, reading_rate
from marjoramyard.fleet.gateway.story import PlacedBy, Story
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.spread import spread
from marjoramyard.kernel.errors import (
    Failure,
    FleetError,
    Kind,
    Outcome,
    failure,
)
from marjoramyard.kernel.metrics import Metrics

FULL_RETRY_SECONDS = 0.4
"""Where all endpoints are full: some requests' worth of reading."""
MAX_CONNECT_TRIES = 4
"""Each takes half a second at the most; a caller's patience is seconds."""
MIN_RETRY_SECONDS = 0.15
"""A caller that is refused comes back no sooner than this."""


class RunTools(msgspec.Struct, frozen=True):
    """What all runs of a gateway share.

    Attributes:
        view: What is known of the fleet.
        session: Connections to endpoints.
        brokers: Links to the services' brokers.
        loads: What this gateway has in flight.
        names: The headers' names.
        metrics: The instruments of the process.
    """

    view: FleetView
    session: aiohttp.ClientSession
    brokers: BrokerLinks
    loads: Loads
    names: HeaderNames
    metrics: Metrics


class Run:
    """The sends of one request until it has its answer."""

    def __init__(
        self,
        tools: RunTools,
        caller: CallerRequest,
        delivery: Delivery,
        story: Story,
        service: Service,
        budget: RetryBudget,
    ):
        self.tools = tools
        self.view = tools.view
        self.caller = caller
        self.delivery = delivery
        self.story = story
        self.service = service
        self.budget = budget
        self.tried: set[str] = set()
        self.sends = 0
        self.connects = 0
        self.may_have_run = False
        self.had_run = False

    async def to_end(self) -> web.StreamResponse:
        """Sends until there is an answer or nothing more may be tried.

        Raises:
            FleetError: There is none; says whether the request has run.
        """
        while True:
            words = self._candidates()
            plan = await self._plan(words)
            try:
                return await self._send(plan)
            except SendFailedError as error:
                self._after(plan, error)

    def _candidates(self) -> list[Registration]:
        words = self.view.usable(self.service.name, self.tried)
        if not words:
            words = self.view.usable(self.service.name, set())
            if not words or self.sends or self.connects >= MAX_CONNECT_TRIES:
                raise FleetError(self._nowhere())
        return words

    async def _plan(self, words: list[Registration]) -> SendPlan:
        if not self.caller.parts or self.service.engine is None:
            return SendPlan(self._least_loaded(words), "", self._last_event())
        link = self.tools.brokers.link(self.service.name)
        began = time.monotonic()
        number, told = await link.place(self.caller, self.service, self.tried)
        self.story.wait_ms += (time.monotonic() - began) * 1000
        if isinstance(told, RefusePlace):
            self.story.predicted_ms = round(told.predicted_ms)
            raise FleetError(self._too_late(told))
        if told is None:
            plan = self._plan_alone(words, number)
        else:
            plan = self._plan_granted(told, number)
        self._note_placement(plan)
        return plan

    def _note_placement(self, plan: SendPlan) -> None:
        by = PlacedBy.BROKER if plan.is_granted else PlacedBy.GATEWAY
        self.story.placed_by = by
        self.tools.metrics.count("placements", by=by.value)

    def _plan_granted(self, told: GrantPlace, number: int) -> SendPlan:
        known = self.view.registrations.by_endpoint
        word = known.get(told.endpoint)
        if word is None or word.state is not EndpointState.READY:
            # The broker has not heard yet that it leaves. The request goes
            # elsewhere: a leaving endpoint gets no new work.
            self.tools.brokers.link(self.service.name).unused(number)
            self.tried.add(told.endpoint)
            return self._plan_alone(self._candidates(), number)
        source = known.get(told.fetch_from)
        return SendPlan(
            word,
            source.address if source is not None else "",
            self._last_event(),
            told.tokens,
            number,
            True,
        )

    def _too_late(self, told: RefusePlace) -> Failure:
        if self.may_have_run:
            return self._nowhere()
        seconds = max(told.retry_after_ms / 1000, MIN_RETRY_SECONDS)
        return failure(
            Kind.BUSY,
            "its answer would come too late; come back when the rush is over",
            retry_after=spread(seconds),
        )

    def _check_key(self) -> None:
        """Checks the lease once more, right before the send.

        Between admission and here the host may have been frozen, and the
        key taken away meanwhile.
        """
        if self.caller.workspace is None:
            return
        held = self.view.table.workspace_of_key(self.caller.keyed_by)
        if held is None or not self.view.lease_holds():
            kind = Kind.UNKNOWN_KEY if held is None else Kind.NO_LEASE
            if self.may_have_run:
                kind = Kind.ENDPOINT_LOST
            raise FleetError(
                failure(
                    kind,
                    "the key can't be confirmed any more; come back in a "
                    "moment",
                    self._outcome(),
                    FULL_RETRY_SECONDS,
                )
            )

    def _least_loaded(self, words: list[Registration]) -> Registration:
        loads = self.tools.loads
        return min(
            words,
            key=lambda word: (
                loads.view(word.endpoint).running,
                random.random(),
            ),
        )

    def _plan_alone(self, words: list[Registration], number: int) -> SendPlan:
        """Places a prompt by what this gateway has in flight itself."""
        loads = self.tools.loads
        loads.rate = reading_rate(self.view.table.config, len(words))
        profile = self.service.engine
        fetch_ms = 0.0
        if profile.link_mbps > 0:
            fetch_ms = profile.token_bytes * 8 / profile.link_mbps / 1000
        placed = place_prompt(
            self.caller.parts,
            [loads.view(word.endpoint) for word in words],
            fetch_ms,
        )
        by_id = {word.endpoint: word for word in words}
        source = by_id.get(placed.fetch_from)
        return SendPlan(
            by_id[placed.endpoint],
            source.address if source is not None else "",
            self._last_event(),
            placed.tokens,
            number,
        )

    def _workspace_name(self) -> str:
        workspace = self.caller.workspace
        return workspace.name if workspace is not None else ""

    def _last_event(self) -> str:
        return self.delivery.events.last_id or self.caller.last_event

    async def _send(self, plan: SendPlan) -> web.StreamResponse:
        tools = self.tools
        endpoint = plan.endpoint.endpoint
        with self._in_flight(plan) as flight:
            self._check_key()
            self.tried.add(endpoint)
            self.story.sends.append(endpoint)
            self.story.read_tokens += plan.tokens
            self.had_run = self.may_have_run
            self.may_have_run = True
            async with sending(
                tools.session, self.caller, plan, tools.names
            ) as answer:
                if answer.status >= 500 and self._may_try_again():
                    raise SendFailedError(
                        SendOutcome.BROKEN, f"status {answer.status}"
                    )
                response = await self.delivery.take(answer, flight.read)
        self.view.health_of(endpoint).record_success(time.monotonic())
        return response

    @contextmanager
    def _in_flight(self, plan: SendPlan) -> Iterator[Flight]:
        """Counts a send here, and with the broker, while it lasts."""
        endpoint = plan.endpoint.endpoint
        link = None
        failed = False
        if plan.number:
            link = self.tools.brokers.link(self.service.name)
            running = Running(
                plan.number,
                self.service.name,
                endpoint,
                plan.tokens,
                self.caller.own_memory,
                self._workspace_name(),
                self.caller.output_tokens,
            )
            link.started(running, plan.is_granted)
        try:
            with self.tools.loads.in_flight(endpoint, plan.tokens) as flight:
                if link is not None:
                    flight.on_read = lambda: link.first_token(plan.number)
                yield flight
        except SendFailedError as error:
            failed = self._is_endpoints_fault(error)
            raise
        finally:
            if link is not None:
                link.ended(plan.number, failed)

    def _is_endpoints_fault(self, error: SendFailedError) -> bool:
        """Whether a failed send says something of the endpoint's health.

        Where the event loop is late, a connection that was there in time is
        found to have timed out.
        """
        if error.timed_out and self.tools.brokers.lag.is_late:
            return False
        return error.outcome in (SendOutcome.NOT_SENT, SendOutcome.BROKEN)

    def _may_try_again(self) -> bool:
        """Whether a further send would be allowed, without taking it."""
        return (
            self.caller.may_repeat
            and self.sends + 1 < self.caller.route.max_attempts
            and self.budget.tokens >= 1.0
        )

    def _after(self, plan: SendPlan, error: SendFailedError) -> None:
        """Decides what a failed send means.

        Raises:
            FleetError: It was the last one.
        """
        self.story.sends[-1] += f" {error.outcome.value}: {error.why[:80]}"
        now = time.monotonic()
        health = self.view.health_of(plan.endpoint.endpoint)
        if error.outcome in (SendOutcome.NOT_SENT, SendOutcome.REFUSED):
            self.may_have_run = self.had_run
        if error.outcome is SendOutcome.NOT_SENT:
            if self._is_endpoints_fault(error):
                health.record_failure(now)
            self.connects += 1
            if self.connects < MAX_CONNECT_TRIES:
                return
            raise FleetError(self._nowhere())
        self.sends += 1
        if error.outcome is SendOutcome.BROKEN:
            if not error.why.startswith("status"):
                health.record_failure(now)
            if not self.caller.may_repeat:
                raise FleetError(self._lost(error))
        if self.sends >= self.caller.route.max_attempts:
            raise FleetError(self._lost(error))
        if not self.budget.spend():
            raise FleetError(self._lost(error))

    def _outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def _nowhere(self) -> Failure:
        if self.may_have_run:
            return failure(
                Kind.ENDPOINT_LOST,
                "the endpoint was lost while it ran and no other is there; "
                "look before you send it again",
                Outcome.UNKNOWN,
            )
        return failure(
            Kind.NO_ENDPOINT,
            "no endpoint takes work now; come back in a moment",
            retry_after=spread(FULL_RETRY_SECONDS),
        )

    def _lost(self, error: SendFailedError) -> Failure:
        if self.may_have_run:
            return failure(
                Kind.ENDPOINT_LOST,
                f"the endpoint gave no whole answer ({error.why}); it may "
                "have run",
                Outcome.UNKNOWN,
            )
        wait = error.retry_after or FULL_RETRY_SECONDS
        return failure(
            Kind.BUSY,
            "all endpoints that could be asked are full; come back later",
            retry_after=spread(wait),
        )

    def at_deadline(self) -> Failure:
        """Returns the final answer where the time is over."""
        if self.may_have_run:
            return failure(
                Kind.DEADLINE,
                "no answer within the time allowed; it may have run",
                Outcome.UNKNOWN,
            )
        return failure(
            Kind.BUSY,
            "its time ran out before it could be sent; it has not run",
            retry_after=spread(FULL_RETRY_SECONDS),
        )
