"""Confirms with the leader which software versions services have."""

import asyncio
import time

from result import Err, Result

from marjoramyard.fleet import paths
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import ConfirmedVersions, ConfirmVersions
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

CALL_SECONDS = 1.5
"""How long a call looks for the leader."""
GAP_SECONDS = 0.1
"""The shortest time between the starts of two calls. After a loss of power all
callers take their streams up at once."""


class VersionConfirmations:
    """Confirms the record of versions for streams that are taken up.

    What this gateway has heard of may be older than a stream: it may have been
    suspended or cut off while a version joined. So the answer must be confirmed
    after the stream was taken up. Streams that wait for the same call share it.

    Attributes:
        next_call: The call that streams may still join; None for none.
        services: The services that it will ask for.
        started_at: When the last call started, on the monotonic clock.
    """

    def __init__(
        self,
        view: FleetView,
        to_leader: ControlClient,
        tasks: TaskGroup,
        metrics: Metrics,
    ):
        self.view = view
        self.to_leader = to_leader
        self.tasks = tasks
        self.metrics = metrics
        self.next_call: asyncio.Task[ConfirmedVersions | None] | None = None
        self.services: set[str] = set()
        self.started_at = float("-inf")

    async def confirm(
        self, service: str, seconds: float
    ) -> ConfirmedVersions | None:
        """Returns what a quorum has confirmed since this call.

        Args:
            service: The service to ask for.
            seconds: How long to wait at most.

        Returns:
            The versions; None if no leader has confirmed them in time.
        """
        if self.next_call is None:
            self.next_call = self.tasks.spawn(self._call_after_gap())
        self.services.add(service)
        try:
            async with asyncio.timeout(seconds):
                return await asyncio.shield(self.next_call)
        except TimeoutError:
            return None

    async def _call_after_gap(self) -> ConfirmedVersions | None:
        gap = self.started_at + GAP_SECONDS - time.monotonic()
        await asyncio.sleep(max(0.0, gap))
        services, self.services = sorted(self.services), set()
        self.next_call = None
        self.started_at = time.monotonic()
        return await self._call(services)

    async def _call(self, services: list[str]) -> ConfirmedVersions | None:
        result: Result[
            ConfirmedVersions, Failure
        ] = await self.to_leader.call_leader(
            paths.CONFIRM_VERSIONS_PATH,
            lambda: ConfirmVersions(services, self.view.versions.revision),
            ConfirmedVersions,
            CALL_SECONDS,
        )
        seconds = time.monotonic() - self.started_at
        self.metrics.observe("version_confirmation_seconds", seconds)
        if isinstance(result, Err):
            logger.info("versions_unconfirmed", why=result.err_value.message)
            return None
        confirmed = result.ok_value
        if confirmed.versions is not None:
            self.view.versions.update(
                confirmed.versions_revision, confirmed.versions
            )
        return confirmed
