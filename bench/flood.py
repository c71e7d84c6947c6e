"""One workspace floods a gateway that has a part of a core; others idle.

`.venv/bin/python bench/flood.py` starts control hosts, a gateway that runs a
quarter of the time, and gateways with room, and counts the responses to an
open-loop load at the first one. Writes nothing.
"""

import asyncio
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

import click
from forwarding import prompt_bytes
from gateway import EngineConnection, EngineRegistration

from marjoramyard.standin.processes import free_address

from gateway_fleet import (  # isort: skip
    GatewayFleet,
    config,
    route,
    wait_until,
)

PERIOD_SECONDS = 0.08
"""The gateway runs for a part of each of these."""
EVENTS = 20

SETTLE_SECONDS = 2.0
"""Time for all gateways to learn of the engine."""


async def limit_processor(child, share):
    """Lets a process run for a share of the time until cancelled."""
    try:
        while True:
            child.signal(signal.SIGCONT)
            await asyncio.sleep(PERIOD_SECONDS * share)
            child.signal(signal.SIGSTOP)
            await asyncio.sleep(PERIOD_SECONDS * (1 - share))
    finally:
        child.signal(signal.SIGCONT)


async def send(address, number):
    """Returns what became of a prompt."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(10):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(prompt_bytes(b"/chat/x", number))
                head = await reader.readuntil(b"\r\n\r\n")
                status = head.split(b" ", 2)[1].decode()
                if status == "200":
                    await reader.readuntil(b"\r\n0\r\n\r\n")
                return status
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return type(error).__name__


async def flood(address, rate, seconds):
    """Sends prompts at a rate; returns the results, by second."""
    started_at = time.monotonic()
    sent = []
    number = 0
    while time.monotonic() < started_at + seconds:
        due = (time.monotonic() - started_at) * rate
        while number < due:
            task = asyncio.ensure_future(send(address, number))
            sent.append((int(number / rate), task))
            number += 1
        await asyncio.sleep(0.005)
    by_second = [Counter() for _ in range(round(seconds))]
    for second, task in sent:
        by_second[min(second, len(by_second) - 1)][await task] += 1
    return by_second


async def measure(share, peers, rate, seconds):
    """Runs the load; prints the results."""
    loop = asyncio.get_running_loop()
    EngineConnection.events = EVENTS
    with tempfile.TemporaryDirectory() as folder:
        fleet = GatewayFleet(
            Path(folder), forwarding_port_offset=1, processor_cores=share
        )
        names = [f"peer-{number}" for number in range(peers)]
        for name in names:
            fleet.write_settings(
                name,
                role="gateway",
                internal=free_address(consecutive=2),
                listen=free_address(),
                ready_listen=free_address(),
                grace_seconds=8.0,
                processor_cores=1.0,
                forwarding_port_offset=1,
            )
        for name in ("control-0", "control-1", "control-2", *names, "gateway"):
            await fleet.start(name)
        chat = route("chat", "/chat/", "non_idempotent", service="chat")
        chat |= {
            "open_access": False,
            "timeout_ms": 9000,
            "objective_ms": 5000,
        }
        document = config(1, chat)
        engine = {"slots": 2000, "memory_tokens": 100_000_000}
        document["services"].append({"name": "chat", "engine": engine})
        document["limits"] = {"tokens_per_s": 1_000_000}
        await fleet.put_config(document)
        await wait_until(fleet.is_ready)
        address = free_address()
        host, port = address.split(":")
        server = await loop.create_server(EngineConnection, host, int(port))
        registration = EngineRegistration("engine-0", address)
        try:
            for control_host in range(3):
                await fleet.send_heartbeat(registration, host=control_host)
            await asyncio.sleep(SETTLE_SECONDS)
            limiting = asyncio.ensure_future(
                limit_processor(fleet.children["gateway"], share)
            )
            results = await flood(fleet.listen_address, rate, seconds)
            limiting.cancel()
            await asyncio.gather(limiting, return_exceptions=True)
            for number, counts in enumerate(results):
                print(number, dict(counts))
            print("all", dict(sum(results, Counter())), flush=True)
            log = (fleet.folder / "gateway.log").read_text(encoding="utf-8")
            for line in log.splitlines():
                if '"gateway_overloaded"' in line:
                    print(line[:400])
        finally:
            server.close()
            await fleet.close()


@click.command()
@click.option("--share", default=0.25, help="The gateway's part of a core.")
@click.option("--peers", default=3, help="Gateways with room.")
@click.option("--rate", default=150.0, help="Prompts a second.")
@click.option("--seconds", default=15.0, help="Duration of the load.")
def main(share: float, peers: int, rate: float, seconds: float) -> None:
    """Floods one small gateway."""
    asyncio.run(measure(share, peers, rate, seconds))


if __name__ == "__main__":
    main()
