"""Tests of the client that finds the control leader."""

import asyncio
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


class ClientOfManyHosts:
    """Internal calls: the old leader is cut off, one of many others leads."""

    def __init__(self, leader):
        self.leader = leader
        self.addresses = []

    async def call(self, address, _path, _message, _reply, timeout):
        self.addresses.append(address)
        if address == "old":
            await asyncio.sleep(timeout)
            return Err(failure(FailureKind.NO_ENDPOINT, "no reply"))
        if address != self.leader:
            return Err(failure(FailureKind.NOT_LEADER, "not the leader"))
        return Ok(Reply())


async def test_the_leader_that_is_known_from_polls_is_called():
    """Guards against harmless requests that stay refused during a cut."""
    client = ClientOfManyHosts("h9")
    hosts = ["old", *(f"h{number}" for number in range(10))]
    control = ControlClient(client, hosts, attempt_seconds=0.01)
    control.leader = "old"
    known = ["old"]
    control.known_leader = lambda: known[-1]
    sending = asyncio.create_task(
        control.command_built_by(lambda: ReportDeath("e1"), 5.0)
    )
    await asyncio.sleep(0)
    known.append("h9")
    assert (await sending).is_ok()
    assert client.addresses == ["old", "h9"]


async def test_a_known_leader_that_fails_is_not_called_at_once_again():
    client = ClientOfManyHosts("h0")
    control = ControlClient(client, ["old", "h0"], attempt_seconds=0.01)
    control.known_leader = lambda: "old"
    reply = await control.command_built_by(lambda: ReportDeath("e1"), 5.0)
    assert reply.is_ok()
    assert client.addresses == ["old", "h0"]


async def test_one_call_may_have_another_time_for_its_attempts():
    """Guards against operators' commands that change the membership."""
    client = ClientOfManyHosts("h0")
    control = ControlClient(client, ["old", "h0"])
    control.leader = "old"
    started_at = asyncio.get_running_loop().time()
    reply = await control.call_leader(
        "/path", lambda: None, Reply, 5.0, attempt_seconds=0.01
    )
    assert reply.is_ok()
    assert asyncio.get_running_loop().time() - started_at < 1.0
