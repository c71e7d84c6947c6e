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
"""Queue limit for each receiver; beyond it the oldest messages are dropped."""
_SEND_TIMEOUT_SECONDS = 1.5
"""Shorter than an election timeout, so that an unresponsive connection is
abandoned before an election starts. A snapshot of some MB still fits."""
_PAUSE_AFTER_FAILURE_SECONDS = 0.2
"""Time from a failed call until the next call to the same host."""


class PeerSender:
    """Sends messages to one control host, in order and in batches.

    Delivery is best effort: if a call fails, its batch and the messages queued
    during the call are dropped. Raft sends again what is still needed.

    Attributes:
        address: Internal address of the receiver.
        rpc_client: The client for calls to other processes.
        queue: Messages to be sent in the next batch.
        queue_changed: Set when a message is queued.
    """

    def __init__(self, address: str, rpc_client: InternalClient):
        self.address = address
        self.rpc_client = rpc_client
        self.queue: list[Envelope] = []
        self.queue_changed = asyncio.Event()

    def enqueue(self, envelope: Envelope) -> None:
        """Queues a message; drops the oldest ones if the queue is full."""
        self.queue.append(envelope)
        del self.queue[:-MAX_QUEUED_MESSAGES]
        self.queue_changed.set()

    async def run(self) -> None:
        """Sends queued messages until cancelled."""
        while True:
            await self.queue_changed.wait()
            self.queue_changed.clear()
            batch, self.queue = self.queue, []
            if not batch:
                continue
            result = await self.rpc_client.call(
                self.address, RAFT_PATH, batch, Empty, _SEND_TIMEOUT_SECONDS
            )
            if isinstance(result, Err):
                self.queue.clear()
                await asyncio.sleep(_PAUSE_AFTER_FAILURE_SECONDS)


class RaftTransport:
    """Sends Raft messages to the other control hosts.

    Attributes:
        rpc_client: The client for calls to other processes.
        tasks: Runs the senders.
        own_address: Internal address of this host, sent with each message.
        senders: Senders by receiving replica, kept once created.
        reply_addresses: Addresses taken from received messages, by replica.
    """

    def __init__(
        self, rpc_client: InternalClient, tasks: TaskGroup, own_address: str
    ):
        self.rpc_client = rpc_client
        self.tasks = tasks
        self.own_address = own_address
        self.senders: dict[ReplicaId, PeerSender] = {}
        self.reply_addresses: dict[ReplicaId, str] = {}

    def record_reply_addresses(self, envelopes: list[Envelope]) -> None:
        """Records the reply addresses in received messages.

        A host that has just joined has no membership yet, so it needs the
        address from the leader's message in order to reply.
        """
        for envelope in envelopes:
            if envelope.reply_to:
                self.reply_addresses[envelope.sender] = envelope.reply_to

    def enqueue(
        self, envelopes: list[Envelope], addresses: dict[ReplicaId, str]
    ) -> None:
        """Queues messages for their receivers.

        The own address is added to each message as `reply_to`.

        Args:
            envelopes: Messages; those to a receiver without a known address
                are dropped.
            addresses: Internal addresses of the members. Only used for the
                first message to a replica; reply addresses are used for
                replicas that are not in it.
        """
        for envelope in envelopes:
            receiver = envelope.receiver
            sender = self.senders.get(receiver)
            if sender is None:
                address = addresses.get(receiver) or self.reply_addresses.get(
                    receiver
                )
                if address is None:
                    continue
                sender = PeerSender(address, self.rpc_client)
                self.senders[receiver] = sender
                self.tasks.spawn_forever(sender.run)
            sender.enqueue(
                msgspec.structs.replace(envelope, reply_to=self.own_address)
            )
