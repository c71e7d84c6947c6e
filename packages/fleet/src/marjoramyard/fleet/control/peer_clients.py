"""Outgoing links to the other control hosts."""

import asyncio

import msgspec
from result import Err

from marjoramyard.coordination.consensus.messages import Envelope
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.paths import RAFT_PATH
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.ids import ReplicaId

MAX_QUEUED = 2048
_SEND_SECONDS = 1.5
"""A connection may fall silent without a reset. Its sender must give it up
well before an election would (2.4 s), and a snapshot of some MB still fits."""
_PAUSE_AFTER_FAILURE = 0.2


class PeerClient:
    """Sends messages in order, as many in one post as have gathered.

    What does not arrive is dropped: the replica sends anew by itself, and
    a queue kept for a host that is gone would only grow.
    """

    def __init__(self, address: str, client: InternalClient):
        self.address = address
        self.client = client
        self.queue: list[Envelope] = []
        self.wake = asyncio.Event()

    def put(self, envelope: Envelope) -> None:
        """Queues a message; the oldest go if the host takes none."""
        self.queue.append(envelope)
        del self.queue[:-MAX_QUEUED]
        self.wake.set()

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch, self.queue = self.queue, []
            if not batch:
                continue
            sent = await self.client.call(
                self.address, RAFT_PATH, batch, Empty, _SEND_SECONDS
            )
            if isinstance(sent, Err):
                self.queue.clear()
                await asyncio.sleep(_PAUSE_AFTER_FAILURE)


class PeerClients:
    """One link to each other control host."""

    def __init__(self, client: InternalClient, tasks: TaskGroup, me: str):
        self.client = client
        self.tasks = tasks
        self.me = me
        self.links: dict[ReplicaId, PeerClient] = {}
        self.heard_from: dict[ReplicaId, str] = {}

    def hear(self, envelopes: list[Envelope]) -> None:
        """Notes where senders listen.

        A host that was just taken in holds no membership yet. Without the
        sender's word it could not answer the leader, which would offer it
        the log for ever and never hear that it has it.
        """
        for envelope in envelopes:
            if envelope.reply_to:
                self.heard_from[envelope.sender] = envelope.reply_to

    def send(
        self, envelopes: list[Envelope], addresses: dict[ReplicaId, str]
    ) -> None:
        """Queues messages for the hosts that they are meant for."""
        for envelope in envelopes:
            receiver = envelope.receiver
            link = self.links.get(receiver)
            if link is None:
                address = addresses.get(receiver) or self.heard_from.get(
                    receiver
                )
                if address is None:
                    continue
                link = PeerClient(address, self.client)
                self.links[receiver] = link
                self.tasks.spawn(link.run())
            link.put(msgspec.structs.replace(envelope, reply_to=self.me))
