"""The broker's side: one queue for each service, one socket a gateway."""

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
from marjoramyard.fleet.gateway.brokering import (
    BEAT_SECONDS,
    AskPlace,
    Beat,
    Ended,
    FirstToken,
    FromBroker,
    GrantPlace,
    RefusePlace,
    Running,
    ToBroker,
    Withdraw,
    to_broker,
)
from marjoramyard.fleet.gateway.loads import reading_rate
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.silence import Silence
from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Labels

logger = get_logger(__name__)


GATEWAY_SILENCE_SECONDS = 0.3
"""A gateway that says nothing for so long won't send soon what it is granted.
The smallest hosts get their processor in turns, with pauses of up to 0.1 s."""


REPORT_SECONDS = 1.0


class Peer:
    """A gateway that asks."""

    def __init__(self, number: int, socket: web.WebSocketResponse):
        self.number = number
        self.socket = socket
        self.queue: list[FromBroker] = []
        self.requests: dict[int, str] = {}
        self.silence = Silence(GATEWAY_SILENCE_SECONDS, BEAT_SECONDS)

    @property
    def name(self) -> str:
        """Names it to brokers."""
        return str(self.number)

    def key(self, number: int) -> str:
        """Names one of its requests among all gateways' requests."""
        return f"{self.number}/{number}"


