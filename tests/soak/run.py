"""One run of the soak: a fleet, its callers, and a plan of faults."""

import asyncio
import random
import time
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import aiohttp

from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.relay import relay_to
from soak.callers import Callers
from soak.endpoints import Endpoint
from soak.faults import Injector
from soak.fleet import SoakFleet, soak_fleet
from soak.operator import Operator
from soak.plan import Fault, Size, make_plan
from soak.record import Record, Span

START_SECONDS = 40.0
RECOVER_SECONDS = 12.0
AFTER_SECONDS = 3.0
"""How long callers go on after the recovery, for something to judge by."""
FINAL_READ_SECONDS = 12.0
LAG_STEP_SECONDS = 0.05
LAG_SECONDS = 0.3
"""If our own loop stands still for so long, its clock says nothing about
what the fleet did meanwhile."""


async def soak(
    seed: int, seconds: float, folder: Path, size: Size | None = None
) -> Record:
    """Plays a seed and returns what was seen."""
    size = size or Size()
    record = Record()
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(
            soak_fleet(folder, size, record)
        )
        operator = Operator(record, fleet.operators, seed)
        stack.push_async_callback(operator.session.close)
        timeout = aiohttp.ClientTimeout(total=1.0)
        beats = aiohttp.ClientSession(timeout=timeout)
        stack.push_async_callback(beats.close)
        rng = random.Random(seed + 3)
        endpoints = [
            Endpoint(number, record, fleet.operators, rng)
            for number in range(size.endpoints)
        ]
        injector = Injector(fleet, endpoints, operator, beats)
        metrics = Metrics("soak", "soak")
        stack.callback(metrics.close)
        injector.client = InternalClient("", metrics)
        stack.push_async_callback(injector.client.close)
        for endpoint in endpoints:
            link = await stack.enter_async_context(relay_to(endpoint.listen))
            endpoint.address = link.address
            injector.endpoint_links.append(link)
            await endpoint.start()
            stack.push_async_callback(endpoint.stop)
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(endpoint.beat_forever(beats))
                for endpoint in endpoints
            ]
            background.append(tasks.create_task(_watch_lag(record)))
            await _found(fleet, operator, beats)
            background.append(tasks.create_task(operator.read_forever()))
            callers = Callers(
                record, [link.address for link in fleet.callers_links], seed
            )
            calling = tasks.create_task(callers.run(size.callers))
            plan = make_plan(seed, seconds, size)
            await _play(plan, injector)
            record.healed_at = time.monotonic()
            await asyncio.sleep(RECOVER_SECONDS + AFTER_SECONDS)
            record.final_version = await _final(operator)
            callers.stopped = operator.stopped = True
            await calling
            for task in background:
                task.cancel()
    record.ended_at = time.monotonic()
    return record


async def _found(fleet: SoakFleet, operator: Operator, session) -> None:
    """Waits until the fleet serves its first configuration."""
    await operator.change()
    fleet.founded()

    async def serves() -> bool:
        for link in fleet.callers_links:
            headers = {"Host": "shop.example", "Request-Id": "probe"}
            url = f"http://{link.address}/plain/x"
            async with session.get(url, headers=headers) as response:
                if response.status != 200:
                    return False
        return True

    async def does() -> bool:
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            return await serves()
        return False

    await wait_until(does, "the fleet to serve", START_SECONDS)


async def _play(plan: list[Fault], injector: Injector) -> None:
    """Carries out a plan; faults overlap as their times say."""
    began = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for fault in plan:
            wait = began + fault.at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.create_task(injector.carry_out(fault))


async def _final(operator: Operator) -> int:
    """Reads the configuration back, from any host that gives it."""
    end = time.monotonic() + FINAL_READ_SECONDS
    while time.monotonic() < end:
        for host in range(len(operator.hosts)):
            version = await operator.read(host)
            if version is not None:
                return version
        await asyncio.sleep(0.2)
    return 0


async def _watch_lag(record: Record) -> None:
    """Notes when the soak itself stood still."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(LAG_STEP_SECONDS)
        now = time.monotonic()
        if now - before > LAG_SECONDS:
            record.spans.append(
                Span(
                    target="soak",
                    kind="lag",
                    number=0,
                    since=before,
                    until=now,
                )
            )
