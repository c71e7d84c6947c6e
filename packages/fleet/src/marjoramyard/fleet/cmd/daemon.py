"""The `marjoramyard` command, which runs a role or checks its settings."""

import asyncio
import contextlib
import os
import sys
from pathlib import Path

import aiohttp
import click
from result import Err

import marjoramyard.fleet.settings  # noqa: F401  (registers the roles)
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.cmd.inherited_signals import InheritedSignals
from marjoramyard.fleet.cmd.settings_file import load_when_written
from marjoramyard.kernel.logs import (
    LineSink,
    configure_logs,
    get_logger,
    keep_errors_from_blocking,
)
from marjoramyard.kernel.settings import RoleSettings, load_settings
from marjoramyard.kernel.util.descriptors import raise_descriptor_limit

logger = get_logger(__name__)

EXIT_INVALID_SETTINGS = 2
EXIT_FAILED = 1
LAST_LINES_SECONDS = 0.2
"""How long a late reader of the log is waited for at the end."""


def _load_or_exit(path: Path) -> RoleSettings:
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        click.echo(loaded.err_value, err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return loaded.ok_value


def _load_written_or_exit(path: Path) -> tuple[RoleSettings, int]:
    """Returns settings and their modification time, once they are written."""
    printed = []

    def tell(problem: str) -> None:
        printed.append(problem)
        _print_error(problem)

    loaded, settings_modified_ns = load_when_written(path, tell)
    if isinstance(loaded, Err):
        if loaded.err_value not in printed:
            _print_error(loaded.err_value)
        sys.exit(EXIT_INVALID_SETTINGS)
    return loaded.ok_value, settings_modified_ns


@click.group()
def main() -> None:
    """Routers that share model capacity among workspaces."""


@main.command()
@click.argument("settings", type=click.Path(path_type=Path))
def check(settings: Path) -> None:
    """Checks a settings file; exits with code 2 if it is invalid."""
    loaded = _load_or_exit(settings)
    click.echo(f"{settings}: valid settings for role {loaded.role}")


@main.command()
@click.argument(
    "settings",
    type=click.Path(path_type=Path),
    envvar="MARJORAMYARD_CONFIG",
)
@click.pass_obj
def run(inherited: InheritedSignals | None, settings: Path) -> None:
    """Runs the role that a settings file describes, until SIGTERM."""
    loaded, settings_modified_ns = _load_written_or_exit(settings)
    raise_descriptor_limit()
    keep_errors_from_blocking()
    sink = configure_logs(loaded.log, role=loaded.role, name=loaded.name)
    _log_start(inherited or InheritedSignals())
    asyncio.run(_run(loaded, settings, settings_modified_ns, sink))


def _log_start(inherited: InheritedSignals) -> None:
    logger.info(
        "starting",
        pid=os.getpid(),
        python=sys.version.split()[0],
        executable=sys.executable,
        aiohttp=aiohttp.__version__,
        **inherited.log_fields(),
    )


async def _run(
    settings: RoleSettings,
    path: Path,
    settings_modified_ns: int,
    sink: LineSink,
) -> None:
    try:
        application = Application(settings, path)
        application.settings_modified_ns = settings_modified_ns
    except ValueError as error:
        logger.critical("settings_refused", why=str(error))
        _print_error(str(error))
        sys.exit(EXIT_INVALID_SETTINGS)
    try:
        await application.run()
    except (OSError, RuntimeError) as error:
        if application.stopping.is_set():
            # It was waiting for what another process holds, and was stopped.
            logger.info("stopped", before_start=str(error))
            _end(sink)
        logger.critical("failed", error=str(error))
        _print_error(f"{settings.name}: {error}")
        sys.exit(EXIT_FAILED)
    _end(sink)


def _end(sink: LineSink) -> None:
    """Ends the process once everything is closed.

    Taking the interpreter down as well would cost a small host part of the
    time in which it must have stopped. Closing the event loop would give
    signals their default actions before the end.
    """
    sink.flush_within(LAST_LINES_SECONDS)
    os._exit(0)


def _print_error(message: str) -> None:
    """Prints to standard error, if somebody reads it."""
    with contextlib.suppress(OSError):
        click.echo(message, err=True)
