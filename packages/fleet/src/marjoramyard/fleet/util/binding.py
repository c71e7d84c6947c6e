"""Binding of addresses that another process may still hold."""

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable

from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

BIND_SECONDS = 15.0
"""Longer than a process may take to stop that held the address before."""
RETRY_SECONDS = 0.1


class BindRetries:
    """Binds an address again until it is free.

    One that another process holds is retried without a limit: a process that
    ended instead would meet the same when it is started again.

    Attributes:
        metrics: Counts failures.
        stopping: Ends the retries.
        seconds: How long an address is retried that the host doesn't have.
        retry_seconds: The interval.
    """

    def __init__(
        self,
        metrics: Metrics,
        stopping: asyncio.Event,
        seconds: float = BIND_SECONDS,
        retry_seconds: float = RETRY_SECONDS,
    ):
        self.metrics = metrics
        self.stopping = stopping
        self.seconds = seconds
        self.retry_seconds = retry_seconds

    async def bind(
        self, address: str, listen: Callable[[], Awaitable[asyncio.Server]]
    ) -> asyncio.Server:
        """Returns a server that listens.

        Args:
            address: IP:PORT, for logs.
            listen: Binds the address and listens.

        Raises:
            OSError: The address can't be bound, or the process is stopping.
        """
        began_at = time.monotonic()
        is_logged = False
        while True:
            try:
                server = await listen()
                break
            except OSError as error:
                self.metrics.count("bind_failures", address=address)
                if not self._may_pass(error, time.monotonic() - began_at):
                    raise
                if not is_logged:
                    logger.warning(
                        "address_held", address=address, error=str(error)
                    )
                is_logged = True
                await self._pause(error)
        if is_logged:
            seconds = round(time.monotonic() - began_at, 3)
            logger.info("address_bound", address=address, after=seconds)
        return server

    def _may_pass(self, error: OSError, waited_seconds: float) -> bool:
        if error.errno == errno.EADDRNOTAVAIL:
            return waited_seconds < self.seconds
        return error.errno == errno.EADDRINUSE

    async def _pause(self, error: OSError) -> None:
        """Waits for the next attempt; raises the error when stopping."""
        try:
            async with asyncio.timeout(self.retry_seconds):
                await self.stopping.wait()
        except TimeoutError:
            return
        raise error
