"""Fetches new configurations from a control host that has announced them."""

import asyncio

from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet import paths
from marjoramyard.fleet.config_transfer import (
    ConfigUpdate,
    FetchConfig,
    apply_update,
    digest_of,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.errors import Failure
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

FETCH_SECONDS = 0.8
"""Timeout of one attempt. A control host that is lost must leave time for
another one before the configuration has to be in force."""
RETRY_SECONDS = 0.1


class ConfigFetcher:
    """Keeps a gateway's configuration up to date.

    Control hosts only announce versions, and one of them sends the document.
    So a change crosses the network once for each gateway.

    Attributes:
        announced: By control host, the version that it has announced.
        zones: By control host, its availability zone.
        changed: Set when a newer version is announced.
        text: The document in force, to which deltas refer.
        failed: Control hosts that have failed since the last success.
    """

    def __init__(self, client, view: FleetView, zone: str):
        self.client = client
        self.view = view
        self.zone = zone
        self.announced: dict[str, int] = {}
        self.zones: dict[str, str] = {}
        self.changed = asyncio.Event()
        self.text = b""
        self.failed: set[str] = set()

    def on_announced(self, source: str, version: int, zone: str) -> None:
        """Records the version that a control host has."""
        self.announced[source] = version
        self.zones[source] = zone
        if version > self.view.version:
            self.changed.set()

    async def run(self) -> None:
        """Fetches announced versions until cancelled."""
        while True:
            await self.changed.wait()
            self.changed.clear()
            while source := self._choose_source():
                fetched = await self._fetch(source)
                if isinstance(fetched, Ok):
                    self._install(fetched.ok_value)
                    self.failed.clear()
                    continue
                logger.info(
                    "config_fetch_failed", source=source, why=fetched.err_value
                )
                self.failed.add(source)
                await asyncio.sleep(RETRY_SECONDS)

    def _choose_source(self) -> str:
        """Returns a control host with a newer version; "" if there is none.

        Rather one that has not failed, in this gateway's availability zone,
        with the newest version.
        """
        ahead = [
            source
            for source, version in self.announced.items()
            if version > self.view.version
        ]
        return max(
            ahead,
            key=lambda source: (
                source not in self.failed,
                self.zones[source] == self.zone,
                self.announced[source],
            ),
            default="",
        )

    async def _fetch(self, source: str) -> Result[ConfigDocument, str]:
        held = self.text
        request = FetchConfig(
            self.view.version, digest_of(held) if held else ""
        )
        result: Result[ConfigUpdate, Failure] = await self.client.call(
            source,
            paths.FETCH_CONFIG_PATH,
            request,
            ConfigUpdate,
            FETCH_SECONDS,
        )
        if isinstance(result, Err):
            return Err(result.err_value.message)
        update = result.ok_value
        if update.version <= self.view.version:
            # The host was restarted and has not caught up.
            self.announced[source] = 0
            return Err(f"it has version {update.version} only")
        return apply_update(held, update)

    def _install(self, document: ConfigDocument) -> None:
        if self.view.install(document):
            self.text = document.text
            return
        # Not offered again; a newer version replaces it.
        for source, version in self.announced.items():
            if version <= document.version:
                self.announced[source] = 0
