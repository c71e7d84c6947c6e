"""The `key` commands."""

import hashlib
import os
import secrets
from pathlib import Path

import click

from marjoramyard.ctl.session import EXIT_USAGE, fail
from marjoramyard.fleet.control.signatures import (
    make_private_key,
    public_key_of,
)

_PRIVATE_MODE = 0o600


def _write_private(path: Path, text: str) -> None:
    try:
        handle = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, _PRIVATE_MODE
        )
    except FileExistsError:
        fail(f"{path}: already exists; name another file", EXIT_USAGE)
    with os.fdopen(handle, "w") as file:
        file.write(text + "\n")


@click.group()
def key() -> None:
    """Generates keys and secrets."""


@key.command("operator")
@click.argument("path", type=click.Path(path_type=Path))
def key_operator(path: Path) -> None:
    """Generates an operator's signing key; prints the public key."""
    private = make_private_key()
    _write_private(path, private)
    click.echo(public_key_of(private))


@key.command("secret")
@click.argument("path", type=click.Path(path_type=Path))
def key_secret(path: Path) -> None:
    """Generates the secret shared by the fleet's processes."""
    _write_private(path, secrets.token_hex(32))


@key.command("api")
def key_api() -> None:
    """Generates an API key; prints it and its hash for the bundle."""
    api_key = secrets.token_urlsafe(32)
    click.echo(f"key   {api_key}")
    click.echo(f"hash  {hashlib.sha256(api_key.encode()).hexdigest()}")


def setup(main: click.Group) -> None:
    """Adds the commands."""
    main.add_command(key)
