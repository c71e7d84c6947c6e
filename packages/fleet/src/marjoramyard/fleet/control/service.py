"""What self-forming control hosts do for endpoints, operators and gateways."""

import asyncio
import time

from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import (
    AcceptConfig,
    ConfigDocument,
)
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.coordination.placement.broker_selection import (
    BrokerCandidate,
    BrokerSelector,
)
from marjoramyard.fleet import paths
from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.syncing import (
    PutConfig,
    StoredConfig,
    SyncReply,
    SyncRequest,
)
from marjoramyard.kernel.errors import Failure, Kind, failure
from marjoramyard.kernel.ids import new_incarnation
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

COMMIT_SECONDS = 2.5
"""Longer than an election, shorter than an operator waits for all tries."""
CONFIRM_SECONDS = 1.0
LEADER_WAIT_SECONDS = 0.8
"""An operator's call is kept this long while no leader is known; operators
go to another host after a second."""
SILENT_HEARTBEATS = 3.0
"""An endpoint that missed so many heartbeats is told to be silent."""
_SWEEP_SECONDS = 0.25
MAX_SYNC_WAIT_SECONDS = 2.0
_GATEWAY_KEPT_SECONDS = 5.0
_BROKER_FRESH_SECONDS = 2.5
"""A gateway polls every 0.8 s; one that missed two polls is not to broker."""


