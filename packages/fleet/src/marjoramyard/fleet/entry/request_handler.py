"""Serves one request: places it, delivers the answer, retries or ends."""

import asyncio
import random
import time
from contextlib import aclosing

import msgspec
from aiohttp import web

from marjoramyard.coordination.serving.retries import RetryBudget
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.entry.attempt_client import (
    AttemptClient,
    AttemptLostError,
    AttemptRefusedError,
)
from marjoramyard.fleet.entry.calls import CallLedgerClient
from marjoramyard.fleet.entry.dispatchers import (
    Dispatchers,
    Placement,
    ServiceDispatcher,
)
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.entry.responses import (
    CallerStalledError,
    ResponseDelivery,
    ResponseFailedError,
)
from marjoramyard.fleet.membership import Membership
from marjoramyard.fleet.messages import RunRequest
from marjoramyard.fleet.refusals import quarantined
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.kernel.errors import (
    Failure,
    FleetError,
    Kind,
    Outcome,
    failure,
)
from marjoramyard.kernel.ids import AttemptId, new_attempt_id

_PASSING_REFUSALS = frozenset(
    {Kind.BUSY, Kind.LEAVING, Kind.NO_ENDPOINT, Kind.NO_LEASE, Kind.NOT_FOUND}
)
"""Refusals of one agent that say nothing of the next."""
_RETRYABLE = frozenset(
    {Kind.ENDPOINT_LOST, Kind.ENDPOINT_STALLED, Kind.RESPONSE_TRUNCATED}
)


class RetryBudgets:
    """Retry budgets of each workspace and each service."""

    def __init__(self, membership: Membership):
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
        """Earns both budgets a part of a retry."""
        for budget in self._of(request):
            budget.on_request()

    def spend(self, request: CallerRequest) -> bool:
        """Takes a retry if both budgets have one."""
        budgets = self._of(request)
        if any(budget.tokens < 1.0 for budget in budgets):
            return False
        for budget in budgets:
            budget.spend()
        return True


