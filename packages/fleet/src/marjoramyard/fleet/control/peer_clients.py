"""Sends Raft messages to the other control hosts."""

import asyncio

import msgspec
from result import Err

from marjoramyard.coordination.consensus.messages import Envelope
from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.paths import RAFT_PATH
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.fleet.util.tasks import TaskGroup
from marjoramyard.kernel.ids import ReplicaId

MAX_QUEUED_MESSAGES = 2048
_SEND_TIMEOUT_SECONDS = 1.5
"""Shorter than an election timeout, so that an unresponsive connection is
abandoned before an election starts."""
_RETRY_DELAY_SECONDS = 0.2


class PeerClient:
    """Sends messages to one control host, in order and in batches.

    Messages that can't be delivered are dropped; the Raft core resends what
    is still needed.
    """

    def __init__(self, address: str, client: InternalClient):
        self.address = address
        self.client = client
        self.queue: list[Envelope] = []
        self.has_queued = asyncio.Event()

    def enqueue(self, envelope: Envelope) -> None:
        """Queues a message; drops the oldest ones if the queue is full."""
        self.queue.append(envelope)
        del self.queue[:-MAX_QUEUED_MESSAGES]
        self.has_queued.set()

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            await self.has_queued.wait()
            self.has_queued.clear()
            batch, self.queue = self.queue, []
            if not batch:
                continue
            sent = await self.client.call(
                self.address, RAFT_PATH, batch, Empty, _SEND_TIMEOUT_SECONDS
            )
            if isinstance(sent, Err):
                self.queue.clear()
                await asyncio.sleep(_RETRY_DELAY_SECONDS)


class PeerClients:
    """The clients of the other control hosts, by replica."""

    def __init__(
        self, client: InternalClient, tasks: TaskGroup, own_address: str
    ):
        self.client = client
        self.tasks = tasks
        self.own_address = own_address
        self.clients: dict[ReplicaId, PeerClient] = {}
        self.reply_addresses: dict[ReplicaId, str] = {}

    def learn_addresses(self, envelopes: list[Envelope]) -> None:
        """Records the reply addresses of senders.

        A host that has just joined holds no membership yet and replies to
        the leader at this address.
        """
        for envelope in envelopes:
            if envelope.reply_to:
                self.reply_addresses[envelope.sender] = envelope.reply_to

    def send(
        self, envelopes: list[Envelope], addresses: dict[ReplicaId, str]
    ) -> None:
        """Queues messages for their receivers.

        Args:
            envelopes: Messages; those to a receiver without a known address
                are dropped.
            addresses: Internal addresses of the members.
        """
        for envelope in envelopes:
            receiver = envelope.receiver
            peer = self.clients.get(receiver)
            if peer is None:
                address = addresses.get(receiver) or self.reply_addresses.get(
                    receiver
                )
                if address is None:
                    continue
                peer = PeerClient(address, self.client)
                self.clients[receiver] = peer
                self.tasks.spawn(peer.run())
            peer.enqueue(
                msgspec.structs.replace(envelope, reply_to=self.own_address)
            )
