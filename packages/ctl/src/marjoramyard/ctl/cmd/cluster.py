"""Commands that form the cluster of control hosts and repair it."""

import asyncio
import secrets

import click
from result import Err

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.ctl.session import (
    EXIT_CONFLICT,
    EXIT_UNREACHABLE,
    Connection,
    Session,
    fail,
    require,
)
from marjoramyard.fleet.messages import (
    Empty,
    HostStatus,
    InitCluster,
    MemberChange,
)
from marjoramyard.fleet.paths import INIT_PATH, MEMBER_PATH, STATUS_PATH
from marjoramyard.kernel.errors import Kind
from marjoramyard.kernel.ids import ReplicaId

_CALL_SECONDS = 5.0
_CATCH_UP_SECONDS = 120.0
_POLL_SECONDS = 0.3


async def host_status(connection: Connection, address: str) -> HostStatus:
    """Asks one host how it stands, or exits."""
    answer = await connection.client.call(
        address, STATUS_PATH, Empty(), HostStatus, _CALL_SECONDS
    )
    if isinstance(answer, Err):
        fail(f"{address}: {answer.err_value.message}", EXIT_UNREACHABLE)
    return answer.ok_value


async def _init_host(
    connection: Connection, address: str, message: InitCluster
) -> None:
    require(
        await connection.client.call(
            address, INIT_PATH, message, Empty, _CALL_SECONDS
        )
    )


async def _change_member(
    connection: Connection, change: MemberChange
) -> HostStatus:
    return require(
        await connection.control.call_leader(
            MEMBER_PATH, change, HostStatus, 20.0, _CALL_SECONDS
        )
    )


@click.group()
def cluster() -> None:
    """Forms the cluster of control hosts and repairs it."""


@cluster.command()
@click.pass_obj
def init(session: Session) -> None:
    """Forms a new cluster of the --control hosts, all of them empty."""

    async def work(connection: Connection) -> dict:
        words = [await host_status(connection, h) for h in session.hosts]
        for host, word in zip(session.hosts, words, strict=True):
            if word.role != "empty":
                fail(
                    f"{host} holds a replica already; a host that lost its "
                    "disk is taken in with `cluster replace`",
                    EXIT_CONFLICT,
                )
        addresses = {
            ReplicaId(word.replica): host
            for host, word in zip(session.hosts, words, strict=True)
        }
        membership = Membership(tuple(addresses), (), addresses)
        message = InitCluster(secrets.token_hex(8), membership)
        for host in session.hosts:
            await _init_host(connection, host, message)
        return {"cluster": message.cluster, "voters": ", ".join(addresses)}

    session.show(session.run(work))


@cluster.command()
@click.argument("lost")
@click.argument("address")
@click.pass_obj
def replace(session: Session, lost: str, address: str) -> None:
    """Replaces replica LOST, whose disk is gone, by the host at ADDRESS.

    The new host gets a new identity, receives the log without a vote, gets
    a vote once it has synced all of it, and only then the lost one goes
    out. May be run again after it was interrupted.
    """

    async def work(connection: Connection) -> dict:
        word = await host_status(connection, address)
        replica = word.replica
        if word.role == "empty":
            known = await _cluster_of(connection, session.hosts)
            message = InitCluster(known, Membership())
            await _init_host(connection, address, message)
        click.echo(f"{replica}: added without a vote", err=True)
        change = MemberChange("add", replica, address)
        await _change_member(connection, change)
        await _promote(connection, replica)
        click.echo(f"{replica}: has all entries and votes", err=True)
        change = MemberChange("remove", lost)
        done = await _change_member(connection, change)
        return {
            "removed": lost,
            "voters": ", ".join(done.membership.voters),
            "safe": "another host may be lost now without loss",
        }

    session.show(session.run(work))


async def _cluster_of(connection: Connection, hosts: list[str]) -> str:
    """Returns the id of the cluster that the other hosts form."""
    for host in hosts:
        answer = await connection.client.call(
            host, STATUS_PATH, Empty(), HostStatus, _CALL_SECONDS
        )
        if not isinstance(answer, Err) and answer.ok_value.cluster:
            return answer.ok_value.cluster
    fail("no control host of a cluster answers", EXIT_UNREACHABLE)


async def _promote(connection: Connection, replica: str) -> None:
    """Gives the learner a vote as soon as it has caught up."""
    loop = asyncio.get_running_loop()
    until = loop.time() + _CATCH_UP_SECONDS
    while loop.time() < until:
        answer = await connection.control.call_leader(
            MEMBER_PATH,
            MemberChange("promote", replica),
            HostStatus,
            20.0,
            _CALL_SECONDS,
        )
        if not isinstance(answer, Err):
            return
        if answer.err_value.kind is not Kind.CONFLICT:
            require(answer)
        await asyncio.sleep(_POLL_SECONDS)
    fail(f"{replica} did not catch up; look at its log, then run this again")


def setup(main: click.Group) -> None:
    """Adds the commands."""
    main.add_command(cluster)
