"""Connections, output and exit codes of one invocation of the tool."""

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NoReturn, TypeVar

import click
import msgspec
from result import Err, Ok, Result

from marjoramyard.fleet.util.control_client import ControlClient
from marjoramyard.fleet.util.held_bytes import HeldBytes
from marjoramyard.fleet.util.rpc import InternalClient, read_secret
from marjoramyard.kernel.errors import Failure, FailureKind
from marjoramyard.kernel.metrics import Metrics

MAX_REPLY_BYTES = 64 << 20
"""The most bytes of replies that one invocation holds."""
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4

T = TypeVar("T")


class Session:
    """The global options and the output of one invocation.

    Attributes:
        hosts: Internal addresses of control hosts.
        secret_file: File with the secret shared by the fleet's processes.
        output: `table` or `json`.
    """

    def __init__(self, hosts: list[str], secret_file: str, output: str):
        self.hosts = hosts
        self.secret_file = secret_file
        self.output = output

    @asynccontextmanager
    async def connect(self) -> AsyncIterator["Connection"]:
        """Opens the connections of one command, and closes them at the end."""
        try:
            secret = read_secret(self.secret_file)
        except ValueError as error:
            fail(str(error), EXIT_USAGE)
        metrics = Metrics("ctl", "ctl")
        client = InternalClient(
            secret, metrics, HeldBytes(MAX_REPLY_BYTES, metrics)
        )
        try:
            yield Connection(client, ControlClient(client, self.hosts))
        finally:
            await client.close()

    def run(self, work: Callable[["Connection"], Awaitable[T]]) -> T:
        """Runs a coroutine function with a connection; returns its result."""

        async def connected() -> T:
            async with self.connect() as connection:
                return await work(connection)

        return asyncio.run(connected())

    def show(self, value: Any, columns: list[str] | None = None) -> None:
        """Prints a value in the chosen output format.

        Args:
            value: A list of rows, or a mapping.
            columns: The columns of a table of rows; by default the keys of
                the first row.
        """
        plain = msgspec.to_builtins(value)
        if self.output == "json":
            encoded = msgspec.json.format(msgspec.json.encode(plain))
            click.echo(encoded.decode())
        elif isinstance(plain, list):
            _print_table(plain, columns)
        else:
            for name, item in plain.items():
                click.echo(f"{name:<14} {item}")


class Connection:
    """The clients of one command."""

    def __init__(self, client: InternalClient, control: ControlClient):
        self.client = client
        self.control = control

    async def query(self, subject: str, argument: str = "") -> Any:
        """Queries the confirmed leader; exits on failure."""
        reply = value_or_exit(await self.control.query(subject, argument))
        return reply.value


def _print_table(rows: list[dict], columns: list[str] | None) -> None:
    if not rows:
        click.echo("(none)")
        return
    columns = columns or list(rows[0])
    cells = [[str(row.get(c, "")) for c in columns] for row in rows]
    widths = [
        max(len(name), *(len(row[i]) for row in cells))
        for i, name in enumerate(columns)
    ]
    for line in [[c.upper() for c in columns], *cells]:
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        click.echo("  ".join(padded).rstrip())


def fail(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """Prints an error message to standard error and exits."""
    click.echo(message, err=True)
    sys.exit(code)


def exit_code_of(reason: Failure) -> int:
    """Returns the exit code of a failure."""
    if reason.kind in (
        FailureKind.CONFLICT,
        FailureKind.IDEMPOTENCY_KEY_REUSED,
    ):
        return EXIT_CONFLICT
    if reason.kind in (
        FailureKind.NO_QUORUM,
        FailureKind.STORAGE_FULL,
        FailureKind.NO_ENDPOINT,
        FailureKind.NOT_LEADER,
    ):
        return EXIT_UNREACHABLE
    return EXIT_FAILED


def value_or_exit(result: Result[T, Failure]) -> T:
    """Returns the value of a result; prints a failure and exits."""
    if isinstance(result, Err):
        reason = result.err_value
        fail(f"{reason.code}: {reason.message}", exit_code_of(reason))
    assert isinstance(result, Ok)
    return result.ok_value
