"""Tests of the client that finds the control leader."""

import itertools

from result import Err, Ok

from marjoramyard.coordination.governance.commands import Reply, ReportDeath
from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.kernel.errors import FailureKind, failure


class ClientOfFollowers:
    """Internal calls that reach the leader at the third attempt."""

    def __init__(self):
        self.messages = []

    async def call(self, _address, _path, message, _reply, _timeout):
        self.messages.append(message)
        if len(self.messages) < 3:
            return Err(failure(FailureKind.NOT_LEADER, "not the leader"))
        return Ok(Reply())


async def test_a_relative_time_is_told_anew_with_each_attempt():
    """Guards against a death that is dated later than it was, which would
    count as another one for requests that ran on two endpoints.
    """
    client = ClientOfFollowers()
    control = ControlClient(client, ["a", "b"])
    seconds = itertools.count()
    reply = await control.command_built_by(
        lambda: ReportDeath("e1", seconds_ago=next(seconds)), 5.0
    )
    assert reply.is_ok()
    assert [message.seconds_ago for message in client.messages] == [0, 1, 2]
