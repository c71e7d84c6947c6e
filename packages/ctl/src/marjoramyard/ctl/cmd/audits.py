"""The `audit` commands."""

import datetime

import click
from result import Err

from marjoramyard.ctl.auditing import verify_trail, version_at
from marjoramyard.ctl.changes import read_trail
from marjoramyard.ctl.session import EXIT_USAGE, Session, fail
from marjoramyard.ctl.times import format_time


def _parse_time(text: str) -> float:
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        fail(f"{text!r}: give a time such as 2026-12-03T10:15:00Z", EXIT_USAGE)
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return time.timestamp()


@click.group(invoke_without_command=True)
@click.option("--at", help="Shows the version in force at this time.")
@click.pass_context
def audit(context: click.Context, at: str | None) -> None:
    """Shows the audit trail, or the version in force at a given time."""
    if context.invoked_subcommand is not None:
        return
    session: Session = context.obj
    records = read_trail(session.run(lambda c: c.query("audit")))
    if at is None:
        session.show(
            [
                {
                    "number": record.number,
                    "at": format_time(record.at),
                    "action": record.action,
                    "who": record.who,
                    "change_id": record.change_id,
                    "version": record.version,
                }
                for record in records
            ]
        )
        return
    record = version_at(records, _parse_time(at))
    if record is None:
        fail("no bundle was in force at that time")
    session.show(
        {
            "version": record.version,
            "since": format_time(record.at),
            "change_id": record.change_id,
            "rolled_by": record.who,
            "signature": record.signature,
            "record_hash": record.hash,
        }
    )


@audit.command()
@click.option(
    "--bootstrap-key",
    "bootstrap",
    multiple=True,
    help="NAME=HEX of an operator trusted before the first bundle.",
)
@click.pass_obj
def verify(session: Session, bootstrap: tuple[str, ...]) -> None:
    """Verifies the hash chain and all signatures; exit code 1 on failure."""
    keys = dict(item.split("=", 1) for item in bootstrap)
    records = read_trail(session.run(lambda c: c.query("audit")))
    outcome = verify_trail(records, keys)
    if isinstance(outcome, Err):
        fail(outcome.err_value)
    session.show({"records": outcome.ok_value, "chain": "whole"})


def setup(main: click.Group) -> None:
    """Adds the commands."""
    main.add_command(audit)
