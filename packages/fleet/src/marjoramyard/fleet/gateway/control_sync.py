"""Receives updates from the control hosts by one long poll to each."""

import asyncio
import time

from result import Err, Result

from marjoramyard.fleet import paths
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.config_fetcher import ConfigFetcher
from marjoramyard.fleet.gateway.endpoint_sources import EndpointSources
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import SyncReply, SyncRequest
from marjoramyard.fleet.util.liveness import LivenessTimer
from marjoramyard.kernel.errors import Failure, FailureKind, failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.clocks import seconds_since_boot

logger = get_logger(__name__)

POLL_SECONDS = 0.8
"""How long a control host may hold a poll. Leases count from the start of the
poll and must outlast an election, which takes up to 2.4 s."""
REPLY_TIMEOUT_SECONDS = 0.7
"""Timeout beyond the poll time, for connections that stall without a reset.
Changes must then arrive over a new connection within two seconds."""
REPLY_TICK_SECONDS = 0.1
MAX_REPLY_SECONDS = 15.0
"""Upper limit for a gateway whose event loop is late."""
DISCOVERY_INTERVAL_SECONDS = 0.1
FIRST_RETRY_SECONDS = 0.1
"""After a loss of power gateways listen before the control hosts do."""
FIRST_RETRIES = 10
RETRY_SECONDS = 0.4
MAX_FAILURES = 40
"""Failed polls in a row after which a control host that is no longer announced
is dropped. That are some 40 s."""


def retry_seconds(failures: int) -> float:
    """Returns the pause after a failed poll.

    Args:
        failures: The failed polls in a row.
    """
    return FIRST_RETRY_SECONDS if failures <= FIRST_RETRIES else RETRY_SECONDS


class ControlSync:
    """Keeps a fleet view up to date from all known control hosts.

    Attributes:
        polls: The running polls, by address.
        sources: Chooses the hosts that send all changes of endpoints.
    """

    def __init__(
        self, app: Application, view: FleetView, fetcher: ConfigFetcher
    ):
        self.app = app
        self.view = view
        self.fetcher = fetcher
        self.settings = app.settings
        self.sources = EndpointSources(self.settings.zone, time.monotonic())
        self.polls: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Starts a poll for each control host that becomes known."""
        while True:
            for address in self.target_addresses():
                task = self.polls.get(address)
                if task is None or task.done():
                    self.polls[address] = self.app.tasks.spawn(
                        self._poll(address)
                    )
            await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)

    def target_addresses(self) -> set[str]:
        """Returns the internal addresses of the control hosts to poll."""
        return self.view.control_addresses | set(self.settings.seed_addresses())

    def _spare_capacity(self) -> float:
        """Returns the cores available for brokering; 0 while draining."""
        if self.app.stopping.is_set() or self.view.table is None:
            return 0.0
        return self.settings.processor_cores

    async def _call(
        self, address: str, request: SyncRequest
    ) -> Result[SyncReply, Failure]:
        """Sends a poll and returns the reply.

        The timeout is counted in wake-ups: a gateway whose event loop is late
        would otherwise discard replies that it has not read yet, and lose its
        lease.
        """
        timer = LivenessTimer(
            POLL_SECONDS + REPLY_TIMEOUT_SECONDS, REPLY_TICK_SECONDS
        )
        try:
            return await timer.wait_for(
                self.app.client.call(
                    address,
                    paths.SYNC_PATH,
                    request,
                    SyncReply,
                    MAX_REPLY_SECONDS,
                )
            )
        except TimeoutError as error:
            return Err(failure(FailureKind.NO_ENDPOINT, f"{address}: {error}"))

    async def _poll(self, address: str) -> None:
        epoch, cursor, revision, failures = "", 0, 0, 0
        is_source = False
        while failures < MAX_FAILURES or address in self.target_addresses():
            sent_at = seconds_since_boot()
            is_outdated = self.view.age.is_outdated()
            was_source = is_source
            is_source = self.sources.is_source(address, time.monotonic())
            if is_source and not was_source:
                epoch = ""
            request = SyncRequest(
                str(self.app.incarnation),
                self.view.version,
                epoch,
                cursor,
                POLL_SECONDS if epoch and not is_outdated else 0.0,
                self.settings.name,
                self.settings.advertised_address,
                self._spare_capacity(),
                self.view.zones.revision,
                fetches_config=True,
                unresponsive_revision=revision,
                urgent_only=not is_source,
                suspects_revision=self.view.suspects.revision,
                watched_revision=self.view.suspects.watched_revision,
                versions_revision=self.view.versions.revision,
                awaited_versions=self.view.versions.list_awaited(),
            )
            result = await self._call(address, request)
            if isinstance(result, Err):
                failures += 1
                epoch = ""
                if failures == 1:
                    logger.info(
                        "control_host_lost",
                        address=address,
                        why=result.err_value.message,
                    )
                await asyncio.sleep(retry_seconds(failures))
                continue
            if failures:
                logger.info("control_host_reconnected", address=address)
            failures = 0
            reply = result.ok_value
            epoch, cursor = reply.epoch, reply.cursor
            revision = reply.unresponsive_revision
            self.sources.record_reply(address, reply, time.monotonic())
            self.view.apply(address, reply, sent_at)
            if is_source:
                self.view.age.on_heard(sent_at)
            self.fetcher.on_announced(address, reply.version, reply.zone)
