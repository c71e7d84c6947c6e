"""Handles one request: places it, delivers the response, retries it."""

import asyncio
import random
import time
from contextlib import aclosing

import msgspec
from aiohttp import web

from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.entry.agent_views import Placement
from marjoramyard.fleet.entry.attempt_client import (
    AttemptClient,
    AttemptLostError,
    AttemptRefusedError,
)
from marjoramyard.fleet.entry.calls import CallLedgerClient
from marjoramyard.fleet.entry.dispatchers import Dispatchers
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.entry.responses import (
    CallerStalledError,
    ResponseDelivery,
    ResponseFailedError,
)
from marjoramyard.fleet.entry.service_dispatcher import ServiceDispatcher
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import RunRequest
from marjoramyard.fleet.refusals import quarantined
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.outlasting_requests import OutlastingRequests
from marjoramyard.fleet.util.pause_requests import requested_pause
from marjoramyard.fleet.util.request_body import HOLDING
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    Outcome,
    failure,
)
from marjoramyard.kernel.ids import AttemptId, new_attempt_id

_AGENT_REFUSALS = frozenset(
    {
        FailureKind.BUSY,
        FailureKind.LEAVING,
        FailureKind.NO_ENDPOINT,
        FailureKind.NO_LEASE,
        FailureKind.NOT_FOUND,
    }
)
"""Refusals that concern one agent only; another may accept the request."""
_RETRYABLE = frozenset(
    {
        FailureKind.ENDPOINT_LOST,
        FailureKind.ENDPOINT_STALLED,
        FailureKind.RESPONSE_TRUNCATED,
    }
)


class RetryBudgets:
    """The retry budgets of each workspace and each service."""

    def __init__(self, membership: RouterMembership):
        self.membership = membership
        self.budgets: dict[str, RetryBudget] = {}

    def _of(self, request: CallerRequest) -> list[RetryBudget]:
        names = (
            f"workspace/{request.workspace_id}",
            f"service/{request.service_id}",
        )
        return [self._named(name) for name in names]

    def _named(self, name: str) -> RetryBudget:
        policy = self.membership.bundle.policy
        budget = self.budgets.get(name)
        if budget is None:
            budget = RetryBudget(policy.retry_ratio, policy.retry_burst)
            self.budgets[name] = budget
        budget.ratio = policy.retry_ratio
        budget.burst = policy.retry_burst
        return budget

    def on_request(self, request: CallerRequest) -> None:
        """Credits both budgets with the configured fraction of a retry."""
        for budget in self._of(request):
            budget.on_request()

    def spend(self, request: CallerRequest) -> bool:
        """Spends a retry of both budgets; returns False if one is exhausted."""
        budgets = self._of(request)
        if any(budget.tokens < 1.0 for budget in budgets):
            return False
        for budget in budgets:
            budget.spend()
        return True


