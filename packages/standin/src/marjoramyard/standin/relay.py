"""A small TCP relay whose link can be cut silently and healed."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

_CHUNK = 65536


class Relay:
    """Passes bytes both ways.

    Attributes:
        is_partitioned: Bytes vanish and new connections hang, as behind a
            silent network partition: nobody is told.
        replies_allowed: Cleared, it holds what comes back until it is set.
        delay_seconds: How much later each piece is passed on.
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
        self.tasks: set[asyncio.Task] = set()

    def partition(self) -> None:
        """Lets nothing through any more, and tells nobody."""
        self.is_partitioned = True

    def heal(self) -> None:
        """Lets new connections through; the old ones are broken."""
        self.is_partitioned = False
        self.break_connections()

    def stall_connections(self) -> None:
        """Lets nothing through on present connections, for good.

        Nobody is told, and new connections work.
        """
        self.stalled_writers |= self.writers

    def break_connections(self) -> None:
        """Breaks all present connections; new ones are let through."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes one connection on."""
        self.connection_count += 1
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        host, _, port = self.target.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
            self.writers.add(there[1])
            await asyncio.gather(
                self._pass(reader, there[1]),
                self._pass(there[0], writer, self.replies_allowed),
            )
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # Only `close` cancels; the stream server would log it.
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())

    async def close(self) -> None:
        """Breaks all connections and waits until nothing is passed on."""
        self.break_connections()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        may_pass: asyncio.Event | None = None,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                if may_pass is not None:
                    await may_pass.wait()
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                if self._lets_through(writer):
                    writer.write(data)
                    await writer.drain()
            if self._lets_through(writer):
                writer.close()
        except OSError:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            self.stalled_writers.discard(writer)

    def _lets_through(self, writer: asyncio.StreamWriter) -> bool:
        return not self.is_partitioned and writer not in self.stalled_writers


@asynccontextmanager
async def relay_to(
    target: str, listen: str = "127.0.0.1:0"
) -> AsyncIterator[Relay]:
    """Owns a relay in front of an address; port 0 takes any free one."""
    relay = Relay(target)
    host, _, wanted = listen.rpartition(":")
    server = await asyncio.start_server(relay.serve_one, host, int(wanted))
    port = server.sockets[0].getsockname()[1]
    relay.address = f"{host}:{port}"
    try:
        yield relay
    finally:
        server.close()
        await relay.close()