class RequestHandler:
    """What the entry does with an admitted request."""

    def __init__(
        self,
        app: Application,
        membership: Membership,
        control: ControlClient,
        dispatchers: Dispatchers,
    ):
        self.app = app
        self.membership = membership
        self.control = control
        self.dispatchers = dispatchers
        self.calls = CallLedgerClient(control)
        self.budgets = RetryBudgets(membership)

    async def serve(self, request: CallerRequest) -> web.StreamResponse:
        """Returns the caller's answer.

        Raises:
            FleetError: The request ended without one.
        """
        left = self.membership.is_convicted(request.fingerprint)
        if left is not None:
            raise FleetError(quarantined(left))
        if request.call is not None:
            replay = await self.calls.look_up(request)
            if replay is not None:
                return replay
        self.budgets.on_request(request)
        dispatcher = self.dispatchers.get(request.service_id)
        response = await self._try_directly(request, dispatcher)
        first = False
        while response is None:
            if not dispatcher.agents:
                raise FleetError(_no_endpoint(request))
            placement = await dispatcher.wait(request, first)
            response = await self._attempt(request, dispatcher, placement)
            first = True
        return response

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
        """Makes one attempt; None means that another may be made."""
        self._check_may_run(request, dispatcher)
        link = AttemptClient(
            self.app.client,
            self.app.metrics,
            placement.address,
            self._run_request(request, placement),
            request.body,
        )
        delivery = ResponseDelivery(
            request, self.app.settings.caller_stall_seconds
        )
        dispatcher.count_run(placement.address, 1)
        try:
            async with aclosing(link.frames()) as frames:
                response = await delivery.run(frames)
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
            self._note_loss(request, error, dispatcher, placement)
            return await self._on_failure(
                request, link, delivery, error.failure
            )
        except CallerStalledError:
            self.app.tasks.spawn(link.cancel())
            await delivery.cut(_stalled())
            return delivery.response
        except BaseException:
            # The caller went away, or the entry is being stopped.
            self.app.tasks.spawn(link.cancel())
            raise
        finally:
            dispatcher.count_run(placement.address, -1)

    def _check_may_run(
        self, request: CallerRequest, dispatcher: ServiceDispatcher
    ) -> None:
        """Checks again what may have changed while the request waited."""
        refusal = self.membership.refusal()
        if refusal is not None:
            raise FleetError(refusal)
        if request.seconds_left() <= 0:
            raise FleetError(_too_late(dispatcher.retry_after()))

    @staticmethod
    def _note_loss(
        request: CallerRequest,
        error: AttemptLostError | ResponseFailedError,
        dispatcher: ServiceDispatcher,
        placement: Placement,
    ) -> None:
        """Leaves a lost agent alone; marks what ran when an endpoint died.

        Only an agent can see its endpoint die. A link or an agent that is
        lost says nothing of the request: counting it would convict the
        innocent of every network cut. Nor does an endpoint that took no
        connection: the request never reached it.
        """
        reason = error.failure
        if isinstance(error, AttemptLostError):
            dispatcher.back_off(placement.address)
        elif reason.kind is Kind.ENDPOINT_LOST:
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

    # Ends other than a whole answer.

    async def _on_refusal(
        self,
        request: CallerRequest,
        reason: Failure,
        dispatcher: ServiceDispatcher,
        placement: Placement,
    ) -> None:
        """Lets the request go on to another agent, or ends it."""
        if reason.kind is Kind.SUSPECT_HELD:
            # It steps aside for a moment. Queued, it would be granted slot
            # after slot that it can't use, while others wait for them.
            request.suspect = True
            pause = min(reason.retry_after or 1.0, request.seconds_left())
            await asyncio.sleep(max(0.0, pause))
            return
        if reason.kind not in _PASSING_REFUSALS:
            raise FleetError(
                msgspec.structs.replace(reason, outcome=Outcome.NOT_RUN.value)
            )
        if reason.kind is not Kind.BUSY:
            dispatcher.back_off(placement.address)

    async def _on_failure(
        self,
        request: CallerRequest,
        link: AttemptClient,
        delivery: ResponseDelivery,
        reason: Failure,
    ) -> web.StreamResponse | None:
        """Decides on a lost or failed attempt: another one, or the end."""
        if request.delivered:
            self.app.tasks.spawn(link.cancel())
            await delivery.cut(reason)
            return delivery.response
        if request.call is not None:
            return await self._on_failed_call(request, link, reason)
        never_ran = reason.outcome == Outcome.NOT_RUN.value
        if not never_ran:
            never_ran = await link.cancel()
        can_repeat = reason.kind in _RETRYABLE and (
            request.repeatable or never_ran
        )
        if can_repeat and request.seconds_left() > 0:
            if self.budgets.spend(request):
                self.app.metrics.count("retries", kind=reason.code)
                return None
            reason = _budget_spent(reason)
        outcome = Outcome.NOT_RUN if never_ran else Outcome.UNKNOWN
        raise FleetError(
            msgspec.structs.replace(
                reason,
                outcome=outcome.value,
                retry_after=random.uniform(1.0, 3.0),
            )
        )

    async def _on_failed_call(
        self, request: CallerRequest, link: AttemptClient, reason: Failure
    ) -> None:
        """Ends a call with what the ledger proves."""
        if reason.outcome == Outcome.NOT_RUN.value and link.admitted:
            # Committed as started, but the endpoint took no connection, so
            # the agent never sent it. The ledger can't be set back.
            raise FleetError(reason)
        attempt = AttemptId(link.run.attempt)
        outcome = await self.calls.cancel_unstarted(request, attempt)
        if outcome is Outcome.NOT_RUN and request.seconds_left() > 0:
            if self.budgets.spend(request):
                return None
        raise FleetError(
            msgspec.structs.replace(
                reason,
                outcome=outcome.value,
                retry_after=random.uniform(1.0, 3.0),
            )
        )


class RequestMetrics:
    """Counts and times requests by class, outcome and workspace."""

    def __init__(self, app: Application):
        self.metrics = app.metrics

    def ended(self, request: CallerRequest, outcome: str) -> None:
        """Records the end of a request."""
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
        Kind.NO_ENDPOINT,
        f"no endpoint of {request.service_id} has announced itself; come "
        "back when one has",
        retry_after=random.uniform(1.0, 3.0),
    )


def _too_late(retry_after: float) -> Failure:
    return failure(
        Kind.DEADLINE,
        "the deadline passed before the request could be run",
        retry_after=retry_after,
    )


def _stalled() -> Failure:
    return failure(
        Kind.RESPONSE_TRUNCATED,
        "the caller took no bytes for too long",
        Outcome.UNKNOWN,
    )


def _budget_spent(reason: Failure) -> Failure:
    return failure(
        Kind.RETRY_BUDGET_EXHAUSTED,
        f"{reason.message}; too many requests are being retried already",
        Outcome.UNKNOWN,
    )
