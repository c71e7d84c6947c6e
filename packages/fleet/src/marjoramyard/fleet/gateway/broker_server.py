"""WebSocket server through which gateways request placement.

There is one `Broker` for each service that has engines.
"""

import asyncio
import math
import time
from functools import partial

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.cold_start import HANDOVER_MS
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
    UnbrokeredRequest,
)
from marjoramyard.coordination.routing.config import Service
from marjoramyard.fleet.gateway.broker_handovers import BrokerHandovers
from marjoramyard.fleet.gateway.broker_protocol import (
    BROKER_PROTOCOLS,
    CORES_PARAMETER,
    FORWARDING_PARAMETER,
    HEARTBEAT_INTERVAL_SECONDS,
    NOTICE_PROTOCOL,
    SERVICE_PARAMETER,
    ZONE_PARAMETER,
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
    SnapshotHandover,
    StreamQuery,
    StreamsBegun,
    Withdraw,
    gateway_message_decoder,
    includes,
)
from marjoramyard.fleet.gateway.cache_lists import CacheLists
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.engine_load import estimate_prefill_rate
from marjoramyard.fleet.gateway.gateway_connection import (
    GatewayConnection,
    gateways_to_probe,
    is_on_this_host,
    name_all_peers,
    read_cores,
)
from marjoramyard.fleet.gateway.stream_keeper import StreamKeeper
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.tasks import log_failure
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Labels

logger = get_logger(__name__)

LOG_INTERVAL_SECONDS = 1.0


