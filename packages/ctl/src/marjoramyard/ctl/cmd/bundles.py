"""Commands of the bundle's life cycle, from proposal to roll-out."""

from pathlib import Path

import click
import msgspec

from marjoramyard.coordination.governance.commands import (
    Approve,
    Command,
    Propose,
    Roll,
)
from marjoramyard.coordination.governance.lifecycle import (
    Change,
    ChangeRecord,
)
from marjoramyard.ctl.changes import (
    difference,
    new_change,
    read_bundle_rows,
    rows_of_version,
)
from marjoramyard.ctl.session import (
    EXIT_CONFLICT,
    EXIT_USAGE,
    Connection,
    Session,
    fail,
    value_or_exit,
)
from marjoramyard.fleet.control.signatures import sign

_SEND_SECONDS = 15.0

_as_option = click.option("--as", "who", required=True, help="Operator name.")
_key_option = click.option(
    "--key",
    "key_file",
    required=True,
    type=click.Path(path_type=Path),
    help="File with the operator's private key.",
)


def _read_key(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as error:
        fail(
            f"{path}: {error.strerror}; make one with `key operator`",
            EXIT_USAGE,
        )


def _summary(record: ChangeRecord) -> dict:
    return {
        "change_id": record.change_id,
        "state": record.state.value,
        "author": record.author,
        "approver": record.approver,
        "base_version": record.base_version,
        "version": record.version,
    }


async def _send(connection: Connection, command: Command) -> dict:
    reply = value_or_exit(
        await connection.control.command(command, _SEND_SECONDS)
    )
    return _summary(reply.change)


async def _propose(
    connection: Connection, change: Change, private: str
) -> dict:
    signature = sign(private, change.signed_bytes("propose"))
    return await _send(connection, Propose(change, signature))


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@_as_option
@_key_option
@click.option("--note", default="", help="Reason, for auditors.")
@click.option(
    "--save",
    type=click.Path(path_type=Path),
    help="Saves the change to this file, for use with --resend.",
)
@click.option("--resend", is_flag=True, help="PATH is a saved change.")
@click.pass_obj
def propose(
    session: Session,
    path: Path,
    who: str,
    key_file: Path,
    note: str,
    save: Path | None,
    resend: bool,
) -> None:
    """Proposes to replace the bundle in force by the one in PATH."""
    private = _read_key(key_file)

    async def work(connection: Connection) -> dict:
        if resend:
            change = msgspec.json.decode(path.read_bytes(), type=Change)
            return await _propose(connection, change, private)
        rows = read_bundle_rows(path)
        in_force = await connection.query("bundle")
        change = new_change(in_force, rows, who, note)
        if not change.put and not change.remove:
            fail("the bundle is in force already; nothing to propose")
        if save is not None:
            save.write_bytes(msgspec.json.encode(change))
        return await _propose(connection, change, private)

    session.show(session.run(work))


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.pass_obj
def diff(session: Session, path: Path) -> None:
    """Shows how the bundle in PATH differs from the one in force."""
    proposed = read_bundle_rows(path)
    in_force = session.run(lambda connection: connection.query("bundle"))
    put, remove = difference(in_force["rows"], proposed)
    rows = [
        {
            "change": "replace" if name in in_force["rows"] else "add",
            "row": name,
            "value": msgspec.json.encode(raw).decode(),
        }
        for name, raw in sorted(put.items())
    ]
    rows += [{"change": "remove", "row": n, "value": ""} for n in remove]
    session.show(rows)


async def _read_change(connection: Connection, change_id: str) -> ChangeRecord:
    raw = await connection.query("change", change_id)
    if raw is None:
        fail(f"there is no change {change_id}; `changes` lists them")
    return msgspec.convert(raw, ChangeRecord)


def _sign_and_send(
    session: Session, kind: type, change_id: str, who: str, key_file: Path
) -> None:
    """Signs a change as stored by the leader, and sends the command.

    A `roll` of a change that is rolled already only shows the change.
    """
    private = _read_key(key_file)
    action = kind.__name__.lower()

    async def work(connection: Connection) -> dict:
        record = await _read_change(connection, change_id)
        if record.change is None:
            if action == "roll" and record.version:
                return _summary(record)
            fail(f"the change is {record.state.value} already", EXIT_CONFLICT)
        signature = sign(private, record.change.signed_bytes(action))
        return await _send(connection, kind(change_id, who, signature))

    session.show(session.run(work))


@click.command()
@click.argument("change_id")
@_as_option
@_key_option
@click.pass_obj
def approve(session: Session, change_id: str, who: str, key_file: Path) -> None:
    """Approves a change proposed by another operator."""
    _sign_and_send(session, Approve, change_id, who, key_file)


@click.command()
@click.argument("change_id")
@_as_option
@_key_option
@click.pass_obj
def roll(session: Session, change_id: str, who: str, key_file: Path) -> None:
    """Rolls out an approved change to the whole fleet."""
    _sign_and_send(session, Roll, change_id, who, key_file)


@click.command()
@click.argument("version", type=int)
@_as_option
@_key_option
@click.option("--note", default="", help="Reason, for auditors.")
@click.pass_obj
def restore(
    session: Session, version: int, who: str, key_file: Path, note: str
) -> None:
    """Proposes to restore the content of an earlier VERSION."""
    private = _read_key(key_file)

    async def work(connection: Connection) -> dict:
        in_force = await connection.query("bundle")
        if not 0 < version < in_force["version"]:
            fail(f"version {version} is not an earlier version", EXIT_USAGE)
        rows = rows_of_version(await connection.query("audit"), version)
        change = new_change(in_force, rows, who, note, version)
        return await _propose(connection, change, private)

    session.show(session.run(work))


def setup(main: click.Group) -> None:
    """Adds the commands."""
    for command in (propose, diff, approve, roll, restore):
        main.add_command(command)