class FleetService:
    """Configuration by consensus; registrations as soft state."""

    def __init__(self, role):
        self.role = role
        self.settings = role.settings
        self.client = role.app.client
        self.metrics = role.app.metrics
        self.epoch = new_incarnation(self.settings.name)
        self.table = Registrations()
        self.cursor = 0
        self.changed_at: dict[str, int] = {}
        self.silent: set[str] = set()
        self.wake_count = 0
        self.news = asyncio.Event()
        self.gateways: dict[str, tuple[float, SyncRequest]] = {}
        self.unsent: dict[str, dict[str, Registration]] = {}
        self.broker_selector = BrokerSelector()

    # Registrations.

    def register(self, word: Registration) -> None:
        """Takes in an endpoint's own word."""
        self._merge(word)
        for queue in self.unsent.values():
            queue[word.endpoint] = word

    def depart(self, endpoint: str) -> None:
        """Takes in that an endpoint has left."""
        gone = self.table.mark_departed(endpoint, time.monotonic())
        if gone is not None:
            self._mark(gone)
            for queue in self.unsent.values():
                queue[endpoint] = gone

    def hear(self, words: list[Registration]) -> None:
        """Takes in what another control host heard."""
        for word in words:
            self._merge(word)

    def _merge(self, word: Registration) -> None:
        changed = self.table.merge(word, time.monotonic())
        if word.endpoint in self.silent:
            self.silent.discard(word.endpoint)
            self._wake()
        if changed:
            self._mark(word)

    def _mark(self, word: Registration) -> None:
        self.cursor += 1
        self.changed_at[word.endpoint] = self.cursor
        logger.info(
            "registration",
            endpoint=word.endpoint,
            service=word.service,
            address=word.address,
            state=word.state.value,
            sequence=word.sequence,
        )
        self._wake()

    def words_for(self, peer: str) -> list[Registration]:
        """Returns what was heard since the last announcement to a peer."""
        queue = self.unsent.get(peer)
        self.unsent[peer] = {}
        if queue is None:
            return list(self.table.all())
        return list(queue.values())

    def words_lost(self, peer: str) -> None:
        """The announcement did not arrive: the next one tells all."""
        self.unsent.pop(peer, None)

    async def sweep_forever(self) -> None:
        """Finds endpoints that have fallen silent."""
        limit = SILENT_HEARTBEATS * self.settings.heartbeat_ms / 1000
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            now = time.monotonic()
            self.table.expire_departed(now)
            silent = {
                word.endpoint
                for word in self.table.all()
                if word.state is not EndpointState.DEPARTED
                and self.table.seconds_since_received(word.endpoint, now)
                > limit
            }
            if silent != self.silent:
                logger.info("endpoints_silent", endpoints=sorted(silent))
                self.silent = silent
                self._wake()
            for gateway, (at, _) in list(self.gateways.items()):
                if now - at > _GATEWAY_KEPT_SECONDS:
                    del self.gateways[gateway]

    def _wake(self) -> None:
        self.wake_count += 1
        self.news.set()
        self.news = asyncio.Event()

    # Configuration.

    def on_applied(self) -> None:
        """The replicated state moved on; gateways may want to know."""
        self._wake()

    def newest(self) -> ConfigDocument | None:
        """Returns the newest configuration applied here, confirmed or not."""
        running = self.role.running
        return running.state.config if running is not None else None

    async def accept(self, document: ConfigDocument) -> Result[None, Failure]:
        """Replicates a valid configuration; Ok once it can't be lost."""
        began = time.monotonic()
        done = await self._at_leader(
            self._accept_here,
            paths.PUT_CONFIG_PATH,
            PutConfig(document),
            Empty,
        )
        logger.info(
            "config_order",
            version=document.version,
            outcome="accepted" if isinstance(done, Ok) else done.err_value.code,
            seconds=round(time.monotonic() - began, 3),
        )
        return done

    async def _accept_here(self, message: PutConfig) -> Result[Empty, Failure]:
        node = self.role.running
        done = await node.execute(
            AcceptConfig(message.document, time.time()), COMMIT_SECONDS
        )
        return done if isinstance(done, Err) else Ok(Empty())

    async def read(self) -> Result[StoredConfig, Failure]:
        """Returns the newest configuration, confirmed by a quorum."""
        return await self._at_leader(
            self._read_here, paths.READ_CONFIG_PATH, Empty(), StoredConfig
        )

    async def _read_here(self, _: Empty) -> Result[StoredConfig, Failure]:
        node = self.role.running
        confirmed = await node.confirm(CONFIRM_SECONDS)
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(StoredConfig(node.state.config))

    async def _at_leader(self, here, path, message, reply) -> Result:
        """Runs a call on the leader: here, or by one hop.

        A host that leads no more says so, and the call goes on to the one
        that does. Repeating is safe: a configuration that is accepted twice
        changes nothing the second time.
        """
        give_up = time.monotonic() + LEADER_WAIT_SECONDS
        while True:
            leader = self.role.leader_address()
            done: Result = Err(no_quorum())
            if leader == self.settings.advertised_address:
                done = await here(message)
            elif leader:
                done = await self.client.call(
                    leader, path, message, reply, COMMIT_SECONDS + 0.2
                )
            if isinstance(done, Ok) or time.monotonic() > give_up:
                return done
            if leader and done.err_value.kind is not Kind.NOT_LEADER:
                return done
            await asyncio.sleep(0.05)

    async def on_put(self, message: PutConfig) -> Result[Empty, Failure]:
        """A call of another control host."""
        if not self.role.leads():
            return Err(self._not_leader())
        return await self._accept_here(message)

    async def on_read(self, message: Empty) -> Result[StoredConfig, Failure]:
        """A call of another control host."""
        if not self.role.leads():
            return Err(self._not_leader())
        return await self._read_here(message)

    def _not_leader(self) -> Failure:
        if self.role.running is not None:
            return self.role.running.not_leader()
        return failure(Kind.NOT_LEADER, "this control host holds no replica")

    # Gateways.

    async def sync(self, asked: SyncRequest) -> SyncReply:
        """Answers a gateway: at once if there is news, else a little later."""
        self.gateways[asked.gateway] = (time.monotonic(), asked)
        loop = asyncio.get_running_loop()
        wait = min(asked.wait_seconds, MAX_SYNC_WAIT_SECONDS)
        until = loop.time() + wait
        seen = self.wake_count
        while not self._has_news(asked) and seen == self.wake_count:
            left = until - loop.time()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self.news.wait()
            except TimeoutError:
                break
        confirmed = False
        if self.role.leads():
            done = await self.role.running.confirm(CONFIRM_SECONDS)
            confirmed = isinstance(done, Ok)
        return self._reply(asked, confirmed)

    def _has_news(self, asked: SyncRequest) -> bool:
        newest = self.newest()
        if newest is not None and newest.version > asked.version:
            return True
        return asked.epoch != self.epoch or asked.cursor < self.cursor

    def _reply(self, asked: SyncRequest, confirmed: bool) -> SyncReply:
        after = asked.cursor if asked.epoch == self.epoch else 0
        newest = self.newest()
        version = newest.version if newest is not None else 0
        return SyncReply(
            self.epoch,
            self.cursor,
            confirmed,
            version,
            newest if version > asked.version else None,
            [
                word
                for word in self.table.all()
                if self.changed_at.get(word.endpoint, 0) > after
            ],
            sorted(self.silent),
            self.role.keeper.fresh_addresses(),
            max(1, len(self.gateways)),
            self._brokers() if confirmed else [],
        )

    def _brokers(self) -> list[str]:
        """Returns the gateways to broker, in an order that stays."""
        now = time.monotonic()
        return self.broker_selector.choose(
            BrokerCandidate(asked.name, asked.address, asked.capacity)
            for at, asked in self.gateways.values()
            if asked.capacity > 0 and now - at < _BROKER_FRESH_SECONDS
        )
