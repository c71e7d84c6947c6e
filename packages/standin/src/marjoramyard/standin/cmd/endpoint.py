"""Runs a test endpoint: `python -m marjoramyard.standin.cmd.endpoint`."""

import asyncio
import signal

import click

from marjoramyard.standin.announced_endpoint import AnnouncedEndpoint
from marjoramyard.standin.booking_service import BookingService
from marjoramyard.standin.engine import ChatEngine


async def _serve(endpoint: AnnouncedEndpoint) -> None:
    task = asyncio.ensure_future(endpoint.serve())
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        pass


@click.command()
@click.argument("kind", type=click.Choice(["engine", "plain"]))
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--listen", required=True, help="IP:PORT to listen on.")
@click.option(
    "--agent", required=True, help="The endpoint_listen address of its agent."
)
@click.option("--slots", default=8, show_default=True)
@click.option("--checks-fencing", is_flag=True)
@click.option("--token-seconds", default=0.01, show_default=True)
@click.option("--slowdown", default=0.0, show_default=True)
@click.option("--call-seconds", default=0.005, show_default=True)
@click.option("--journal", default="")
@click.option(
    "--crashing-message",
    default="",
    help="Ends when it answers a chat with this message before the last one.",
)
@click.option("--version", default="", help="The version of its software.")
def main(
    kind: str,
    name: str,
    service: str,
    listen: str,
    agent: str,
    slots: int,
    checks_fencing: bool,
    token_seconds: float,
    slowdown: float,
    call_seconds: float,
    journal: str,
    crashing_message: str,
    version: str,
) -> None:
    """Serves a test endpoint until SIGTERM or SIGINT."""
    common = {
        "name": name,
        "service": service,
        "address": listen,
        "agent": agent,
        "slots": slots,
        "checks_fencing": checks_fencing,
        "version": version,
    }
    if kind == "engine":
        endpoint: AnnouncedEndpoint = ChatEngine(
            token_seconds, slowdown, crashing_message, **common
        )
    else:
        endpoint = BookingService(call_seconds, journal, **common)
    asyncio.run(_serve(endpoint))


if __name__ == "__main__":
    main()
