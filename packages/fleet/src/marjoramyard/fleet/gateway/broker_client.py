"""The gateway side of the broker protocol."""

import asyncio
import time
from collections.abc import Callable, Sequence

import aiohttp
import msgspec

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import Service
from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PATH,
    BROKER_PROTOCOLS,
    BROKER_TIMEOUT_SECONDS,
    CORES_PARAMETER,
    FORWARDING_PARAMETER,
    HANDOVER_PROTOCOL,
    HEARTBEAT_INTERVAL_SECONDS,
    NOTICE_PROTOCOL,
    PREFIX_PROTOCOL,
    SERVICE_PARAMETER,
    STREAM_PROTOCOL,
    ZONE_PARAMETER,
    BrokerMessage,
    CachedPrefix,
    EndpointLeaving,
    EndpointPause,
    Finished,
    FirstToken,
    GatewayMessage,
    Heartbeat,
    PlaceGrant,
    PlaceRefusal,
    PlaceRequest,
    RunningRequest,
    SnapshotAnnouncement,
    StreamReply,
    StreamsBegun,
    Withdraw,
    broker_message_decoder,
    includes,
)
from marjoramyard.fleet.gateway.broker_streams import BrokerStreams
from marjoramyard.fleet.gateway.held_snapshot import HeldSnapshot
from marjoramyard.fleet.gateway.prefix_history import PrefixHistory
from marjoramyard.fleet.gateway.refusal_cache import RefusalCache
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.lag import LoopLag
from marjoramyard.fleet.util.liveness import LivenessTimer
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

RECONNECT_SECONDS = 0.2
AVOID_SECONDS = 3.0
"""How long a broker that did not respond is passed over for its successor.
Within this time the control hosts select another one if it is lost."""
CONNECT_SECONDS = 0.4
"""Timeout of opening and of closing a connection."""
PEERS_KEPT_SECONDS = 5.0
"""How long the last known peers are used without a broker that has been told
that they are needed. Within this time another broker is selected."""
NEED_KNOWN_TICKS = 2
"""Heartbeat intervals after the first report of a need within which a broker
may still name no peers because it doesn't know of the need."""


class ForwardingInfo(msgspec.Struct, frozen=True):
    """What brokers are told of this gateway when it connects.

    Attributes:
        address: Where it accepts forwarded requests; "" for nowhere.
        cores: Its processor cores.
    """

    address: str = ""
    cores: float = 1.0


NO_FORWARDING = ForwardingInfo()


class PendingPlacement(msgspec.Struct, frozen=True):
    """A placement request without a reply.

    Attributes:
        service: The service that it is for.
        excluded: Endpoints that it must not be sent to.
        future: Gets the reply, or None if there is none.
    """

    service: str
    excluded: set[str]
    future: asyncio.Future


