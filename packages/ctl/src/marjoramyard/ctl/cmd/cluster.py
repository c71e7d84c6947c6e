"""The `cluster` commands: bootstrap and replacement of control hosts."""

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
    value_or_exit,
)
from marjoramyard.fleet.messages import (
    Empty,
    HostStatus,
    InitCluster,
    MemberChange,
)
from marjoramyard.fleet.paths import INIT_PATH, MEMBER_PATH, STATUS_PATH
from marjoramyard.kernel.errors import FailureKind
from marjoramyard.kernel.ids import ReplicaId

_CALL_SECONDS = 5.0
_MEMBER_CHANGE_SECONDS = 20.0
_CATCH_UP_SECONDS = 120.0
_POLL_SECONDS = 0.3


async def host_status(connection: Connection, address: str) -> HostStatus:
    """Returns the status of a control host; exits if it is unreachable."""
    response = await connection.client.call(
        address, STATUS_PATH, Empty(), HostStatus, _CALL_SECONDS
    )
    if isinstance(response, Err):
        fail(f"{address}: {response.err_value.message}", EXIT_UNREACHABLE)
    return response.ok_value


async def _init_host(
    connection: Connection, address: str, message: InitCluster
) -> None:
    value_or_exit(
        await connection.client.call(
            address, INIT_PATH, message, Empty, _CALL_SECONDS
        )
    )


async def _change_member(
    connection: Connection, change: MemberChange
) -> HostStatus:
    return value_or_exit(
        await connection.control.call_leader(
            MEMBER_PATH,
            lambda: change,
            HostStatus,
            _MEMBER_CHANGE_SECONDS,
            _CALL_SECONDS,
        )
    )


@click.group()
def cluster() -> None:
    """Bootstraps and repairs the cluster of control hosts."""


@cluster.command()
@click.pass_obj
def init(session: Session) -> None:
    """Bootstraps a new cluster of the --control hosts, which must be empty."""

    async def work(connection: Connection) -> dict:
        statuses = [await host_status(connection, h) for h in session.hosts]
        for host, status in zip(session.hosts, statuses, strict=True):
            if status.role != "empty":
                fail(
                    f"{host} holds a replica already; a host that lost its "
                    "disk is added with `cluster replace`",
                    EXIT_CONFLICT,
                )
        addresses = {
            ReplicaId(status.replica): host
            for host, status in zip(session.hosts, statuses, strict=True)
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
    """Replaces replica LOST, whose disk is lost, by the host at ADDRESS.

    The new host gets a new identity and joins as a learner. It becomes a
    voter when it has synced the whole log; the lost replica is removed
    after that. Can be run again if it was interrupted.
    """

    async def work(connection: Connection) -> dict:
        status = await host_status(connection, address)
        replica = status.replica
        if status.role == "empty":
            cluster_id = await _cluster_of(connection, session.hosts)
            message = InitCluster(cluster_id, Membership())
            await _init_host(connection, address, message)
        click.echo(f"{replica}: added as a learner", err=True)
        change = MemberChange("add", replica, address)
        await _change_member(connection, change)
        await _promote(connection, replica)
        click.echo(f"{replica}: has all entries and is a voter", err=True)
        change = MemberChange("remove", lost)
        status = await _change_member(connection, change)
        return {
            "removed": lost,
            "voters": ", ".join(status.membership.voters),
            "safe": "another control host may fail now without data loss",
        }

    session.show(session.run(work))


async def _cluster_of(connection: Connection, hosts: list[str]) -> str:
    """Returns the id of the cluster that the given hosts belong to."""
    for host in hosts:
        response = await connection.client.call(
            host, STATUS_PATH, Empty(), HostStatus, _CALL_SECONDS
        )
        if not isinstance(response, Err) and response.ok_value.cluster:
            return response.ok_value.cluster
    fail("no control host of a cluster responds", EXIT_UNREACHABLE)


async def _promote(connection: Connection, replica: str) -> None:
    """Makes the learner a voter as soon as it has caught up with the log."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _CATCH_UP_SECONDS
    while loop.time() < deadline:
        response = await connection.control.call_leader(
            MEMBER_PATH,
            lambda: MemberChange("promote", replica),
            HostStatus,
            _MEMBER_CHANGE_SECONDS,
            _CALL_SECONDS,
        )
        if not isinstance(response, Err):
            return
        if response.err_value.kind is not FailureKind.CONFLICT:
            value_or_exit(response)
        await asyncio.sleep(_POLL_SECONDS)
    fail(f"{replica} did not catch up; check its log, then run this again")


def setup(main: click.Group) -> None:
    """Adds the commands."""
    main.add_command(cluster)
