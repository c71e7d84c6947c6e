"""Finds out whether an endpoint has died while requests were running on it."""

import asyncio
import time

import msgspec

from marjoramyard.coordination.governance.suspects import (
    PART_SECONDS,
    EndedRun,
)
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.coordination.serving.fingerprints import (
    MAX_SUSPECTED_PARTS,
    part_fingerprint,
)
from marjoramyard.fleet.gateway.suspects import GatewaySuspects
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.addresses import parse_callable_address

logger = get_logger(__name__)

GATHER_SECONDS = 0.01
"""The requests of a dead endpoint break off within this time."""
PROBE_TIMEOUT_SECONDS = 0.5
OBSERVATION_SECONDS = 5.0
"""How long to watch for a new lifetime of an endpoint that accepts
connections: one that is restarted at once may never be seen to refuse any."""
_LOOK_SECONDS = 0.1
MAX_PARTS_PER_DEATH = 1000
MAX_LOGGED_RUNS = 20
MAX_LOGGED_PARTS = 8


def lifetime_of(endpoint: Registration) -> str:
    """Identifies one lifetime of an endpoint at all gateways."""
    return f"{endpoint.endpoint}@{endpoint.born}"


class BrokenRun(msgspec.Struct):
    """A request whose connection to its endpoint was lost.

    Attributes:
        fingerprint: Identifies the request.
        sent_at: On the monotonic clock, in seconds.
        broken_at: On the same clock.
        earlier: The lifetimes of the endpoints that earlier sends of the
            request were lost with.
        parts: The digests of the shared parts of its prompt.
        answer_at: When the first data of the response arrived; None if none
            has.
        is_survived: Whether the endpoint accepted a connection afterwards.
    """

    fingerprint: Fingerprint
    sent_at: float
    broken_at: float
    earlier: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()
    answer_at: float | None = None
    is_survived: bool = False

    @property
    def has_outlasted_parts(self) -> bool:
        """Whether its endpoint answered for so long that no part ended it."""
        return (
            self.answer_at is not None
            and self.broken_at - self.answer_at >= PART_SECONDS
        )

    @property
    def answer_ms(self) -> int | None:
        """How long its endpoint had sent the response; None if it had not."""
        if self.answer_at is None:
            return None
        return round((self.broken_at - self.answer_at) * 1000)


class Observation(msgspec.Struct):
    """An endpoint that is watched because connections to it were lost.

    Attributes:
        endpoint: The endpoint, in the lifetime that was observed.
        until: When to end, on the monotonic clock in seconds.
        runs: The requests that were lost.
    """

    endpoint: Registration
    until: float
    runs: list[BrokenRun]


