"""Follows the control hosts: one long poll to each of them."""

import asyncio

from result import Err

from marjoramyard.fleet import paths
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.syncing import SyncReply, SyncRequest
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.clocks import seconds_since_boot

logger = get_logger(__name__)

WAIT_SECONDS = 0.8
"""A lease counts from when it was asked for, so this much of it is gone
when the answer comes; the rest must outlast an election (2.4 s)."""
ANSWER_SECONDS = 0.7
"""Beyond the wait. A connection can fall silent without a reset; news must
then arrive over a new one within two seconds of its acknowledgement."""
PAUSE_SECONDS = 0.1
PAUSE_LOST_SECONDS = 0.4
GONE_AFTER_FAILURES = 40
"""Some 40 s of failures: a host that nobody announces any more is dropped."""


class Follower:
    """Keeps a view up to date from all control hosts that are known."""

    def __init__(self, app: Application, view: FleetView):
        self.app = app
        self.view = view
        self.settings = app.settings
        self.polls: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Starts polls as control hosts become known."""
        while True:
            for address in self.wanted():
                task = self.polls.get(address)
                if task is None or task.done():
                    self.polls[address] = self.app.tasks.spawn(
                        self._follow(address)
                    )
            await asyncio.sleep(PAUSE_SECONDS)

    def wanted(self) -> set[str]:
        """Returns the internal addresses to ask."""
        return self.view.control_addresses | set(self.settings.seed_peers())

    def _spare_capacity(self) -> float:
        """Returns the cores that brokering may use; a leaving host has none."""
        if self.app.stopping.is_set() or self.view.table is None:
            return 0.0
        return self.settings.processor_cores

    async def _follow(self, address: str) -> None:
        epoch, cursor, failures = "", 0, 0
        while failures < GONE_AFTER_FAILURES or address in self.wanted():
            sent_at = seconds_since_boot()
            asked = SyncRequest(
                str(self.app.incarnation),
                self.view.version,
                epoch,
                cursor,
                WAIT_SECONDS if epoch else 0.0,
                self.settings.name,
                self.settings.advertised_address,
                self._spare_capacity(),
            )
            told = await self.app.client.call(
                address,
                paths.SYNC_PATH,
                asked,
                SyncReply,
                WAIT_SECONDS + ANSWER_SECONDS,
            )
            if isinstance(told, Err):
                failures += 1
                epoch = ""
                if failures == 1:
                    logger.info(
                        "control_host_lost",
                        address=address,
                        why=told.err_value.message,
                    )
                await asyncio.sleep(PAUSE_LOST_SECONDS)
                continue
            if failures:
                logger.info("control_host_regained", address=address)
            failures = 0
            reply = told.ok_value
            epoch, cursor = reply.epoch, reply.cursor
            self.view.take(address, reply, sent_at)