class BrokerClient:
    """A gateway's connection to the broker of one service.

    Attributes:
        refusals: Recent refusals that still hold.
        zone: The availability zone of this gateway.
        forwarding: What brokers are told of this gateway.
        avoided_until: When brokers that did not respond are used again, by
            address, on the monotonic clock in seconds.
        liveness: Expires when the broker sends nothing for too long.
        peers: The gateways that have room for forwarded requests, as last
            reported by a broker: their processor cores by address.
        peers_until: Until when they are used, on the monotonic clock in
            seconds.
        needs_peers: Whether this gateway wants to forward requests.
        excess: Returns the prompts a second that it forwards or refuses.
        is_leaving: Whether this gateway is shutting down.
        has_reported_leaving: Whether the broker was told so.
        need_reports: The heartbeats in a row, up to the last one, that told the
            broker that this gateway needs peers.
        had_need: Whether this gateway needed peers at the last tick.
        is_need_over: Whether it needed peers earlier, but not at the last tick.
        last_number: The number of the last request.
        pending: Placement requests without a reply, by number.
        running: Requests at endpoints, by number.
        sent_at: When they were sent, on the monotonic clock in seconds.
        outbox: Messages to be sent in the next frame.
        history: The shared prompt parts that were recently sent to engines.
        held: What the broker has announced for its successor.
        streams: The exchange of the software versions of streams.
    """

    def __init__(
        self,
        view: FleetView,
        session: aiohttp.ClientSession,
        lag: LoopLag,
        zone: str = "",
        forwarding: ForwardingInfo = NO_FORWARDING,
    ):
        self.zone = zone
        self.forwarding = forwarding
        self.peers: dict[str, float] = {}
        self.peers_until = float("-inf")
        self.needs_peers: Callable[[], bool] = lambda: False
        self.excess: Callable[[], float] = lambda: 0.0
        self.need_reports = 0
        self.had_need = False
        self.is_need_over = False
        self.is_leaving: Callable[[], bool] = lambda: False
        self.has_reported_leaving = False
        self.avoided_until: dict[str, float] = {}
        self.view = view
        self.session = session
        self.lag = lag
        self.refusals = RefusalCache()
        self.socket: aiohttp.ClientWebSocketResponse | None = None
        self.liveness = LivenessTimer(
            BROKER_TIMEOUT_SECONDS, HEARTBEAT_INTERVAL_SECONDS
        )
        self.last_number = 0
        self.pending: dict[int, PendingPlacement] = {}
        self.running: dict[int, RunningRequest] = {}
        self.sent_at: dict[int, float] = {}
        self.outbox: list[GatewayMessage] = []
        self.history = PrefixHistory()
        self.held = HeldSnapshot()
        self.flush_scheduled = False
        self.streams = BrokerStreams(view.streams, self._send)

    @property
    def knows_streams(self) -> bool:
        """Whether there is a responsive broker that keeps streams."""
        return self.is_connected and includes(
            self.socket.protocol, STREAM_PROTOCOL
        )

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection and the broker is responsive."""
        return self.socket is not None and not self.liveness.has_expired

    @property
    def has_reported_need(self) -> bool:
        """Whether the broker was last told that this gateway needs peers."""
        return self.need_reports > 0

    def _broker_of(self, service: str) -> str:
        """Returns the first broker that is not avoided; "" if there is none.

        All gateways notice a lost broker at about the same time and pass over
        to the same successor, before the control hosts have selected it.
        """
        now = time.monotonic()
        addresses = self.view.brokers_of(service)
        usable = [
            address
            for address in addresses
            if self.avoided_until.get(address, 0.0) <= now
        ]
        return next(iter(usable or addresses), "")

    def _avoid(self, address: str) -> None:
        now = time.monotonic()
        self.avoided_until = {
            other: until
            for other, until in self.avoided_until.items()
            if until > now
        }
        self.avoided_until[address] = now + AVOID_SECONDS

    async def run(self, service: str) -> None:
        """Connects to the service's broker, and reconnects, until cancelled."""
        while True:
            address = self._broker_of(service)
            if address:
                await self._connect(service, address)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _connect(self, service: str, address: str) -> None:
        try:
            socket = await LivenessTimer(
                CONNECT_SECONDS, HEARTBEAT_INTERVAL_SECONDS
            ).wait_for(
                self.session.ws_connect(
                    f"http://{address}{BROKER_PATH}",
                    params={
                        ZONE_PARAMETER: self.zone,
                        FORWARDING_PARAMETER: self.forwarding.address,
                        SERVICE_PARAMETER: service,
                        CORES_PARAMETER: f"{self.forwarding.cores:g}",
                    },
                    protocols=BROKER_PROTOCOLS,
                    compress=0,
                )
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.info("broker_unreachable", broker=address, why=repr(error))
            self._avoid(address)
            return
        logger.info("broker_connected", service=service, broker=address)
        self.socket = socket
        self.need_reports = 0
        self.has_reported_leaving = False
        self.liveness.reset()
        self.held.start_connection()
        self.outbox = self._first_messages(service, socket.protocol)
        self._schedule_flush()
        try:
            await self.liveness.wait_for(self._read(service, address, socket))
        except TimeoutError:
            logger.info("broker_unresponsive", service=service, broker=address)
            self._avoid(address)
        finally:
            self.socket = None
            self._release_pending()
            await self._close(socket)
            logger.info("broker_lost", service=service, broker=address)

    def _first_messages(
        self, service: str, protocol: str | None
    ) -> list[GatewayMessage]:
        """Returns what a new broker is told, as far as it knows the messages.

        Args:
            service: The broker's service.
            protocol: The protocol that the broker has selected.
        """
        messages: list[GatewayMessage] = []
        if includes(protocol, HANDOVER_PROTOCOL):
            messages += self.held.handover(service)
        if includes(protocol, STREAM_PROTOCOL):
            messages += self.streams.known_streams(service)
        if includes(protocol, NOTICE_PROTOCOL):
            messages += self._notices(service)
        if includes(protocol, PREFIX_PROTOCOL):
            messages += self._cached_prefixes(service)
        if includes(protocol, HANDOVER_PROTOCOL):
            return messages + self._running_with_ages()
        return messages + list(self.running.values())

    def _running_with_ages(self) -> list[RunningRequest]:
        now = time.monotonic()
        return [
            msgspec.structs.replace(
                running, age_ms=(now - self.sent_at[number]) * 1000
            )
            for number, running in self.running.items()
        ]

    def _cached_prefixes(self, service: str) -> list[CachedPrefix]:
        return [
            CachedPrefix(
                service,
                prefix.endpoint,
                [(part.digest, part.tokens) for part in prefix.parts],
            )
            for prefix in self.history.recent()
        ]

    def _notices(self, service: str) -> list[GatewayMessage]:
        pauses = [
            EndpointPause(service, endpoint, seconds * 1000)
            for endpoint, seconds in self.view.pauses_of(service).items()
        ]
        leaving = [
            EndpointLeaving(service, endpoint.endpoint, endpoint.born)
            for endpoint in self.view.leaving_of(service)
        ]
        return pauses + leaving

    async def _read(self, service: str, address: str, socket) -> None:
        while self._broker_of(service) == address:
            frame = await socket.receive()
            if frame.type is not aiohttp.WSMsgType.TEXT:
                return
            self.liveness.reset()
            for message in broker_message_decoder.decode(frame.data):
                self._on_message(message)

    @staticmethod
    async def _close(socket: aiohttp.ClientWebSocketResponse) -> None:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await socket.close()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logger.info("broker_close_failed", why=repr(error))

    def _on_message(self, message: BrokerMessage) -> None:
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message)
            return
        if isinstance(message, SnapshotAnnouncement):
            self.held.record(message)
            return
        if isinstance(message, StreamsBegun):
            self.streams.on_begun(message)
            return
        if isinstance(message, StreamReply):
            self.streams.on_reply(message)
            return
        if isinstance(message, EndpointLeaving):
            if self.view.record_leaving(message.endpoint, message.born):
                self._release_unplaceable()
            return
        pending = self.pending.pop(message.number, None)
        if pending is not None and not pending.future.done():
            pending.future.set_result(message)
        elif isinstance(message, PlaceGrant):
            # The caller disconnected, or the request was placed locally.
            self._send(Finished(message.number))

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.is_probe:
            self._send_heartbeat()
        if self.is_need_over:
            # It was sent before the broker was told.
            return
        if not heartbeat.peers and self.need_reports <= NEED_KNOWN_TICKS:
            # A broker names none until it knows that they are needed.
            return
        # A broker of an earlier release doesn't tell the cores.
        missing = len(heartbeat.peers) - len(heartbeat.peer_cores)
        cores = [*heartbeat.peer_cores, *[1.0] * missing]
        self.peers = dict(zip(heartbeat.peers, cores, strict=False))
        self.peers_until = time.monotonic() + PEERS_KEPT_SECONDS

    def known_peers(self) -> dict[str, float]:
        """Returns the gateways that have room: their cores by address.

        The last known ones are used for a while after a broker was lost.
        """
        return self.peers if time.monotonic() < self.peers_until else {}

    def _release_pending(self) -> None:
        """Lets pending requests proceed without a broker."""
        self.streams.release()
        pending, self.pending = self.pending, {}
        for placement in pending.values():
            if not placement.future.done():
                placement.future.set_result(None)

    def _send(self, message: GatewayMessage) -> None:
        if self.socket is None:
            return
        self.outbox.append(message)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Sends all messages of one event loop iteration in one frame."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        outbox, self.outbox = self.outbox, []
        if outbox and self.socket is not None and not self.socket.closed:
            data = msgspec.json.encode(outbox).decode()
            task = asyncio.ensure_future(self.socket.send_str(data))
            task.add_done_callback(_log_send_failure)

    async def place(
        self, caller: CallerRequest, service: Service, excluded: set[str]
    ) -> tuple[int, PlaceGrant | PlaceRefusal | None]:
        """Requests the placement of a request from the broker.

        Args:
            caller: The request.
            service: The service that it is for.
            excluded: Endpoints that it must not be sent to.

        Returns:
            The request's number for later calls, and the broker's reply, or
                None if no broker replied.
        """
        self.last_number += 1
        number = self.last_number
        if not self.is_connected:
            return number, None
        workspace = caller.workspace.name if caller.workspace else ""
        queue = (workspace, caller.route.name, caller.is_overdue)
        cached = self.refusals.find(queue)
        if cached is not None:
            return number, cached
        now = time.monotonic()
        future = asyncio.get_running_loop().create_future()
        self.pending[number] = PendingPlacement(service.name, excluded, future)
        self._send(
            PlaceRequest(
                number,
                service.name,
                workspace,
                [(part.digest, part.tokens) for part in caller.parts],
                caller.output_tokens,
                (caller.first_due_at - now) * 1000,
                caller.seconds_left(now) * 1000,
                sorted(excluded),
                caller.is_overdue,
            )
        )
        try:
            reply = await future
            if isinstance(reply, PlaceRefusal):
                self.refusals.add(queue, reply)
            return number, reply
        finally:
            if self.pending.pop(number, None) is not None:
                self._send(Withdraw(number))

    async def send_heartbeats_forever(self) -> None:
        """Sends heartbeats while the broker needs to know of this gateway.

        That is while a request is pending or being prefilled, and while this
        gateway needs peers, until the broker is told that it no longer does.
        """
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Sends a heartbeat if one is due."""
        self._note_need(self.needs_peers())
        if self._must_send_heartbeat():
            self._send_heartbeat()

    def _note_need(self, needs_peers: bool) -> None:
        """Forgets the peers once they are no longer needed."""
        if needs_peers:
            self.is_need_over = False
        elif self.had_need:
            self.is_need_over = True
            self.peers = {}
        self.had_need = needs_peers

    def _must_send_heartbeat(self) -> bool:
        is_waiting = bool(self.pending) or any(
            running.tokens for running in self.running.values()
        )
        has_need = self.needs_peers() or self.has_reported_need
        has_news = self.is_leaving() and not self.has_reported_leaving
        return is_waiting or has_need or has_news

    def _send_heartbeat(self) -> None:
        needs_peers = self.needs_peers()
        excess = round(self.excess(), 1) if needs_peers else 0.0
        is_leaving = self.is_leaving()
        is_reported = needs_peers and self.socket is not None
        self.need_reports = self.need_reports + 1 if is_reported else 0
        self.has_reported_leaving = is_leaving and self.socket is not None
        self._send(
            Heartbeat(
                self.lag.is_lagging,
                needs_peers=needs_peers,
                excess=excess,
                is_leaving=is_leaving,
            )
        )

    def on_started(
        self,
        running: RunningRequest,
        parts: Sequence[PromptPart],
        is_granted: bool,
    ) -> None:
        """Records that a request is being sent to an endpoint.

        Args:
            running: The request.
            parts: Its prompt parts.
            is_granted: Whether the broker chose the endpoint.
        """
        self.history.add(running.endpoint, parts)
        self.running[running.number] = running
        self.sent_at[running.number] = time.monotonic()
        if not is_granted:
            self._send(running)

    def on_pause(self, endpoint: Registration, seconds: float) -> None:
        """Tells the broker of a pause that an endpoint has asked for."""
        self._send_notice(
            EndpointPause(endpoint.service, endpoint.endpoint, seconds * 1000)
        )

    def on_leaving(self, endpoint: Registration) -> None:
        """Tells the broker that an endpoint has said that it is leaving."""
        self._send_notice(
            EndpointLeaving(endpoint.service, endpoint.endpoint, endpoint.born)
        )

    def _send_notice(self, notice: EndpointPause | EndpointLeaving) -> None:
        if self.socket is not None and includes(
            self.socket.protocol, NOTICE_PROTOCOL
        ):
            self._send(notice)
        self._release_unplaceable()

    def _release_unplaceable(self) -> None:
        """Ends the wait of requests for which no endpoint is left."""
        for number, placement in list(self.pending.items()):
            if self.view.sendable(placement.service, placement.excluded):
                continue
            del self.pending[number]
            self._send(Withdraw(number))
            if not placement.future.done():
                placement.future.set_result(None)

    def return_grant(self, number: int) -> None:
        """Tells the broker that a grant is not used."""
        self._send(Finished(number))

    def on_first_token(self, number: int) -> None:
        """Reports the first token of a request to the broker."""
        running = self.running.get(number)
        if running is not None and running.tokens:
            running.tokens = 0.0
            self._send(FirstToken(number, self.lag.is_lagging))

    def on_finished(
        self, number: int, failed: bool, gap_ratio: float = 0.0
    ) -> None:
        """Reports that a request is no longer at its endpoint.

        Args:
            number: The request's number.
            failed: Whether the endpoint failed to respond.
            gap_ratio: See `Finished`.
        """
        if self.lag.is_lagging:
            # This gateway may have caused the gap.
            gap_ratio = 0.0
        self.sent_at.pop(number, None)
        if self.running.pop(number, None) is not None:
            self._send(Finished(number, failed, gap_ratio))


def _log_send_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("broker_send_failed", why=repr(task.exception()))