class CrashDetector:
    """Reports endpoints that have died, with the requests that were running.

    A lost connection alone is no evidence: connections are reset, and
    responses cut off, by endpoints that go on running.

    Attributes:
        observations: The endpoints that are watched, by lifetime.
        died: The lifetimes that have ended so, with the time.
    """

    def __init__(
        self, view: FleetView, suspects: GatewaySuspects, tasks: TaskGroup
    ):
        self.view = view
        self.suspects = suspects
        self.tasks = tasks
        self.observations: dict[str, Observation] = {}
        self.died: dict[str, float] = {}

    def on_broken(self, endpoint: Registration, run: BrokenRun) -> None:
        """Notes a request whose connection to its endpoint was lost."""
        lifetime = lifetime_of(endpoint)
        until = run.broken_at + OBSERVATION_SECONDS
        observation = self.observations.get(lifetime)
        if observation is not None:
            observation.runs.append(run)
            observation.until = until
            return
        observation = Observation(endpoint, until, [run])
        self.observations[lifetime] = observation
        self.tasks.spawn(self._observe(lifetime, observation))

    async def has_ended(self, endpoint: Registration) -> bool:
        """Whether an endpoint that has just closed a connection has ended.

        One that leaves may end right after its last response, so its end says
        nothing of that response.
        """
        if self.view.is_leaving(endpoint):
            return False
        if lifetime_of(endpoint) in self.died or self._is_replaced(endpoint):
            return True
        known = self.view.registrations.by_endpoint.get(endpoint.endpoint)
        if known is not None and known.state is not EndpointState.READY:
            return False
        return await refuses_connections(endpoint.address)

    async def _observe(self, lifetime: str, observation: Observation) -> None:
        try:
            while time.monotonic() < observation.until:
                if await self._has_died(observation):
                    self.died[lifetime] = time.monotonic()
                    await asyncio.sleep(GATHER_SECONDS)
                    self._report(lifetime, observation)
                    return
                await asyncio.sleep(_LOOK_SECONDS)
        finally:
            del self.observations[lifetime]

    async def _has_died(self, observation: Observation) -> bool:
        if self._is_replaced(observation.endpoint):
            for run in observation.runs:
                run.is_survived = False
            return True
        unexamined = [run for run in observation.runs if not run.is_survived]
        if not unexamined:
            return False
        if await refuses_connections(observation.endpoint.address):
            return True
        for run in unexamined:
            run.is_survived = True
        return False

    def _is_replaced(self, endpoint: Registration) -> bool:
        """Whether another lifetime is registered at an endpoint's address."""
        registrations = self.view.registrations
        name = registrations.by_address.get(endpoint.address, "")
        current = registrations.by_endpoint.get(name)
        return current is not None and current.born > endpoint.born

    def _report(self, lifetime: str, observation: Observation) -> None:
        runs = self._running_at_death(observation)
        if not runs:
            return
        died_at = min(run.broken_at for run in runs)
        logger.warning(
            "runs_lost",
            death=lifetime,
            runs=[
                {
                    "fingerprint": run.fingerprint,
                    "answer_ms": run.answer_ms,
                    "parts": list(run.parts[:MAX_LOGGED_PARTS]),
                }
                for run in runs[:MAX_LOGGED_RUNS]
            ],
            run_count=len(runs),
        )
        self._forget_old_deaths(died_at)
        self.suspects.report_death(
            lifetime,
            self._ended_runs(observation.endpoint.service, runs),
            died_at,
        )

    def _running_at_death(self, observation: Observation) -> list[BrokenRun]:
        """Returns the requests that were running when the endpoint died.

        It had survived those that were lost before its last response. Later
        ones than the first that was lost reached a proxy at most.
        """
        health = self.view.health_of(observation.endpoint.endpoint)
        lost = [
            run
            for run in observation.runs
            if not run.is_survived and run.broken_at > health.last_success_at
        ]
        died_at = min((run.broken_at for run in lost), default=0.0)
        return [run for run in lost if run.sent_at <= died_at]

    def _ended_runs(
        self, service: str, runs: list[BrokenRun]
    ) -> list[EndedRun]:
        """Returns the identities under which requests may be the cause."""
        requests = [
            EndedRun(
                run.fingerprint,
                run.broken_at - run.sent_at,
                sum(lifetime in self.died for lifetime in run.earlier),
            )
            for run in runs
        ]
        return requests + _ended_parts(service, runs)

    def _forget_old_deaths(self, now: float) -> None:
        for lifetime, died_at in list(self.died.items()):
            if now - died_at > 2 * OBSERVATION_SECONDS:
                del self.died[lifetime]


def _ended_parts(service: str, runs: list[BrokenRun]) -> list[EndedRun]:
    """Returns the shared prompt parts that may be the cause, likely ones first.

    A part acts when its endpoint begins to answer, so the newest answers come
    first, and those that had gone on for longer are left out.
    """
    candidates = [run for run in runs if not run.has_outlasted_parts]
    candidates.sort(key=lambda run: run.answer_at or 0.0, reverse=True)
    found: dict[Fingerprint, EndedRun] = {}
    for run in candidates:
        began_at = run.answer_at or run.sent_at
        for digest in run.parts[:MAX_SUSPECTED_PARTS]:
            if len(found) >= MAX_PARTS_PER_DEATH:
                return list(found.values())
            part = part_fingerprint(service, digest)
            ended = EndedRun(
                part, run.broken_at - began_at, request=run.fingerprint
            )
            found.setdefault(part, ended)
    return list(found.values())


async def refuses_connections(address: str) -> bool:
    """Returns whether nothing listens at an address.

    A host that does not reply in time says nothing about its endpoint. Nor does
    an address that can't be called.
    """
    try:
        host, port = parse_callable_address(address)
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError, OverflowError):
        return False
    writer.transport.abort()
    return False
