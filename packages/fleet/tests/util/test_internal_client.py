"""Calls between processes of a fleet."""

from result import Err

from marjoramyard.fleet.messages import Empty
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.kernel.errors import FailureKind
from marjoramyard.kernel.metrics import Metrics


async def test_a_call_after_the_client_is_closed_fails():
    """Guards against background tasks that end with a traceback, as they call
    another process while this one stops.
    """
    client = InternalClient("", Metrics("control", "control-1"))
    await client.close()
    reply = await client.call("127.0.0.1:9", "/x", Empty(), Empty, 1.0)
    assert isinstance(reply, Err)
    assert reply.err_value.kind is FailureKind.NO_ENDPOINT