class RequestHandler:
    """Handles the requests that an entry admitted."""

    def __init__(
        self,
        app: Application,
        membership: RouterMembership,
        control: ControlClient,
        dispatchers: Dispatchers,
        outlasting: OutlastingRequests,
    ):
        self.app = app
        self.membership = membership
        self.control = control
        self.dispatchers = dispatchers
        self.outlasting = outlasting
        self.call_ledger = CallLedgerClient(control)
        self.retry_budgets = RetryBudgets(membership)

    async def serve(self, request: CallerRequest) -> web.StreamResponse:
        """Returns the response to the caller.

        Raises:
            FleetError: The request ended without a response.
        """
        identities = [request.fingerprint]
        if self.membership.held_parts:
            identities += request.message_fingerprints
        seconds = self.membership.quarantine_seconds_left(*identities)
        if seconds is not None:
            raise FleetError(quarantined(seconds))
        if request.call is not None:
            replay = await self.call_ledger.look_up(request)
            if replay is not None:
                return replay
        self.retry_budgets.on_request(request)
        dispatcher = self.dispatchers.get(request.service_id)
        response = await self._try_directly(request, dispatcher)
        first = False
        while response is None:
            if not dispatcher.agents:
                raise FleetError(_no_endpoint(request))
            placement = await self._wait(request, dispatcher, first)
            response = await self._attempt(request, dispatcher, placement)
            first = True
        return response

    async def _wait(
        self,
        request: CallerRequest,
        dispatcher: ServiceDispatcher,
        first: bool,
    ) -> Placement:
        if request.may_have_run:
            return await dispatcher.wait(request, first)
        async with self.outlasting.refusing(request.deadline_at):
            return await dispatcher.wait(request, first)

    async def _try_directly(
        self, request: CallerRequest, dispatcher: ServiceDispatcher
    ) -> web.StreamResponse | None:
        for placement in dispatcher.direct_candidates():
            response = await self._attempt(request, dispatcher, placement)
            if response is not None:
                return response
        return None

    async def _attempt(
        self,
        request: CallerRequest,
        dispatcher: ServiceDispatcher,
        placement: Placement,
    ) -> web.StreamResponse | None:
        """Makes one attempt; returns None if another one may be made."""
        self._check_may_run(request, dispatcher)
        client = AttemptClient(
            self.app.client,
            self.app.metrics,
            placement.address,
            self._run_request(request, placement),
            request.body,
            request.http[HOLDING],
        )
        delivery = ResponseDelivery(
            request, self.app.settings.caller_stall_seconds
        )
        dispatcher.adjust_in_flight(placement.address, 1)
        try:
            async with aclosing(client.frames()) as frames:
                response = await delivery.run(frames)
            seconds = requested_pause(response.status, response.headers)
            if seconds:
                dispatcher.record_pause(placement.address, seconds)
            self.app.metrics.count("attempts", outcome="complete")
            return response
        except AttemptRefusedError as error:
            self.app.metrics.count("attempts", outcome=error.failure.code)
            await self._on_refusal(
                request, error.failure, dispatcher, placement
            )
            return None
        except (AttemptLostError, ResponseFailedError) as error:
            self.app.metrics.count("attempts", outcome=error.failure.code)
            self._record_loss(request, error, dispatcher, placement)
            return await self._on_failure(
                request, client, delivery, error.failure
            )
        except CallerStalledError:
            self.app.tasks.spawn(client.cancel())
            await delivery.abort(_stalled())
            return delivery.response
        except BaseException:
            # The caller disconnected, or the entry is being stopped.
            self.app.tasks.spawn(client.cancel())
            raise
        finally:
            dispatcher.adjust_in_flight(placement.address, -1)

    def _check_may_run(
        self, request: CallerRequest, dispatcher: ServiceDispatcher
    ) -> None:
        """Checks the lease and the deadline again, after the wait.

        Raises:
            FleetError: The lease was lost, the deadline passed or the entry
                stops before it.
        """
        refusal = self.membership.refusal()
        if refusal is not None:
            raise FleetError(refusal)
        if request.seconds_left() <= 0:
            raise FleetError(_deadline_passed(dispatcher.retry_after()))
        if not request.may_have_run:
            self.outlasting.check(request.deadline_at)

    @staticmethod
    def _record_loss(
        request: CallerRequest,
        error: AttemptLostError | ResponseFailedError,
        dispatcher: ServiceDispatcher,
        placement: Placement,
    ) -> None:
        """Backs off from a lost agent; marks the request of a lost endpoint.

        A request becomes a suspect only if its agent reports that the
        endpoint was lost after the request was sent. A lost connection or
        agent, or an endpoint that refused the connection, says nothing
        about the request.
        """
        reason = error.failure
        if isinstance(error, AttemptLostError):
            dispatcher.back_off(placement.address)
        elif reason.kind is FailureKind.ENDPOINT_LOST:
            ran = reason.outcome != Outcome.NOT_RUN.value
            request.suspect = request.suspect or ran

    def _run_request(
        self, request: CallerRequest, placement: Placement
    ) -> RunRequest:
        return RunRequest(
            new_attempt_id(),
            request.workspace_id,
            request.service_id,
            request.http.method,
            request.path,
            request.forwarded_headers(),
            request.seconds_left(),
            request.service.stall_seconds,
            request.fingerprint,
            request.rule.request_class,
            placement.grant,
            request.prefix,
            request.repeatable,
            request.suspect,
            request.call,
        )

    # Failed attempts.

    async def _on_refusal(
        self,
        request: CallerRequest,
        reason: Failure,
        dispatcher: ServiceDispatcher,
        placement: Placement,
    ) -> None:
        """Returns if the request may be sent to another agent.

        Raises:
            FleetError: The refusal applies to all agents.
        """
        if reason.kind is FailureKind.SUSPECT_HELD:
            # In the queue it would be granted slots that it can't use
            # while another suspect runs.
            request.suspect = True
            delay = min(reason.retry_after or 1.0, request.seconds_left())
            await asyncio.sleep(max(0.0, delay))
            return
        if reason.kind not in _AGENT_REFUSALS:
            raise FleetError(
                msgspec.structs.replace(reason, outcome=Outcome.NOT_RUN.value)
            )
        if reason.kind is not FailureKind.BUSY:
            dispatcher.back_off(placement.address)

    async def _on_failure(
        self,
        request: CallerRequest,
        client: AttemptClient,
        delivery: ResponseDelivery,
        reason: Failure,
    ) -> web.StreamResponse | None:
        """Decides whether a lost or failed attempt may be repeated.

        Returns:
            The aborted response if a part of it was delivered; None if
            another attempt may be made.

        Raises:
            FleetError: The request has failed.
        """
        if request.delivered:
            self.app.tasks.spawn(client.cancel())
            await delivery.abort(reason)
            return delivery.response
        if request.call is not None:
            return await self._on_failed_call(request, client, reason)
        never_ran = reason.outcome == Outcome.NOT_RUN.value
        if not never_ran:
            never_ran = await client.cancel()
        can_repeat = reason.kind in _RETRYABLE and (
            request.repeatable or never_ran
        )
        request.may_have_run = request.may_have_run or not never_ran
        if can_repeat and request.seconds_left() > 0:
            if self.retry_budgets.spend(request):
                self.app.metrics.count("retries", kind=reason.code)
                return None
            reason = _retry_budget_spent(reason)
        outcome = Outcome.NOT_RUN if never_ran else Outcome.UNKNOWN
        raise FleetError(
            msgspec.structs.replace(
                reason,
                outcome=outcome.value,
                retry_after=random.uniform(1.0, 3.0),
            )
        )

    async def _on_failed_call(
        self, request: CallerRequest, client: AttemptClient, reason: Failure
    ) -> None:
        """Decides whether a failed call may be attempted again.

        Returns None if another attempt may be made.

        Raises:
            FleetError: The call has failed, with the outcome in the ledger.
        """
        if reason.outcome == Outcome.NOT_RUN.value and client.admitted:
            # The ledger has the call as started, which is final, but the
            # endpoint refused the connection, so it was not run.
            raise FleetError(reason)
        attempt = AttemptId(client.run.attempt)
        outcome = await self.call_ledger.cancel_unstarted(request, attempt)
        if outcome is Outcome.NOT_RUN and request.seconds_left() > 0:
            if self.retry_budgets.spend(request):
                return None
        raise FleetError(
            msgspec.structs.replace(
                reason,
                outcome=outcome.value,
                retry_after=random.uniform(1.0, 3.0),
            )
        )


