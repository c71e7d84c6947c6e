"""The software versions of streams, at the side of a broker's client."""

import asyncio
import itertools
import time
from collections.abc import Callable

from marjoramyard.coordination.serving.stream_versions import StreamVersions
from marjoramyard.fleet.gateway.broker_protocol import (
    BegunStream,
    GatewayMessage,
    StreamQuery,
    StreamReply,
    StreamsBegun,
)
from marjoramyard.fleet.gateway.stream_keeper import record_streams
from marjoramyard.kernel.ids import StreamKey


class BrokerStreams:
    """Tells a broker of streams, and asks it for their versions.

    Attributes:
        streams: The streams that this gateway knows.
        send: Sends a message to the broker.
        queries: The queries without a reply, by number.
    """

    def __init__(
        self, streams: StreamVersions, send: Callable[[GatewayMessage], None]
    ):
        self.streams = streams
        self.send = send
        self.queries: dict[int, asyncio.Future[StreamReply | None]] = {}
        self.numbers = itertools.count(1)

    def known_streams(self, service: str) -> list[StreamsBegun]:
        """Returns what to tell a new broker."""
        now = time.monotonic()
        streams = [
            BegunStream(
                key, origin.version, int(seconds * 1000), origin.is_ambiguous
            )
            for key, origin, seconds in self.streams.streams_of(service, now)
        ]
        return [StreamsBegun(service, streams)] if streams else []

    async def query(self, service: str, key: StreamKey) -> StreamReply | None:
        """Asks for the version of a stream.

        Returns:
            The reply; None if the broker was lost.
        """
        number = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        self.queries[number] = future
        self.send(StreamQuery(number, service, key))
        try:
            return await future
        finally:
            self.queries.pop(number, None)

    def on_reply(self, reply: StreamReply) -> None:
        """Completes a query; ignores replies to others."""
        future = self.queries.pop(reply.number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def on_begun(self, message: StreamsBegun) -> None:
        """Records streams that the broker passes on."""
        record_streams(self.streams, message)

    def release(self) -> None:
        """Ends the queries to a broker that was lost."""
        queries, self.queries = self.queries, {}
        for future in queries.values():
            if not future.done():
                future.set_result(None)
