"""Demo fleet on loopback: `python -m marjoramyard.standin.cmd.demo`."""

import asyncio
import signal
from pathlib import Path

import aiohttp
import click
import yaml

from marjoramyard.standin.local_fleet import (
    LocalFleet,
    api_key,
    local_fleet,
    start_small_fleet,
)

WORKSPACE = "counter-thies"


async def _start(fleet: LocalFleet, bundle: dict) -> None:
    await start_small_fleet(fleet, bundle)
    for number in (1, 2):
        await fleet.add_endpoint(f"assistant-{number}", "engine", "assistant")
    await fleet.add_endpoint("booking-1", "plain", "booking")
    await fleet.wait_until_serving("assistant-1", "assistant-2", "booking-1")


async def _show_chat(fleet: LocalFleet) -> None:
    click.echo("\nA streamed chat:")
    chat = {
        "model": "assistant",
        "stream": True,
        "messages": [{"role": "user", "content": "Which boots?"}],
    }
    async with fleet.session.post(
        fleet.url("entry-1", "/v1/chat/completions"),
        headers=fleet.headers(WORKSPACE),
        json=chat,
    ) as response:
        async for line in response.content:
            if line.strip():
                click.echo(f"  {line.decode().strip()}")


async def _show_booking(fleet: LocalFleet) -> None:
    click.echo("\nA booking, sent twice with one Idempotency-Key:")
    for _ in range(2):
        async with fleet.session.post(
            fleet.url("entry-2", "/services/booking/bookings"),
            headers=fleet.headers(WORKSPACE, Idempotency_Key="hold-17"),
            json={"boots": 42},
        ) as response:
            replayed = response.headers.get("X-Marjoramyard-Replayed", "false")
            text = await response.text()
            click.echo(f"  {response.status} {text} replayed={replayed}")


def _show_hints(fleet: LocalFleet) -> None:
    options = " ".join(f"--control {a}" for a in fleet.control_hosts.values())
    chat = '{"model":"assistant","messages":[{"content":"Which boots?"}]}'
    click.echo("\nThe fleet keeps running until you press Ctrl-C. Try:")
    click.echo(
        f"  curl -s -H 'Authorization: Bearer {api_key(WORKSPACE)}' \\\n"
        f"    -d '{chat}' {fleet.url('entry-1', '/v1/chat/completions')}"
    )
    click.echo(
        f"  .venv/bin/marjoramctl {options} \\\n"
        f"    --secret-file {fleet.secret_file} endpoints"
    )


async def _demo(bundle_path: Path, once: bool) -> None:
    bundle = yaml.safe_load(bundle_path.read_text(encoding="utf-8"))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    async with local_fleet() as fleet:
        click.echo("Starting 3 control hosts, 2 entries and 3 endpoints ...")
        await _start(fleet, bundle)
        try:
            await _show_chat(fleet)
            await _show_booking(fleet)
        except aiohttp.ClientError as error:
            raise click.ClickException(
                f"request to the fleet failed: {error}"
            ) from error
        _show_hints(fleet)
        if not once:
            await stop.wait()


@click.command()
@click.option(
    "--bundle",
    type=click.Path(path_type=Path, exists=True),
    default=Path("examples/teranga/bundle.yaml"),
)
@click.option("--once", is_flag=True, help="Exit after the example requests.")
def main(bundle: Path, once: bool) -> None:
    """Runs a small fleet on loopback and sends example requests to it."""
    asyncio.run(_demo(bundle, once))


if __name__ == "__main__":
    main()
