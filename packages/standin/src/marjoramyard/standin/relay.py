"""A TCP relay for injecting network faults."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from marjoramyard.standin.raw_responses import ConnectionEnd, end_connection

_CHUNK_BYTES = 65536


class Relay:
    """Forwards bytes in both directions between clients and a target.

    Attributes:
        target: The `HOST:PORT` that connections are forwarded to.
        is_partitioned: All bytes are dropped and no connection is closed, as
            in a network partition.
        replies_allowed: While cleared, bytes from the target are held back.
        delay_seconds: Added latency of each chunk.
        stalled_writers: Writers whose bytes are dropped.
        connection_count: Connections accepted so far.
        resets_on: A connection that carries these bytes to the target is
            reset before they arrive; empty for none.
        resets_left: How many connections are still to be reset so.
        marks: A connection that carries one of these to the target is marked.
        marked: The writers of marked connections to their clients.
        drops_marked: Whether to drop bytes of marked connections, by whether
            they go to the target.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.is_partitioned = False
        self.delay_seconds = 0.0
        self.stalled_writers: set[asyncio.StreamWriter] = set()
        self.replies_allowed = asyncio.Event()
        self.replies_allowed.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.connection_count = 0
        self.resets_on = b""
        self.resets_left = 0
        self.marks: tuple[bytes, ...] = ()
        self.marked: set[asyncio.StreamWriter] = set()
        self.drops_marked: Callable[[bool], bool] = lambda _is_request: False
        self.tasks: set[asyncio.Task] = set()

    def partition(self) -> None:
        """Drops all bytes from now on without closing any connection."""
        self.is_partitioned = True

    def heal(self) -> None:
        """Ends the partition and closes the connections it affected."""
        self.is_partitioned = False
        self.break_connections()

    def stall_connections(self) -> None:
        """Drops all further bytes of the present connections.

        They are not closed, and new connections are unaffected.
        """
        self.stalled_writers |= self.writers

    def break_connections(self) -> None:
        """Resets all present connections; new ones are accepted."""
        for writer in list(self.writers):
            end_connection(writer.transport, ConnectionEnd.RST)

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one accepted connection."""
        self.connection_count += 1
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
            self.writers.add(upstream[1])
            await asyncio.gather(
                self._forward(reader, upstream[1], writer),
                self._forward(
                    upstream[0], writer, writer, self.replies_allowed
                ),
            )
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # Only `close` cancels; the stream server would log the exception.
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            self.marked.discard(writer)
            self.tasks.discard(asyncio.current_task())

    async def close(self) -> None:
        """Aborts all connections and waits until forwarding has ended."""
        self.break_connections()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: asyncio.StreamWriter,
        allowed: asyncio.Event | None = None,
    ) -> None:
        is_request = writer is not client
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if is_request and any(mark in data for mark in self.marks):
                    self.marked.add(client)
                if allowed is not None:
                    await allowed.wait()
                elif self._resets(data):
                    raise ConnectionResetError
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if self._is_forwarding(writer, client):
                    writer.write(data)
                    await writer.drain()
            if self._is_forwarding(writer, client):
                writer.close()
        except OSError:
            # A regular end would say that the target had sent everything.
            end_connection(writer.transport, ConnectionEnd.RST)
        finally:
            self.writers.discard(writer)
            self.stalled_writers.discard(writer)

    def _resets(self, data: bytes) -> bool:
        if not self.resets_left or self.resets_on not in data:
            return False
        self.resets_left -= 1
        return True

    def _is_forwarding(
        self, writer: asyncio.StreamWriter, client: asyncio.StreamWriter
    ) -> bool:
        if self.is_partitioned or writer in self.stalled_writers:
            return False
        return client not in self.marked or not self.drops_marked(
            writer is not client
        )


@asynccontextmanager
async def relay_to(
    target: str, listen: str = "127.0.0.1:0"
) -> AsyncIterator[Relay]:
    """Runs a relay in front of an address; port 0 listens on any free port."""
    relay = Relay(target)
    host, _, listen_port = listen.rpartition(":")
    server = await asyncio.start_server(relay.serve_one, host, int(listen_port))
    port = server.sockets[0].getsockname()[1]
    relay.address = f"{host}:{port}"
    try:
        yield relay
    finally:
        server.close()
        await relay.close()
