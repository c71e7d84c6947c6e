"""One soak run: a fleet, its callers, and a plan of faults."""

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
from soak.balanced import BalancedClients
from soak.callers import Callers
from soak.endpoints import ENGINE_SERVICE, SERVICE, Endpoint
from soak.faults import FaultInjector
from soak.fleet import SoakFleet, soak_fleet
from soak.floods import Flood
from soak.memory import keep_memory
from soak.operator import Operator
from soak.plan import Fault, FleetSize, draw_power_loss, make_plan
from soak.pressing import PressingClients
from soak.record import FaultSpan, Record, Stall

START_TIMEOUT_SECONDS = 40.0
RECOVERY_SECONDS = 12.0
OBSERVATION_SECONDS = 3.0
"""How long callers go on after the recovery time, for `service_recovers`."""
FINAL_READ_TIMEOUT_SECONDS = 12.0
LAG_CHECK_INTERVAL_SECONDS = 0.05
MIN_STALL_SECONDS = 0.02
LAG_THRESHOLD_SECONDS = 0.3
"""A longer stall of this process's event loop is recorded as a fault, for
times measured during it are unreliable."""


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    size: FleetSize | None = None,
    stops_only: bool = False,
) -> Record:
    """Runs the plan of a seed and returns the record.

    Args:
        seed: Determines the plan.
        seconds: Until when faults begin.
        folder: For the settings, logs and data of the processes.
        size: The number of processes and callers.
        stops_only: Whether processes are stopped and no other fault occurs.
    """
    size = size or FleetSize()
    record = Record()
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(
            soak_fleet(folder, size, record)
        )
        operator = Operator(
            record, fleet.operator_addresses, seed, bool(size.engines)
        )
        stack.push_async_callback(operator.close)
        timeout = aiohttp.ClientTimeout(total=1.0)
        probe_session = aiohttp.ClientSession(timeout=timeout)
        stack.push_async_callback(probe_session.close)
        rng = random.Random(seed + 3)
        endpoints = [
            Endpoint(
                number,
                record,
                fleet.operator_addresses,
                rng,
                ENGINE_SERVICE if number < size.engines else SERVICE,
            )
            for number in range(size.endpoints)
        ]
        injector = FaultInjector(fleet, endpoints, operator)
        injector.flood = Flood(
            fleet.operator_addresses, fleet.gateway_addresses, seed
        )
        stack.push_async_callback(injector.flood.close)
        await injector.flood.start()
        metrics = Metrics("soak", "soak")
        stack.callback(metrics.close)
        injector.client = InternalClient("", metrics)
        stack.push_async_callback(injector.client.close)
        for endpoint in endpoints:
            link = await stack.enter_async_context(relay_to(endpoint.listen))
            endpoint.address = link.address
            injector.endpoint_relays.append(link)
            await endpoint.start()
            stack.callback(endpoint.connections.close)
            stack.push_async_callback(endpoint.stop)
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(endpoint.send_heartbeats())
                for endpoint in endpoints
            ]
            background.append(tasks.create_task(_record_loop_lag(record)))
            background.append(tasks.create_task(fleet.supervise()))
            background.append(
                tasks.create_task(injector.flood.send_heartbeats())
            )
            background.append(tasks.create_task(keep_memory(fleet, record)))
            await _bootstrap(fleet, operator, probe_session)
            background.append(tasks.create_task(operator.read_repeatedly()))
            callers = Callers(
                record, [link.address for link in fleet.caller_relays], seed
            )
            injector.callers = callers
            calling = tasks.create_task(callers.run(size.callers))
            pressing = PressingClients(record, fleet, operator, endpoints, seed)
            tasks.create_task(pressing.run(size.pressing, size.control_hosts))
            balanced = BalancedClients(record, fleet, operator, seed)
            tasks.create_task(balanced.run(size.balanced))
            plan = make_plan(seed, seconds, size, stops_only)
            await _run_plan(plan, injector)
            loss = draw_power_loss(seed, size)
            if loss and not stops_only:
                await injector.lose_all_power(loss)
            record.faults_ended_at = time.monotonic()
            await asyncio.sleep(RECOVERY_SECONDS + OBSERVATION_SECONDS)
            record.final_version = await _read_final_version(operator)
            callers.stopped = operator.stopped = pressing.stopped = True
            balanced.stopped = True
            await calling
            for task in background:
                task.cancel()
    record.ended_at = time.monotonic()
    return record


async def _bootstrap(fleet: SoakFleet, operator: Operator, session) -> None:
    """Sends the first configuration and waits until all gateways serve it."""
    await operator.change()
    fleet.mark_bootstrapped()

    async def all_gateways_serve() -> bool:
        for link in fleet.caller_relays:
            headers = {"Host": "shop.example", "Request-Id": "probe"}
            url = f"http://{link.address}/plain/x"
            async with session.get(url, headers=headers) as response:
                if response.status != 200:
                    return False
        return True

    async def is_serving() -> bool:
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            return await all_gateways_serve()
        return False

    await wait_until(is_serving, "the fleet to serve", START_TIMEOUT_SECONDS)


async def _run_plan(plan: list[Fault], injector: FaultInjector) -> None:
    """Injects the faults of a plan at their times; they may overlap."""
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for fault in plan:
            wait = started_at + fault.at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.create_task(injector.inject(fault))


async def _read_final_version(operator: Operator) -> int:
    """Returns the version from the first host that returns one, else 0."""
    end = time.monotonic() + FINAL_READ_TIMEOUT_SECONDS
    while time.monotonic() < end:
        for host in range(len(operator.hosts)):
            version = await operator.read(host)
            if version is not None:
                return version
        await asyncio.sleep(0.2)
    return 0


async def _record_loop_lag(record: Record) -> None:
    """Records stalls of this process's own event loop."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(LAG_CHECK_INTERVAL_SECONDS)
        now = time.monotonic()
        due = before + LAG_CHECK_INTERVAL_SECONDS
        if now - due > MIN_STALL_SECONDS:
            record.stalls.append(Stall(started_at=due, ended_at=now))
        if now - before > LAG_THRESHOLD_SECONDS:
            record.fault_spans.append(
                FaultSpan(
                    target="soak",
                    kind="lag",
                    number=0,
                    started_at=before,
                    ended_at=now,
                )
            )