class BrokerServer:
    """Serves gateways and runs the broker of each service they use.

    Decisions of the brokers are collected in the outboxes of the gateways and
    sent by a scheduled dispatch.

    Attributes:
        brokers: The brokers, by service.
        gateways: The open connections, by number.
        handovers: What the brokers take over, and announce for successors.
        streams: Keeps the software versions of streams.
        last_gateway_number: Number of the newest connection.
        without_engines: The connections for services without engines.
        usable: The last list of usable endpoints of each service.
        ready_counts: The most ready engines that each service had.
        dispatch_scheduled: Whether a dispatch is scheduled on the event loop.
        serves_majority: Whether most gateways of the fleet are connected.
        announced_leaving: The endpoints of which the gateways were told that
            they leave, with the start of their lifetime.
        uneven: Services whose engines were found to differ in speed.
    """

    def __init__(
        self,
        view: FleetView,
        cold_starts: ColdStarts,
        cache_lists: CacheLists,
    ):
        self.view = view
        self.cache_lists = cache_lists
        self.cold_starts = cold_starts
        self.brokers: dict[str, Broker] = {}
        self.gateways: dict[int, GatewayConnection] = {}
        self.handovers = BrokerHandovers(self.brokers, self.gateways)
        self.streams = StreamKeeper(view.streams, self.gateways)
        self.last_gateway_number = 0
        self.without_engines: set[int] = set()
        self.usable: dict[str, list[Registration]] = {}
        self.ready_counts: dict[str, int] = {}
        self.dispatch_scheduled = False
        self.serves_majority = False
        self.announced_leaving: dict[str, int] = {}
        self.uneven: set[str] = set()

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Handles the WebSocket connection of a gateway until it closes."""
        socket = web.WebSocketResponse(
            protocols=BROKER_PROTOCOLS, compress=False
        )
        await socket.prepare(request)
        self.last_gateway_number += 1
        gateway = GatewayConnection(
            self.last_gateway_number,
            socket,
            request.query.get(ZONE_PARAMETER, ""),
            request.query.get(FORWARDING_PARAMETER, ""),
            request.query.get(SERVICE_PARAMETER, ""),
            is_on_this_host(request),
            read_cores(request.query.get(CORES_PARAMETER, "")),
        )
        self._add_connection(gateway)
        self.handovers.refresh(_now_ms())
        self._announce_leaving(gateway, self._known_leaving())
        try:
            async for frame in socket:
                if frame.type is aiohttp.WSMsgType.TEXT:
                    self._resume_and_reset_timer(gateway)
                    for message in gateway_message_decoder.decode(frame.data):
                        self._on_message(gateway, message)
                    self._schedule_dispatch()
        except ConnectionError as error:
            logger.info(
                "broker_gateway_lost", gateway=gateway.number, why=repr(error)
            )
        finally:
            self._remove_connection(gateway)
            self._end_requests(gateway)
        return socket

    def _add_connection(self, gateway: GatewayConnection) -> None:
        self.gateways[gateway.number] = gateway
        self.streams.has_changed = True
        services = self.view.table.services if self.view.table else {}
        service = services.get(gateway.service)
        if service is not None and service.engine is None:
            self.without_engines.add(gateway.number)

    def _remove_connection(self, gateway: GatewayConnection) -> None:
        del self.gateways[gateway.number]
        self.streams.has_changed = True
        self.without_engines.discard(gateway.number)

    @property
    def router_count(self) -> int:
        """The connections of gateways for services with engines."""
        return len(self.gateways) - len(self.without_engines)

    def _resume_and_reset_timer(self, gateway: GatewayConnection) -> None:
        if gateway.liveness.has_expired:
            for broker in self.brokers.values():
                broker.resume(gateway.router)
        gateway.liveness.reset()

    def _suspend_if_expired(self, gateway: GatewayConnection) -> None:
        had_expired = gateway.liveness.has_expired
        gateway.liveness.tick()
        if gateway.liveness.has_expired and not had_expired:
            for broker in self.brokers.values():
                broker.suspend(gateway.router, _now_ms())

    def _end_requests(self, gateway: GatewayConnection) -> None:
        """Removes all requests of a disconnected gateway.

        The gateway is assumed to have exited, which ends its requests at the
        endpoints. A gateway that is still running reports its requests in
        flight when it reconnects.
        """
        for broker in self.brokers.values():
            broker.set_lagging(gateway.router, False)
            broker.forget_pauses(gateway.router)
        for number, service in gateway.services.items():
            broker = self.brokers[service]
            # The request may be queued or granted.
            broker.cancel(gateway.key(number))
            broker.finish(gateway.key(number))
        self._schedule_dispatch()

    def _refresh_broker(self, service: str) -> Broker | None:
        """Returns a service's broker with its current engines.

        Creates the broker if needed.

        Returns:
            The broker, or None if there is no configuration yet, or the
            service is unknown or has no engines.
        """
        table = self.view.table
        configured = table.services.get(service) if table is not None else None
        if configured is None or configured.engine is None:
            return None
        broker = self.brokers.get(service)
        if broker is None:
            # All ready engines count here, including unresponsive ones and
            # those in backoff.
            ready_count = len(self.view.registrations.usable(service))
            self.ready_counts[service] = ready_count
            rate = estimate_prefill_rate(table.config, ready_count)
            limit = self.cold_starts.limit_of(configured)
            broker = Broker(configured.engine, rate, limit)
            broker.cold_grants_from = math.inf
            self.brokers[service] = broker
            self._update_cold_grants(broker)
            self.handovers.add(service, broker, _now_ms())
            logger.info("brokering", service=service, rate=round(rate, 1))
        broker.set_router_count(self.router_count)
        usable = self.view.usable(service, set())
        if usable is not self.usable.get(service):
            self.usable[service] = usable
            broker.set_engines(r.endpoint for r in usable)
            self._update_engines(broker, configured, usable)
            self._update_initial_rate(service, broker)
            self.handovers.apply_estimates(service)
        return broker

    def _update_initial_rate(self, service: str, broker: Broker) -> None:
        """Divides the configured rate by the most engines that were ready.

        A broker may begin while few of them are known.
        """
        ready_count = len(self.view.registrations.usable(service))
        if ready_count <= self.ready_counts[service]:
            return
        self.ready_counts[service] = ready_count
        broker.set_initial_rate(
            estimate_prefill_rate(self.view.table.config, ready_count)
        )

    def _update_engines(
        self, broker: Broker, service: Service, usable: list[Registration]
    ) -> None:
        """Tells a broker what the registrations say of its engines."""
        broker.set_cold_limit(self.cold_starts.limit_of(service))
        for registration in usable:
            broker.set_lifetime(registration.endpoint, registration.born)
            self.cache_lists.request(
                registration,
                partial(broker.add_cached, registration.endpoint),
            )
            if broker.cold_limit:
                until = self.cold_starts.cold_until(service, registration)
                broker.set_cold_until(registration.endpoint, until * 1000)

    def _check_majority(self) -> None:
        """Lets only a broker of most gateways grant cold engines.

        While gateways are connected to two brokers, both together could send
        too much to a cold engine.
        """
        total = self.view.max_gateway_count(time.monotonic())
        serves_majority = 2 * self.router_count > total
        if serves_majority != self.serves_majority:
            self.serves_majority = serves_majority
            for broker in self.brokers.values():
                self._update_cold_grants(broker)

    def _update_cold_grants(self, broker: Broker) -> None:
        broker.cold_grants_from = (
            _now_ms() + HANDOVER_MS if self.serves_majority else math.inf
        )

    def _on_message(
        self, gateway: GatewayConnection, message: GatewayMessage
    ) -> None:
        """Applies a message to the broker of its request.

        `is_late` in a message means that the gateway is lagging, so that its
        reports are delayed. Messages about unknown requests are ignored.
        """
        if isinstance(message, Heartbeat):
            gateway.is_lagging = message.is_late
            gateway.needs_peers = message.needs_peers
            gateway.excess = message.excess
            gateway.is_leaving = message.is_leaving
            for broker in self.brokers.values():
                broker.set_lagging(gateway.router, message.is_late)
            return
        if isinstance(message, PlaceRequest):
            self._submit(gateway, message)
            return
        if isinstance(message, RunningRequest):
            self._add_unbrokered(gateway, message)
            return
        if isinstance(message, CachedPrefix):
            broker = self._refresh_broker(message.service)
            if broker is not None:
                broker.add_cached(message.endpoint, message.prompt())
            return
        if isinstance(message, EndpointPause):
            broker = self._refresh_broker(message.service)
            if broker is not None:
                until = _now_ms() + message.pause_ms
                broker.pause(gateway.router, message.endpoint, until)
            return
        if isinstance(message, EndpointLeaving):
            self._on_leaving(message)
            return
        if isinstance(message, SnapshotHandover):
            self._refresh_broker(message.service)
            self.handovers.adopt(message, _now_ms())
            return
        if isinstance(message, StreamsBegun):
            self.streams.on_begun(gateway, message)
            return
        if isinstance(message, StreamQuery):
            self.streams.on_query(gateway, message)
            return
        service = gateway.services.get(message.number)
        if service is None:
            return
        broker = self.brokers[service]
        key = gateway.key(message.number)
        if isinstance(message, FirstToken):
            self._on_first_token(broker, key, message)
        elif isinstance(message, Withdraw):
            # The request may be queued or granted.
            broker.cancel(key)
            broker.finish(key)
            del gateway.services[message.number]
        elif isinstance(message, Finished):
            self._on_finished(broker, key, message)
            del gateway.services[message.number]

    def _on_leaving(self, message: EndpointLeaving) -> None:
        """Passes on that an endpoint is leaving.

        A gateway that forwards requests passes on the endpoint's response too,
        without reading it.
        """
        self.view.record_leaving(message.endpoint, message.born)
        if self.announced_leaving.get(message.endpoint) == message.born:
            return
        known = self.view.leaving
        self.announced_leaving = {
            endpoint: born
            for endpoint, born in self.announced_leaving.items()
            if known.get(endpoint) == born
        }
        self.announced_leaving[message.endpoint] = message.born
        for gateway in self.gateways.values():
            self._announce_leaving(gateway, [message])

    def _known_leaving(self) -> list[EndpointLeaving]:
        return [
            EndpointLeaving(service, endpoint.endpoint, endpoint.born)
            for service in self.brokers
            for endpoint in self.view.leaving_of(service)
        ]

    @staticmethod
    def _announce_leaving(
        gateway: GatewayConnection, notices: list[EndpointLeaving]
    ) -> None:
        """Queues notices for a gateway, unless it is of an earlier release."""
        if notices and includes(gateway.socket.ws_protocol, NOTICE_PROTOCOL):
            gateway.outbox.extend(notices)

    def _on_first_token(
        self, broker: Broker, key: str, message: FirstToken
    ) -> None:
        in_flight = broker.in_flight.get(key)
        if in_flight is not None:
            self.view.health_of(in_flight.endpoint).record_success(
                time.monotonic()
            )
        broker.record_first_token(key, _now_ms(), not message.is_late)

    def _log_unevenness(self, service: str, broker: Broker) -> None:
        """Logs when the engines of a service begin or cease to differ."""
        if broker.is_uneven == (service in self.uneven):
            return
        self.uneven ^= {service}
        difference = broker.speeds.difference
        logger.info(
            "engines_uneven" if broker.is_uneven else "engines_even",
            service=service,
            engines=len(broker.engines),
            ratio=round(difference.ratio, 2) if difference else None,
            latency_ms=round(broker.speeds.latency.ms),
        )

    def _on_finished(self, broker: Broker, key: str, message: Finished) -> None:
        broker.record_longest_gap(key, message.gap_ratio)
        in_flight = broker.in_flight.get(key)
        if in_flight is not None and message.failed:
            self.view.health_of(in_flight.endpoint).record_failure(
                time.monotonic()
            )
        broker.finish(key)

    def _submit(
        self, gateway: GatewayConnection, message: PlaceRequest
    ) -> None:
        broker = self._refresh_broker(message.service)
        if broker is None:
            # The gateway applies its minimum retry delay and does not cache
            # the refusal.
            gateway.outbox.append(PlaceRefusal(message.number, 0.0, 0.0))
            return
        now = _now_ms()
        placement_request = PlacementRequest(
            key=gateway.key(message.number),
            workspace=message.workspace,
            parts=message.prompt(),
            output_tokens=message.output_tokens,
            first_token_due_at=now + message.due_ms,
            deadline_at=now + message.left_ms,
            submitted_at=now,
            excluded_endpoints=frozenset(message.without),
            router=gateway.router,
            is_overdue=message.is_overdue,
        )
        refusal = broker.submit(placement_request, now)
        if refusal is not None:
            self._queue_refusal(gateway, message.number, refusal)
        else:
            gateway.services[message.number] = message.service

    def _add_unbrokered(
        self, gateway: GatewayConnection, message: RunningRequest
    ) -> None:
        """Adds a request that was sent without a grant of this broker.

        Gateways place requests themselves while no broker responds, and report
        all their requests in flight when they connect.
        """
        broker = self._refresh_broker(message.service)
        if broker is not None:
            gateway.services[message.number] = message.service
            unbrokered = UnbrokeredRequest(
                key=gateway.key(message.number),
                endpoint=message.endpoint,
                prefill_tokens=message.tokens,
                memory_tokens=message.memory,
                workspace=message.workspace,
                output_tokens=message.output_tokens,
                router=gateway.router,
                age_ms=message.age_ms,
            )
            broker.add_unbrokered(unbrokered, _now_ms())

    @staticmethod
    def _queue_refusal(
        gateway: GatewayConnection, number: int, refusal: PlacementRefusal
    ) -> None:
        gateway.outbox.append(
            PlaceRefusal(
                number,
                refusal.retry_after_ms,
                refusal.predicted_ms,
                refusal.over_ms,
            )
        )

    def _schedule_dispatch(self) -> None:
        """Dispatches once for all messages of one event loop iteration."""
        if not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        """Runs all brokers and sends the outboxes of all gateways."""
        self.dispatch_scheduled = False
        now = _now_ms()
        for service, broker in self.brokers.items():
            if self._refresh_broker(service) is None:
                continue
            for decision in [*broker.expire(now), *broker.dispatch(now)]:
                self._queue_decision(decision)
            self._log_unevenness(service, broker)
        for gateway in self.gateways.values():
            self._flush(gateway)

    def _queue_decision(
        self, decision: PlacementGrant | PlacementRefusal
    ) -> None:
        gateway_number, _, request_number = decision.key.partition("/")
        gateway = self.gateways.get(int(gateway_number))
        if gateway is None:
            return
        number = int(request_number)
        if isinstance(decision, PlacementRefusal):
            gateway.services.pop(number, None)
            self._queue_refusal(gateway, number, decision)
            return
        gateway.outbox.append(
            PlaceGrant(
                number,
                decision.endpoint,
                decision.fetch_from,
                decision.prefill_tokens,
                decision.is_cold,
            )
        )

    @staticmethod
    def _flush(gateway: GatewayConnection) -> None:
        if gateway.outbox and not gateway.socket.closed:
            outbox, gateway.outbox = gateway.outbox, []
            data = msgspec.json.encode(outbox).decode()
            task = asyncio.ensure_future(gateway.socket.send_str(data))
            task.add_done_callback(_log_send_failure)

    async def log_load_forever(self) -> None:
        """Logs the load of brokers with requests until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            for service, broker in self.brokers.items():
                counts = broker.counts()
                if any(counts.values()):
                    lowest, highest = broker.backlog_limit_range()
                    logger.info(
                        "broker_load",
                        service=service,
                        wait_ms=round(broker.mean_wait_ms),
                        least_wait_ms=round(broker.least_wait_ms),
                        refused_after_loss=broker.refused_after_loss,
                        rate=round(broker.total_prefill_rate),
                        backlog_ms=round(broker.backlog_limit.limit_ms),
                        is_uneven=broker.is_uneven,
                        lowest_backlog_ms=round(lowest),
                        highest_backlog_ms=round(highest),
                        suspended=len(broker.suspended),
                        **counts,
                    )

    def mean_wait_seconds(self) -> list[tuple[float, Labels]]:
        """Returns the mean expected wait for a prefill, by service."""
        return [
            (broker.mean_wait_ms / 1000, {"service": service})
            for service, broker in self.brokers.items()
        ]

    def request_counts(self) -> list[tuple[float, Labels]]:
        """Returns the number of requests, by service and state."""
        return [
            (float(count), {"service": service, "state": state})
            for service, broker in self.brokers.items()
            for state, count in broker.counts().items()
        ]

    async def send_heartbeats_forever(self) -> None:
        """Sends heartbeats, and suspends unresponsive gateways.

        Runs until cancelled.
        """
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            self._check_majority()
            self.handovers.refresh(_now_ms())
            self.streams.refresh()
            for gateway in list(self.gateways.values()):
                with log_failure("suspend", gateway=gateway.number):
                    self._suspend_if_expired(gateway)
            self._queue_heartbeats()
            self.handovers.announce(_now_ms())
            self._schedule_dispatch()

    def _queue_heartbeats(self) -> None:
        gateways = self.gateways.values()
        named = name_all_peers(gateways)
        probed = gateways_to_probe(gateways)
        for gateway in gateways:
            peers = named.get(gateway.number, [])
            gateway.outbox.append(
                Heartbeat(
                    peers=[peer.address for peer in peers],
                    peer_cores=[peer.cores for peer in peers],
                    is_probe=gateway.number in probed,
                )
            )


def _log_send_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("broker_reply_failed", why=repr(task.exception()))


def _now_ms() -> float:
    return time.monotonic() * 1000
