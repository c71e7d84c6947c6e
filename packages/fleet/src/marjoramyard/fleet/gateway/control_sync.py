"""Follows the control hosts: one long poll to each of them."""

import asyncio

from result import Err

from marjoramyard.fleet import paths
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.syncing import SyncReply, SyncRequest
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.clocks import boot_seconds

logger = get_logger(__name__)

POLL_SECONDS = 0.8
"""A lease counts from when it was asked for, so this much of it is gone
when the answer comes; the rest must outlast an election (2.4 s)."""
REPLY_TIMEOUT_SECONDS = 0.7
"""Beyond the wait. A connection can fall silent without a reset; news must
then arrive over a new one within two seconds of its acknowledgement."""
DISCOVERY_INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 0.4
MAX_FAILURES = 40
"""Some 40 s of failures: a host that nobody announces any more is dropped."""


class ControlSync:
    """Keeps a view up to date from all control hosts that are known."""

    def __init__(self, app: Application, view: FleetView):
        self.app = app
        self.view = view
        self.settings = app.settings
        self.polls: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Starts polls as control hosts become known."""
        while True:
            for address in self.target_addresses():
                task = self.polls.get(address)
                if task is None or task.done():
                    self.polls[address] = self.app.tasks.spawn(
                        self._poll(address)
                    )
            await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)

    def target_addresses(self) -> set[str]:
        """Returns the internal addresses to ask."""
        return self.view.control_addresses | set(self.settings.seed_peers())

    def _spare_capacity(self) -> float:
        """Returns the cores that brokering may use; a leaving host has none."""
        if self.app.stopping.is_set() or self.view.table is None:
            return 0.0
        return self.settings.processor_cores

    async def _poll(self, address: str) -> None:
        epoch, cursor, failures = "", 0, 0
        while failures < MAX_FAILURES or address in self.target_addresses():
            sent_at = boot_seconds()
            request = SyncRequest(
                str(self.app.incarnation),
                self.view.version,
                epoch,
                cursor,
                POLL_SECONDS if epoch else 0.0,
                self.settings.name,
                self.settings.reachable,
                self._spare_capacity(),
            )
            result = await self.app.client.call(
                address,
                paths.SYNC_PATH,
                request,
                SyncReply,
                POLL_SECONDS + REPLY_TIMEOUT_SECONDS,
            )
            if isinstance(result, Err):
                failures += 1
                epoch = ""
                if failures == 1:
                    logger.info(
                        "control_host_lost",
                        address=address,
                        why=result.err_value.message,
                    )
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if failures:
                logger.info("control_host_regained", address=address)
            failures = 0
            reply = result.ok_value
            epoch, cursor = reply.epoch, reply.cursor
            self.view.apply(address, reply, sent_at)
