"""Finds out which software version began a stream that a caller resumes."""

import asyncio
import time
from collections.abc import Sequence

from marjoramyard.coordination.serving.stream_versions import (
    RETENTION_SECONDS,
    StreamOrigin,
    stream_key,
)
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.broker_clients import BrokerClients
from marjoramyard.fleet.gateway.broker_protocol import BegunStream
from marjoramyard.fleet.gateway.run_failures import (
    unknown_stream_failure,
)
from marjoramyard.fleet.gateway.version_confirmations import (
    VersionConfirmations,
)
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.kernel.errors import FleetError
from marjoramyard.kernel.ids import StreamKey
from marjoramyard.kernel.metrics import Metrics

MAX_WAIT_SECONDS = 1.5
"""How long a resumed stream waits for a broker that can tell its version. A
successor is found, and told of all streams, within that time."""
RETRY_SECONDS = 0.05


class StreamOrigins:
    """Records what begins streams, and finds it when they are resumed."""

    def __init__(
        self,
        view: FleetView,
        brokers: BrokerClients,
        confirmations: VersionConfirmations,
        metrics: Metrics,
    ):
        self.view = view
        self.brokers = brokers
        self.confirmations = confirmations
        self.metrics = metrics

    def record(self, caller: CallerRequest, service: str, version: str) -> None:
        """Records what the events of a stream come from.

        Must be called before the caller has the first event.
        """
        attempt = caller.resumes if caller.last_event else caller.attempt
        if not attempt:
            return
        key = _key_of(caller, attempt)
        origin = StreamOrigin(service, version)
        seconds = RETENTION_SECONDS + caller.route.timeout_ms / 1000
        self.view.streams.record(key, origin, time.monotonic(), seconds)
        self.brokers.report_stream(
            service, BegunStream(key, version, int(seconds * 1000))
        )

    async def find(
        self, caller: CallerRequest, services: Sequence[str]
    ) -> StreamOrigin:
        """Returns what began the stream that a caller resumes.

        Args:
            caller: The request.
            services: The services that may get it.

        Raises:
            FleetError: The stream must not be resumed, or not now.
        """
        origin, is_final = await self._find(caller, services)
        if origin is None or origin.is_ambiguous:
            self.metrics.count("resumed_streams", origin="unknown")
            raise FleetError(unknown_stream_failure(is_final))
        if origin.service not in services:
            self.metrics.count("resumed_streams", origin="other-service")
            raise FleetError(unknown_stream_failure(True))
        self.metrics.count("resumed_streams", origin="known")
        return origin

    async def _find(
        self, caller: CallerRequest, services: Sequence[str]
    ) -> tuple[StreamOrigin | None, bool]:
        """Returns the origin, and whether a retry could not find another."""
        wait = min(MAX_WAIT_SECONDS, caller.seconds_left(time.monotonic()) / 2)
        until = time.monotonic() + wait
        if not caller.resumes:
            return await self._sole_origin(services, until)
        key = _key_of(caller, caller.resumes)
        while True:
            origin = self.view.streams.find(key, time.monotonic())
            if origin is not None:
                return origin, True
            origin, is_final = await self._query(services, key)
            if origin is not None:
                return origin, True
            origin, is_confirmed = await self._sole_origin(services, until)
            if origin is not None or (is_final and is_confirmed):
                return origin, True
            if time.monotonic() >= until:
                return None, False
            await asyncio.sleep(RETRY_SECONDS)

    async def _query(
        self, services: Sequence[str], key: StreamKey
    ) -> tuple[StreamOrigin | None, bool]:
        """Asks the brokers; returns the origin, and whether all know enough."""
        replies = await asyncio.gather(
            *(self.brokers.query_stream(service, key) for service in services)
        )
        for service, reply in zip(services, replies, strict=True):
            if reply is not None and reply.version is not None:
                return (
                    StreamOrigin(service, reply.version, reply.is_ambiguous),
                    True,
                )
        return None, all(reply and reply.is_final for reply in replies)

    async def _sole_origin(
        self, services: Sequence[str], until: float
    ) -> tuple[StreamOrigin | None, bool]:
        """Returns what must have begun any stream, if there is no choice.

        Args:
            services: The services that may get the request.
            until: When to give up, on the monotonic clock in seconds.

        Returns:
            The origin, and whether that is confirmed.
        """
        if len(services) != 1 or self.view.sole_version(services[0]) is None:
            return None, True
        known_config = self.view.version
        confirmed = await self.confirmations.confirm(
            services[0], until - time.monotonic()
        )
        # By a newer configuration the stream may belong to another service.
        if confirmed is None or confirmed.config_version > known_config:
            return None, False
        version = self.view.sole_version(services[0], confirmed.registered)
        if version is None:
            return None, True
        return StreamOrigin(services[0], version), True


def _key_of(caller: CallerRequest, attempt: str) -> StreamKey:
    workspace = caller.workspace.name if caller.workspace is not None else ""
    return stream_key(workspace, attempt)
