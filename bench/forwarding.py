"""Processor time of a gateway per forwarded prompt and per copied event.

`.venv/bin/python bench/forwarding.py` starts control hosts, an overloaded
gateway and one with room, sends prompts to fake engines, and writes
bench/out/forwarding.json. `--profile FILE` profiles the overloaded gateway.
"""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

import click
from common import fit, save, show_fit
from gateway import (
    BODY,
    EVENT_COUNTS,
    EngineConnection,
    EngineRegistration,
    put_chat_config,
    start_measured_gateway,
    user_seconds,
)

from marjoramyard.standin.processes import free_address

from gateway_fleet import (  # isort: skip
    API_KEY,
    GatewayFleet,
    wait_until,
)

HELD_PROMPTS = 60
"""Prompts in service that keep the gateway overloaded."""
SUSPENDED_SECONDS = 0.6
FORWARDING_CORES = 0.01
"""So few that the gateway forwards all prompts."""
CALLERS = 16
PROMPTS_PER_CALLER = 60
HOLD_PATH = b"/chat/hold"


class HoldingEngine(EngineConnection):
    """An engine that never ends the responses to prompts to `HOLD_PATH`."""

    held = 0

    async def _respond(self, head):
        if HOLD_PATH in head.partition(b"\r\n")[0]:
            HoldingEngine.held += 1
            return
        await super()._respond(head)


def prompt_bytes(path, number):
    """Returns the bytes of a prompt."""
    return (
        b"POST %s HTTP/1.1\r\nHost: shop.example\r\n"
        b"Request-Id: bench-%d\r\nRequest-Deadline-Ms: 60000\r\n"
        b"Api-Key: %s\r\nPrompt-Parts: aa:100,%x:50\r\n"
        b"Token-Counts: 150,40\r\nContent-Length: %d\r\n\r\n"
        % (path, number, API_KEY.encode(), number, len(BODY))
        + BODY
    )


async def send_prompt(address, path, number):
    """Sends a prompt on a new connection; returns whether it was served."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(prompt_bytes(path, number))
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n")[0]:
            return False
        await reader.readuntil(b"\r\n0\r\n\r\n")
        return True
    finally:
        writer.close()


async def run_callers(address, first_number):
    """Sends prompts from concurrent callers; returns how many were served."""

    async def caller(offset):
        first = first_number + offset * PROMPTS_PER_CALLER
        return [
            await send_prompt(address, b"/chat/x", first + number)
            for number in range(PROMPTS_PER_CALLER)
        ]

    results = await asyncio.gather(*(caller(n) for n in range(CALLERS)))
    return sum(map(sum, results))


def peer_settings(fleet):
    """Writes the settings of the gateway that has room."""
    fleet.write_settings(
        "peer",
        role="gateway",
        internal=free_address(consecutive=2),
        listen=free_address(),
        ready_listen=free_address(),
        grace_seconds=8.0,
        processor_cores=4.0,
        forwarding_port_offset=1,
    )


async def start_fleet(folder, profile):
    """Starts the fleet with an overloaded gateway."""
    fleet = GatewayFleet(
        folder, forwarding_port_offset=1, processor_cores=FORWARDING_CORES
    )
    peer_settings(fleet)
    for name in ("control-0", "control-1", "control-2", "peer"):
        await fleet.start(name)
    await start_measured_gateway(fleet, profile)
    await put_chat_config(fleet, slots=400, timeout_ms=60000)
    return fleet


async def overload(fleet):
    """Makes the event loop of the gateway late while it has prompts."""
    held = [
        asyncio.ensure_future(
            send_prompt(fleet.listen_address, HOLD_PATH, -number)
        )
        for number in range(1, HELD_PROMPTS + 1)
    ]

    async def all_are_held():
        return HoldingEngine.held == HELD_PROMPTS

    await wait_until(all_are_held)
    gateway = fleet.children["gateway"]
    gateway.suspend()
    await asyncio.sleep(SUSPENDED_SECONDS)
    gateway.signal(signal.SIGCONT)

    async def forwards():
        await send_prompt(fleet.listen_address, b"/chat/x", 0)
        return has_forwarded(fleet)

    await wait_until(forwards)
    return held


async def end_held(held):
    """Closes the connections of prompts that are held."""
    for task in held:
        task.cancel()
    await asyncio.gather(*held, return_exceptions=True)


def has_forwarded(fleet):
    """Whether the gateway has forwarded a prompt."""
    log = (fleet.folder / "gateway.log").read_text(encoding="utf-8")
    return '"request_forwarded"' in log


async def measure(profile):
    """Measures all event counts; returns the points (events, ms)."""
    points = []
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        fleet = await start_fleet(Path(folder), profile)
        address = free_address()
        host, port = address.split(":")
        engine = await loop.create_server(HoldingEngine, host, int(port))
        registration = EngineRegistration("engine-0", address)
        held = []
        try:
            for control_host in range(3):
                await fleet.send_heartbeat(registration, host=control_host)
            await asyncio.sleep(1.0)
            held = await overload(fleet)
            gateway = fleet.children["gateway"]
            first_number = 1
            for events in (EVENT_COUNTS[0], *EVENT_COUNTS):
                EngineConnection.events = events
                before = user_seconds(gateway)
                total_before = gateway.cpu_seconds()
                started_at = time.monotonic()
                served = await run_callers(fleet.listen_address, first_number)
                seconds = time.monotonic() - started_at
                first_number += CALLERS * PROMPTS_PER_CALLER
                user = user_seconds(gateway) - before
                used = gateway.cpu_seconds() - total_before
                points.append((events, user / served * 1000))
                print(
                    f"{events} events: {served} of"
                    f" {CALLERS * PROMPTS_PER_CALLER} answered,"
                    f" {used / served * 1000:.3f} ms a prompt,"
                    f" {user / served * 1000:.3f} of it in user mode,"
                    f" {served / seconds:.0f} prompts/s",
                    flush=True,
                )
            await end_held(held)
            await gateway.terminate()
        finally:
            await end_held(held)
            engine.close()
            await fleet.close()
    # The first pass warms up.
    return points[1:]


@click.command()
@click.option("--profile", help="Where to write a cProfile of the gateway.")
def main(profile: str | None) -> None:
    """Measures the processor time of forwarding."""
    line = fit("forwarding, per event", "ms", asyncio.run(measure(profile)))
    show_fit(line)
    if not profile:
        save("forwarding", line)


if __name__ == "__main__":
    main()
