"""The broker side of the broker protocol: one queue for each service."""

import asyncio
import time

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.requests import (
    PlacementGrant,
    PlacementRefusal,
    PlacementRequest,
    UnbrokeredRequest,
)
from marjoramyard.fleet.gateway.broker_protocol import (
    HEARTBEAT_INTERVAL_SECONDS,
    BrokerMessage,
    Finished,
    FirstToken,
    GatewayMessage,
    Heartbeat,
    PlaceGrant,
    PlaceRefusal,
    PlaceRequest,
    RunningRequest,
    Withdraw,
    gateway_message_decoder,
)
from marjoramyard.fleet.gateway.engine_load import estimate_prefill_rate
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.liveness import LivenessTimer
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Labels

logger = get_logger(__name__)

GATEWAY_TIMEOUT_SECONDS = 0.3
"""A gateway from which nothing was received for so long is suspended: it gets
no further grants until its next message. Longer than the scheduling pauses
of a host with little CPU."""
LOG_INTERVAL_SECONDS = 1.0


class GatewayConnection:
    """A gateway that is connected to this broker.

    Attributes:
        number: Identifies the connection on this host.
        outbox: Messages to be sent in the next frame.
        requests: The service of each request, by the gateway's number of it.
        liveness: Expires when the gateway sends nothing for too long.
    """

    def __init__(self, number: int, socket: web.WebSocketResponse):
        self.number = number
        self.socket = socket
        self.outbox: list[BrokerMessage] = []
        self.requests: dict[int, str] = {}
        self.liveness = LivenessTimer(
            GATEWAY_TIMEOUT_SECONDS, HEARTBEAT_INTERVAL_SECONDS
        )

    @property
    def name(self) -> str:
        """The name of the gateway at the brokers."""
        return str(self.number)

    def key(self, number: int) -> str:
        """Returns a request's key, unique among all gateways' requests."""
        return f"{self.number}/{number}"