class BrokerDesk:
    """Runs a broker for each service that gateways ask this host about."""

    def __init__(self, view: FleetView):
        self.view = view
        self.brokers: dict[str, Broker] = {}
        self.peers: dict[int, Peer] = {}
        self.counter = 0
        self.pump_scheduled = False

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Serves one gateway until it goes."""
        socket = web.WebSocketResponse(compress=False)
        await socket.prepare(request)
        self.counter += 1
        peer = Peer(self.counter, socket)
        self.peers[peer.number] = peer
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.TEXT:
                    self._heard(peer)
                    for told in to_broker.decode(message.data):
                        self._take(peer, told)
                    self._schedule_pump()
        except ConnectionError as error:
            logger.info("broker_peer_lost", peer=peer.number, why=repr(error))
        finally:
            del self.peers[peer.number]
            self._forget(peer)
        return socket

    def _heard(self, peer: Peer) -> None:
        if peer.silence.is_over_limit:
            for broker in self.brokers.values():
                broker.resume(peer.name)
        peer.silence.heard()

    def _step_silence(self, peer: Peer) -> None:
        was_over_limit = peer.silence.is_over_limit
        peer.silence.step()
        if peer.silence.is_over_limit and not was_over_limit:
            for broker in self.brokers.values():
                broker.suspend(peer.name, _now())

    def _forget(self, peer: Peer) -> None:
        """Its requests have ended: its endpoints' connections are closed."""
        for broker in self.brokers.values():
            broker.set_late(peer.name, False)
        for number, service in peer.requests.items():
            broker = self.brokers[service]
            broker.cancel(peer.key(number))
            broker.ended(peer.key(number))
        self._schedule_pump()

    def _broker(self, service: str) -> Broker | None:
        table = self.view.table
        known = table.services.get(service) if table is not None else None
        if known is None or known.engine is None:
            return None
        broker = self.brokers.get(service)
        if broker is None:
            engines = len(self.view.registrations.usable(service))
            rate = reading_rate(table.config, engines)
            broker = Broker(known.engine, rate)
            self.brokers[service] = broker
            logger.info("brokering", service=service, rate=round(rate, 1))
        usable = self.view.usable(service, set())
        broker.set_engines(word.endpoint for word in usable)
        return broker

    def _take(self, peer: Peer, told: ToBroker) -> None:
        if isinstance(told, Beat):
            for broker in self.brokers.values():
                broker.set_late(peer.name, told.is_late)
            return
        if isinstance(told, AskPlace):
            self._ask(peer, told)
            return
        if isinstance(told, Running):
            self._adopt(peer, told)
            return
        service = peer.requests.get(told.number)
        if service is None:
            return
        broker = self.brokers[service]
        key = peer.key(told.number)
        if isinstance(told, FirstToken):
            broker.first_token(key, _now(), not told.is_late)
        elif isinstance(told, Withdraw):
            broker.cancel(key)
            broker.ended(key)
            del peer.requests[told.number]
        elif isinstance(told, Ended):
            self._ended(broker, key, told)
            del peer.requests[told.number]

    def _ended(self, broker: Broker, key: str, told: Ended) -> None:
        flight = broker.flights.get(key)
        if flight is not None and told.failed:
            self.view.health_of(flight.engine).record_failure(time.monotonic())
        broker.ended(key)

    def _ask(self, peer: Peer, told: AskPlace) -> None:
        broker = self._broker(told.service)
        if broker is None:
            peer.queue.append(RefusePlace(told.number, 0.0, 0.0))
            return
        now = _now()
        ask = PlacementRequest(
            key=peer.key(told.number),
            workspace=told.workspace,
            parts=told.prompt(),
            output_tokens=told.output_tokens,
            aim_at=now + told.due_ms,
            give_up_at=now + told.left_ms,
            asked_at=now,
            without=frozenset(told.without),
            router=peer.name,
        )
        refused = broker.ask(ask, now)
        if refused is not None:
            self._tell_refusal(peer, told.number, refused)
        else:
            peer.requests[told.number] = told.service

    def _adopt(self, peer: Peer, told: Running) -> None:
        broker = self._broker(told.service)
        if broker is not None:
            peer.requests[told.number] = told.service
            sent = UnbrokeredRequest(
                key=peer.key(told.number),
                endpoint=told.endpoint,
                tokens=told.tokens,
                memory=told.memory,
                workspace=told.workspace,
                output_tokens=told.output_tokens,
                router=peer.name,
            )
            broker.adopt(sent, _now())

    @staticmethod
    def _tell_refusal(
        peer: Peer, number: int, refused: PlacementRefusal
    ) -> None:
        peer.queue.append(
            RefusePlace(
                number,
                refused.retry_after_ms,
                refused.predicted_ms,
                refused.over_ms,
            )
        )

    def _schedule_pump(self) -> None:
        if not self.pump_scheduled:
            self.pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self.pump_scheduled = False
        now = _now()
        for service, broker in self.brokers.items():
            if self._broker(service) is None:
                continue
            for told in [*broker.overdue(now), *broker.pump(now)]:
                self._tell(told)
        for peer in self.peers.values():
            self._flush(peer)

    def _tell(self, told: PlacementGrant | PlacementRefusal) -> None:
        peer_number, _, text = told.key.partition("/")
        peer = self.peers.get(int(peer_number))
        if peer is None:
            return
        number = int(text)
        if isinstance(told, PlacementRefusal):
            peer.requests.pop(number, None)
            self._tell_refusal(peer, number, told)
            return
        peer.queue.append(
            GrantPlace(number, told.endpoint, told.fetch_from, told.tokens)
        )

    @staticmethod
    def _flush(peer: Peer) -> None:
        if peer.queue and not peer.socket.closed:
            queue, peer.queue = peer.queue, []
            data = msgspec.json.encode(queue).decode()
            task = asyncio.ensure_future(peer.socket.send_str(data))
            task.add_done_callback(_log_send)

    async def report_forever(self) -> None:
        """Logs what the brokers believe, while there is something to do."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
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

    def waits(self) -> list[tuple[float, Labels]]:
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

    async def beat_forever(self) -> None:
        """Tells gateways that this host is there, and counts their silence."""
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            for peer in self.peers.values():
                self._step_silence(peer)
                peer.queue.append(Beat())
            self._schedule_pump()


def _log_send(task: asyncio.Future) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.info("broker_answer_failed", why=repr(task.exception()))


def _now() -> float:
    return time.monotonic() * 1000
