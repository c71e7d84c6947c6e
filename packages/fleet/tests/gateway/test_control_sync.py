"""Polls of the control hosts."""

import asyncio
import time
from types import SimpleNamespace

from result import Ok

from marjoramyard.fleet.gateway.control_sync import (
    FIRST_RETRIES,
    POLL_SECONDS,
    REPLY_TIMEOUT_SECONDS,
    RETRY_SECONDS,
    ControlSync,
    retry_seconds,
)
from marjoramyard.fleet.sync_messages import SyncReply, SyncRequest

REPLY = Ok(SyncReply("epoch", 1))


class Client:
    """A client whose calls are answered after some time."""

    def __init__(self, seconds):
        self.seconds = seconds

    async def call(self, *_args):
        await asyncio.sleep(self.seconds)
        return REPLY


def block_the_loop(seconds):
    """Blocks the event loop."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


def make_sync(reply_seconds):
    app = SimpleNamespace(
        settings=SimpleNamespace(zone="a"), client=Client(reply_seconds)
    )
    return ControlSync(app, None, None)


async def test_a_late_event_loop_does_not_discard_a_reply():
    """Guards against a gateway under overload that loses its lease and refuses
    all callers, though the control hosts reply in time.
    """
    poll = asyncio.create_task(
        make_sync(0.1)._call("127.0.0.1:1", SyncRequest("gateway"))
    )
    await asyncio.sleep(0)
    block_the_loop(POLL_SECONDS + REPLY_TIMEOUT_SECONDS + 0.2)
    assert await poll == REPLY


async def test_a_poll_without_a_reply_times_out():
    started_at = time.monotonic()
    result = await make_sync(60)._call("127.0.0.1:1", SyncRequest("gateway"))
    assert result.is_err()
    limit = 2 * (POLL_SECONDS + REPLY_TIMEOUT_SECONDS)
    assert time.monotonic() - started_at < limit


def test_the_first_polls_after_a_failure_follow_quickly():
    """Guards against gateways that learn late that power is back."""
    assert sum(retry_seconds(n) for n in range(1, 6)) < 0.6


def test_a_host_that_stays_lost_is_polled_less_often():
    assert retry_seconds(FIRST_RETRIES + 1) == RETRY_SECONDS
