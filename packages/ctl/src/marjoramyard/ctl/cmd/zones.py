"""The `zone` commands: evacuation of availability zones."""

import click

from marjoramyard.coordination.governance.commands import ChangeZone
from marjoramyard.ctl.session import Connection, Session, value_or_exit
from marjoramyard.ctl.times import format_time

_ORDER_SECONDS = 10.0


@click.group()
def zone() -> None:
    """Evacuates availability zones."""


def _change(session: Session, name: str, is_evacuated: bool, who: str) -> None:
    async def work(connection: Connection) -> dict:
        zones = (await connection.query("zones"))["zones"]
        revision = zones.get(name, {}).get("revision", 0)
        command = ChangeZone(name, is_evacuated, revision, who)
        value_or_exit(await connection.control.command(command, _ORDER_SECONDS))
        return {"zone": name, "evacuated": is_evacuated}

    session.show(session.run(work))


@zone.command()
@click.argument("name")
@click.option("--as", "who", required=True, help="Operator name.")
@click.pass_obj
def evacuate(session: Session, name: str, who: str) -> None:
    """Sends no new requests to the endpoints of a zone.

    Requests that are running there end normally. The endpoints may be cold
    afterwards.
    """
    _change(session, name, True, who)


@zone.command()
@click.argument("name")
@click.option("--as", "who", required=True, help="Operator name.")
@click.pass_obj
def restore(session: Session, name: str, who: str) -> None:
    """Ends the evacuation of a zone."""
    _change(session, name, False, who)


@zone.command("list")
@click.pass_obj
def list_zones(session: Session) -> None:
    """Lists the zones with orders, and the newest order on each."""
    zones = session.run(lambda c: c.query("zones"))["zones"]
    session.show(
        [{"zone": name, **_row(zones[name])} for name in sorted(zones)]
    )


@zone.command()
@click.pass_obj
def history(session: Session) -> None:
    """Lists the orders on all zones, oldest first."""
    records = session.run(lambda c: c.query("zones"))["history"]
    session.show(
        [
            {"number": r["revision"], "zone": r["zone"], **_row(r["state"])}
            for r in records
        ]
    )


def _row(state: dict) -> dict:
    return {
        "evacuated": state["is_evacuated"],
        "operator": state["operator"],
        "at": format_time(state["at"]),
    }


def setup(main: click.Group) -> None:
    """Adds the commands."""
    main.add_command(zone)