class BrokerServer:
    """Runs the brokers of the services that gateways request places for."""

    def __init__(self, view: FleetView):
        self.view = view
        self.brokers: dict[str, Broker] = {}
        self.gateways: dict[int, GatewayConnection] = {}
        self.last_gateway_number = 0
        self.dispatch_scheduled = False

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Handles the WebSocket connection of a gateway until it closes."""
        socket = web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        self.last_gateway_number += 1
        gateway = GatewayConnection(self.last_gateway_number, socket)
        self.gateways[gateway.number] = gateway
        try:
            async for frame in socket:
                if frame.type is aiohttp.WSMsgType.TEXT:
                    self._on_activity(gateway)
                    for message in gateway_message_decoder.decode(frame.data):
                        self._on_message(gateway, message)
                    self._schedule_dispatch()
        except ConnectionError as error:
            logger.info(
                "broker_gateway_lost", gateway=gateway.number, why=repr(error)
            )
        finally:
            del self.gateways[gateway.number]
            self._remove(gateway)
        return socket

    def _on_activity(self, gateway: GatewayConnection) -> None:
        if gateway.liveness.has_expired:
            for broker in self.brokers.values():
                broker.resume(gateway.name)
        gateway.liveness.reset()

    def _check_liveness(self, gateway: GatewayConnection) -> None:
        had_expired = gateway.liveness.has_expired
        gateway.liveness.tick()
        if gateway.liveness.has_expired and not had_expired:
            for broker in self.brokers.values():
                broker.suspend(gateway.name, _now())

    def _remove(self, gateway: GatewayConnection) -> None:
        """Removes the requests of a disconnected gateway.

        Its connections to endpoints are closed as well, so its requests have
        ended.
        """
        for broker in self.brokers.values():
            broker.set_lagging(gateway.name, False)
        for number, service in gateway.requests.items():
            broker = self.brokers[service]
            broker.cancel(gateway.key(number))
            broker.finish(gateway.key(number))
        self._schedule_dispatch()

    def _broker(self, service: str) -> Broker | None:
        table = self.view.table
        configured = table.services.get(service) if table is not None else None
        if configured is None or configured.engine is None:
            return None
        broker = self.brokers.get(service)
        if broker is None:
            engines = len(self.view.registrations.usable(service))
            rate = estimate_prefill_rate(table.config, engines)
            broker = Broker(configured.engine, rate)
            self.brokers[service] = broker
            logger.info("brokering", service=service, rate=round(rate, 1))
        usable = self.view.usable(service, set())
        broker.set_engines(registration.endpoint for registration in usable)
        return broker

    def _on_message(
        self, gateway: GatewayConnection, message: GatewayMessage
    ) -> None:
        if isinstance(message, Heartbeat):
            for broker in self.brokers.values():
                broker.set_lagging(gateway.name, message.is_late)
            return
        if isinstance(message, PlaceRequest):
            self._submit(gateway, message)
            return
        if isinstance(message, RunningRequest):
            self._add_unbrokered(gateway, message)
            return
        service = gateway.requests.get(message.number)
        if service is None:
            return
        broker = self.brokers[service]
        key = gateway.key(message.number)
        if isinstance(message, FirstToken):
            broker.record_first_token(key, _now(), not message.is_late)
        elif isinstance(message, Withdraw):
            broker.cancel(key)
            broker.finish(key)
            del gateway.requests[message.number]
        elif isinstance(message, Finished):
            self._on_finished(broker, key, message)
            del gateway.requests[message.number]

    def _on_finished(self, broker: Broker, key: str, message: Finished) -> None:
        in_flight = broker.in_flight.get(key)
        if in_flight is not None and message.failed:
            self.view.health_of(in_flight.endpoint).record_failure(
                time.monotonic()
            )
        broker.finish(key)

    def _submit(
        self, gateway: GatewayConnection, message: PlaceRequest
    ) -> None:
        broker = self._broker(message.service)
        if broker is None:
            gateway.outbox.append(PlaceRefusal(message.number, 0.0, 0.0))
            return
        now = _now()
        placement_request = PlacementRequest(
            key=gateway.key(message.number),
            workspace=message.workspace,
            parts=message.prompt(),
            output_tokens=message.output_tokens,
            first_token_due_at=now + message.due_ms,
            deadline_at=now + message.left_ms,
            submitted_at=now,
            excluded_endpoints=frozenset(message.without),
            router=gateway.name,
        )
        refusal = broker.submit(placement_request, now)
        if refusal is not None:
            self._send_refusal(gateway, message.number, refusal)
        else:
            gateway.requests[message.number] = message.service

    def _add_unbrokered(
        self, gateway: GatewayConnection, message: RunningRequest
    ) -> None:
        broker = self._broker(message.service)
        if broker is not None:
            gateway.requests[message.number] = message.service
            unbrokered = UnbrokeredRequest(
                key=gateway.key(message.number),
                endpoint=message.endpoint,
                prefill_tokens=message.tokens,
                memory_tokens=message.memory,
                workspace=message.workspace,
                output_tokens=message.output_tokens,
                router=gateway.name,
            )
            broker.add_unbrokered(unbrokered, _now())

    @staticmethod
    def _send_refusal(
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
        if not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self) -> None:
        self.dispatch_scheduled = False
        now = _now()
        for service, broker in self.brokers.items():
            if self._broker(service) is None:
                continue
            for decision in [*broker.expire(now), *broker.dispatch(now)]:
                self._notify(decision)
        for gateway in self.gateways.values():
            self._flush(gateway)

    def _notify(self, decision: PlacementGrant | PlacementRefusal) -> None:
        gateway_number, _, request_number = decision.key.partition("/")
        gateway = self.gateways.get(int(gateway_number))
        if gateway is None:
            return
        number = int(request_number)
        if isinstance(decision, PlacementRefusal):
            gateway.requests.pop(number, None)
            self._send_refusal(gateway, number, decision)
            return
        gateway.outbox.append(
            PlaceGrant(
                number,
                decision.endpoint,
                decision.fetch_from,
                decision.prefill_tokens,
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
        """Logs the load of each broker that has requests, once a second."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            for service, broker in self.brokers.items():
                counts = broker.counts()
                if any(counts.values()):
                    logger.info(
                        "broker_load",
                        service=service,
                        wait_ms=round(broker.mean_wait_ms),
                        rate=round(broker.total_prefill_rate),
                        suspended=len(broker.suspended),
                        **counts,
                    )

    def wait_seconds(self) -> list[tuple[float, Labels]]:
        """Returns the mean estimated wait at the engines, by service."""
        return [
            (broker.mean_wait_ms / 1000, {"service": service})
            for service, broker in self.brokers.items()
        ]

    def requests(self) -> list[tuple[float, Labels]]:
        """Returns the number of requests, by service and state."""
        return [
            (float(count), {"service": service, "state": state})
            for service, broker in self.brokers.items()
            for state, count in broker.counts().items()
        ]

    async def send_heartbeats_forever(self) -> None:
        """Sends heartbeats to all gateways and checks theirs."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            for gateway in self.gateways.values():
                self._check_liveness(gateway)
                gateway.outbox.append(Heartbeat())
            self._schedule_dispatch()


def _log_send_failure(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("broker_reply_failed", why=repr(task.exception()))


def _now() -> float:
    return time.monotonic() * 1000