class RequestMetrics:
    """Records counts and durations of requests."""

    def __init__(self, app: Application):
        self.metrics = app.metrics

    def record(self, request: CallerRequest, outcome: str) -> None:
        """Records a request that ended with this outcome."""
        seconds = time.monotonic() - request.arrived_at
        request_class = request.rule.request_class
        workspace = self.metrics.workspaces.label(request.workspace_id)
        self.metrics.count(
            "requests", outcome=outcome, request_class=request_class
        )
        self.metrics.observe(
            "request_seconds", seconds, request_class=request_class
        )
        self.metrics.observe(
            "workspace_request_seconds", seconds, workspace=workspace
        )


def _no_endpoint(request: CallerRequest) -> Failure:
    return failure(
        FailureKind.NO_ENDPOINT,
        f"no endpoint of {request.service_id} has announced itself; retry "
        "when one has",
        retry_after=random.uniform(1.0, 3.0),
    )


def _deadline_passed(retry_after: float) -> Failure:
    return failure(
        FailureKind.DEADLINE,
        "the deadline passed before the request could be run",
        retry_after=retry_after,
    )


def _stalled() -> Failure:
    return failure(
        FailureKind.RESPONSE_TRUNCATED,
        "the caller read no data within the stall timeout",
        Outcome.UNKNOWN,
    )


def _retry_budget_spent(reason: Failure) -> Failure:
    return failure(
        FailureKind.RETRY_BUDGET_EXHAUSTED,
        f"{reason.message}; not retried because the retry budget is exhausted",
        Outcome.UNKNOWN,
    )
