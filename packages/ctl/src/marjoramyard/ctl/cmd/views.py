"""Commands that show the state of the fleet, and `order`."""

import click
from result import Err

from marjoramyard.coordination.governance.commands import (
    ClearSuspects,
    IssueOrder,
)
from marjoramyard.ctl.session import Connection, Session, value_or_exit
from marjoramyard.fleet.messages import Empty, HostStatus
from marjoramyard.fleet.paths import STATUS_PATH

_STATUS_SECONDS = 1.5
_ORDER_SECONDS = 10.0


@click.command()
@click.pass_obj
def status(session: Session) -> None:
    """Shows the status that each control host reports."""

    async def work(connection: Connection) -> list[dict]:
        rows = []
        for host in session.hosts:
            response = await connection.client.call(
                host,
                STATUS_PATH,
                Empty(),
                HostStatus,
                _STATUS_SECONDS,
            )
            if isinstance(response, Err):
                rows.append({"host": host, "role": "no answer"})
                continue
            report = response.ok_value
            rows.append(
                {
                    "host": host,
                    "name": report.name,
                    "replica": report.replica,
                    "role": report.role,
                    "term": report.term,
                    "commit": report.commit,
                    "bundle": report.version,
                    "leader": report.leader,
                }
            )
        return rows

    session.show(
        session.run(work),
        [
            "host",
            "name",
            "replica",
            "role",
            "term",
            "commit",
            "bundle",
            "leader",
        ],
    )


@click.command()
@click.pass_obj
def changes(session: Session) -> None:
    """Lists the changes of the bundle and their states."""
    session.show(session.run(lambda c: c.query("changes")))


@click.command()
@click.pass_obj
def workspaces(session: Session) -> None:
    """Lists the workspaces of the bundle in force."""
    bundle = session.run(lambda c: c.query("bundle"))
    session.show(
        [
            {
                "workspace": path.partition("/")[2],
                "share": raw["share"],
                "services": ",".join(raw["services"]),
                "keys": len(raw["key_hashes"]),
            }
            for path, raw in bundle["rows"].items()
            if path.startswith("workspaces/")
        ]
    )


@click.command()
@click.pass_obj
def endpoints(session: Session) -> None:
    """Lists the registered endpoints."""
    rows = session.run(lambda c: c.query("directory"))
    session.show(
        [row for row in rows if row["role"] == "agent"],
        ["endpoint", "service", "state", "slots", "zone", "address"],
    )


@click.command()
@click.pass_obj
def suspects(session: Session) -> None:
    """Lists the fingerprints of requests that ran when endpoints died."""
    suspects = session.run(lambda c: c.query("suspects"))
    session.show([{"fingerprint": k, **v} for k, v in suspects.items()])


@click.command("clear-suspect")
@click.argument("fingerprint")
@click.option("--as", "who", required=True, help="Operator name.")
@click.pass_obj
def clear_suspect(session: Session, fingerprint: str, who: str) -> None:
    """Ends the suspicion and the quarantine of a request."""

    async def work(connection: Connection) -> object:
        command = ClearSuspects([fingerprint], who)
        reply = await connection.control.command(command, _ORDER_SECONDS)
        return {"cleared": value_or_exit(reply).granted}

    session.show(session.run(work))


@click.command()
@click.argument("endpoint")
@click.argument(
    "action", type=click.Choice(["load", "adapter", "version", "role"])
)
@click.argument("argument")
@click.option("--as", "who", required=True, help="Operator name.")
@click.pass_obj
def order(
    session: Session, endpoint: str, action: str, argument: str, who: str
) -> None:
    """Orders an engine endpoint to load a model or change its set-up."""

    async def work(connection: Connection) -> object:
        command = IssueOrder(endpoint, action, argument, who)
        reply = await connection.control.command(command, _ORDER_SECONDS)
        return value_or_exit(reply).order

    session.show(session.run(work))


def setup(main: click.Group) -> None:
    """Adds the commands."""
    for command in (
        status,
        changes,
        workspaces,
        endpoints,
        suspects,
        clear_suspect,
        order,
    ):
        main.add_command(command)
