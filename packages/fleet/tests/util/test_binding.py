"""Binding of addresses that another process holds for a long time."""

import asyncio
import errno

import pytest

from marjoramyard.fleet.util.binding import BindRetries
from marjoramyard.kernel.metrics import Metrics

ADDRESS = "127.0.0.1:1"
FAILURES = 3


def retries():
    """Returns retries for which an address is late from the first one on."""
    metrics = Metrics("gateway", "gateway-1")
    return BindRetries(metrics, asyncio.Event(), seconds=0, retry_seconds=0)


def failing(number, count):
    """Returns a function that fails a number of times, then returns 1."""
    errors = iter([OSError(number, "refused")] * count)

    async def listen():
        for error in errors:
            raise error
        return 1

    return listen


async def test_an_address_that_is_held_is_waited_for_without_a_limit():
    """Guards against a process that ends by itself, again at each start, while
    another process keeps one of its ports.
    """
    listen = failing(errno.EADDRINUSE, FAILURES)
    assert await retries().bind(ADDRESS, listen) == 1


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.EACCES])
async def test_an_address_that_the_host_lacks_is_reported(number):
    """Guards against a process that waits for ever as its settings are
    wrong.
    """
    with pytest.raises(OSError) as raised:
        await retries().bind(ADDRESS, failing(number, FAILURES))
    assert raised.value.errno == number


async def test_a_wait_for_an_address_ends_with_the_process():
    """Guards against a process that doesn't stop as it waits for an address."""
    waiting = retries()
    waiting.stopping.set()
    waiting.retry_seconds = 60.0
    with pytest.raises(OSError):
        await waiting.bind(ADDRESS, failing(errno.EADDRINUSE, FAILURES))
