"""The broker's side: one queue for each service, one socket a gateway."""

import asyncio
import time

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.placement.broker import Broker
from marjoramyard.coordination.placement.requests import (
    Ask,
    Granted,
    Refused,
    Sent,
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
"""A gateway that says nothing for so long won't send soon what it is granted.
The smallest hosts get their processor in turns, with pauses of up to 0.1 s."""


LOG_INTERVAL_SECONDS = 1.0


class GatewayConnection:
    """A gateway that asks."""

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
        """Names it to brokers."""
        return str(self.number)

    def key(self, number: int) -> str:
        """Names one of its requests among all gateways' requests."""
        return f"{self.number}/{number}"


class BrokerServer:
    """Runs a broker for each service that gateways ask this host about."""

    def __init__(self, view: FleetView):
        self.view = view
        self.brokers: dict[str, Broker] = {}
        self.gateways: dict[int, GatewayConnection] = {}
        self.last_gateway_number = 0
        self.dispatch_scheduled = False

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Serves one gateway until it goes."""
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
                "broker_peer_lost", gateway=gateway.number, why=repr(error)
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
        """Its requests have ended: its endpoints' connections are closed."""
        for broker in self.brokers.values():
            broker.set_late(gateway.name, False)
        for number, service in gateway.requests.items():
            broker = self.brokers[service]
            broker.cancel(gateway.key(number))
            broker.ended(gateway.key(number))
        self._schedule_dispatch()

    def _broker(self, service: str) -> Broker | None:
        table = self.view.table
        known = table.services.get(service) if table is not None else None
        if known is None or known.engine is None:
            return None
        broker = self.brokers.get(service)
        if broker is None:
            engines = len(self.view.registrations.usable(service))
            rate = estimate_prefill_rate(table.config, engines)
            broker = Broker(known.engine, rate)
            self.brokers[service] = broker
            logger.info("brokering", service=service, rate=round(rate, 1))
        usable = self.view.usable(service, set())
        broker.set_engines(word.endpoint for word in usable)
        return broker

    def _on_message(
        self, gateway: GatewayConnection, message: GatewayMessage
    ) -> None:
        if isinstance(message, Heartbeat):
            for broker in self.brokers.values():
                broker.set_late(gateway.name, message.is_late)
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
            broker.first_token(key, _now(), not message.is_late)
        elif isinstance(message, Withdraw):
            broker.cancel(key)
            broker.ended(key)
            del gateway.requests[message.number]
        elif isinstance(message, Finished):
            self._on_finished(broker, key, message)
            del gateway.requests[message.number]

    def _on_finished(self, broker: Broker, key: str, message: Finished) -> None:
        flight = broker.flights.get(key)
        if flight is not None and message.failed:
            self.view.health_of(flight.engine).failed(time.monotonic())
        broker.ended(key)

    def _submit(
        self, gateway: GatewayConnection, message: PlaceRequest
    ) -> None:
        broker = self._broker(message.service)
        if broker is None:
            gateway.outbox.append(PlaceRefusal(message.number, 0.0, 0.0))
            return
        now = _now()
        ask = Ask(
            key=gateway.key(message.number),
            workspace=message.workspace,
            parts=message.prompt(),
            output_tokens=message.output_tokens,
            aim_at=now + message.due_ms,
            give_up_at=now + message.left_ms,
            asked_at=now,
            without=frozenset(message.without),
            router=gateway.name,
        )
        refused = broker.ask(ask, now)
        if refused is not None:
            self._send_refusal(gateway, message.number, refused)
        else:
            gateway.requests[message.number] = message.service

    def _add_unbrokered(
        self, gateway: GatewayConnection, message: RunningRequest
    ) -> None:
        broker = self._broker(message.service)
        if broker is not None:
            gateway.requests[message.number] = message.service
            sent = Sent(
                key=gateway.key(message.number),
                endpoint=message.endpoint,
                tokens=message.tokens,
                memory=message.memory,
                workspace=message.workspace,
                output_tokens=message.output_tokens,
                router=gateway.name,
            )
            broker.adopt(sent, _now())

    @staticmethod
    def _send_refusal(
        gateway: GatewayConnection, number: int, refused: Refused
    ) -> None:
        gateway.outbox.append(
            PlaceRefusal(
                number,
                refused.retry_after_ms,
                refused.predicted_ms,
                refused.over_ms,
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
            for message in [*broker.overdue(now), *broker.pump(now)]:
                self._notify(message)
        for gateway in self.gateways.values():
            self._flush(gateway)

    def _notify(self, message: Granted | Refused) -> None:
        gateway_number, _, text = message.key.partition("/")
        gateway = self.gateways.get(int(gateway_number))
        if gateway is None:
            return
        number = int(text)
        if isinstance(message, Refused):
            gateway.requests.pop(number, None)
            self._send_refusal(gateway, number, message)
            return
        gateway.outbox.append(
            PlaceGrant(
                number, message.endpoint, message.fetch_from, message.tokens
            )
        )

    @staticmethod
    def _flush(gateway: GatewayConnection) -> None:
        if gateway.outbox and not gateway.socket.closed:
            outbox, gateway.outbox = gateway.outbox, []
            data = msgspec.json.encode(outbox).decode()
            task = asyncio.ensure_future(gateway.socket.send_str(data))
            task.add_done_callback(_log_send)

    async def log_load_forever(self) -> None:
        """Logs what the brokers believe, while there is something to do."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            for service, broker in self.brokers.items():
                counts = broker.counts()
                if any(counts.values()):
                    logger.info(
                        "broker_load",
                        service=service,
                        wait_ms=round(broker.mean_wait_ms),
                        rate=round(broker.total_rate),
                        suspended=len(broker.suspended),
                        **counts,
                    )

    def wait_seconds(self) -> list[tuple[float, Labels]]:
        """Returns what a prompt would wait at an endpoint, by service."""
        return [
            (broker.mean_wait_ms / 1000, {"service": service})
            for service, broker in self.brokers.items()
        ]

    def requests(self) -> list[tuple[float, Labels]]:
        """Returns the requests that wait, are read and run, by service."""
        return [
            (float(count), {"service": service, "state": state})
            for service, broker in self.brokers.items()
            for state, count in broker.counts().items()
        ]

    async def send_heartbeats_forever(self) -> None:
        """Tells gateways that this host is there, and counts their silence."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            for gateway in self.gateways.values():
                self._check_liveness(gateway)
                gateway.outbox.append(Heartbeat())
            self._schedule_dispatch()


def _log_send(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("broker_answer_failed", why=repr(task.exception()))


def _now() -> float:
    return time.monotonic() * 1000
