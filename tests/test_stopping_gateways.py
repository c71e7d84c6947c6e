"""Stops of a gateway on which callers press lose no request."""

import asyncio
import contextlib
import os
import random
import signal
import time

import pytest
import yaml
from aiohttp import web
from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)
from pressing_callers import PressingCallers, Stop, describe
from raw_connections import End

from marjoramyard.fleet.application import EXIT_MARGIN_SECONDS

GRACE_SECONDS = 8.0
DRAIN_SECONDS = GRACE_SECONDS - EXIT_MARGIN_SECONDS
HEARTBEAT_SECONDS = 0.5
STOPS = int(os.environ.get("GATEWAY_STOPS", "2"))
"""Stops in series; set a larger number for a long run by hand."""
SEED = int(os.environ.get("GATEWAY_STOPS_SEED", "62"))
LONG_TIMEOUT_MS = 20_000


@pytest.fixture
async def fleet(tmp_path):
    async with gateway_fleet(tmp_path, forwarding_port_offset=1) as running:
        long = route("long", "/long/", timeout_ms=LONG_TIMEOUT_MS)
        await running.put_config(config(2, long))
        yield running


@pytest.fixture
async def endpoints(fleet):
    """Endpoints that take 0.02 to 0.9 s for a request.

    Those to `/long/` take the seconds at the end of the path.
    """
    found = [FakeEndpoint(f"i-{number}") for number in range(2)]
    rng = random.Random(SEED)

    async def heartbeats():
        while True:
            for host, endpoint in enumerate(found):
                await fleet.send_heartbeat(endpoint, host=host)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async with contextlib.AsyncExitStack() as stack:
        for endpoint in found:
            endpoint.respond = respond_slowly(endpoint, rng)
            await stack.enter_async_context(endpoint.running())
        task = asyncio.create_task(heartbeats())
        await wait_until(lambda: is_serving(fleet))
        yield found
        task.cancel()


async def is_serving(fleet):
    return await fleet.is_serving() and await fleet.is_serving("/long/0.1")


def respond_slowly(endpoint, rng):
    """Returns a handler of requests that takes its time."""

    async def respond(request):
        seconds = rng.uniform(0.02, 0.9)
        if request.path.startswith("/long/"):
            seconds = float(request.path.removeprefix("/long/"))
        await asyncio.sleep(seconds)
        headers = endpoint.response_headers(request)
        return web.Response(text="done", headers=headers)

    return respond


async def stop_gateway(fleet, *more_signals_after):
    """Stops the gateway with SIGTERM.

    Args:
        fleet: The fleet.
        more_signals_after: Seconds between further signals.

    Returns:
        When and how it exited.
    """
    gateway = fleet.children["gateway"]
    signalled_at = time.monotonic()
    for seconds in more_signals_after:
        gateway.signal(signal.SIGTERM)
        await asyncio.sleep(seconds)
    try:
        code = await gateway.terminate()
    except TimeoutError:
        await gateway.kill()
        code = None
    return Stop(signalled_at, time.monotonic(), code)


async def stop_in_series(fleet, rng, draw_signals=lambda: ()):
    """Stops the gateway several times and starts it again after each."""
    stops = []
    for _ in range(STOPS):
        await asyncio.sleep(rng.uniform(0.2, 0.6))
        stops.append(await stop_gateway(fleet, *draw_signals()))
        await asyncio.sleep(rng.uniform(0.1, 0.8))
        await fleet.start("gateway")
        await wait_until(fleet.is_serving)
    return stops


@contextlib.contextmanager
def process_handle(pid):
    """Yields a descriptor to signal a process by; signals don't reap it."""
    handle = os.pidfd_open(pid)
    try:
        yield handle
    finally:
        os.close(handle)


@contextlib.asynccontextmanager
async def processor_in_turns(fleet, rng):
    """Suspends the gateway about half of the time."""

    async def take_turns():
        while True:
            gateway = fleet.children["gateway"]
            with contextlib.suppress(ProcessLookupError):
                with process_handle(gateway.pid) as handle:
                    signal.pidfd_send_signal(handle, signal.SIGSTOP)
                    await asyncio.sleep(0.1)
                    signal.pidfd_send_signal(handle, signal.SIGCONT)
            await asyncio.sleep(rng.uniform(0.05, 0.15))

    task = asyncio.create_task(take_turns())
    try:
        yield
    finally:
        task.cancel()
        fleet.children["gateway"].resume()


def failures(callers, endpoints, stops):
    """Returns a line on each request that was lost or broken off."""
    run = {each for one in endpoints for each, _, _ in one.requests}
    failed = [
        exchange
        for exchange in callers.exchanges
        if exchange.is_lost(exchange.id in run) or exchange.is_broken_off
    ]
    if not failed:
        return []
    by_stop = [
        sum(stop.signalled_at <= one.sent_at < stop.exited_at for one in failed)
        for stop in stops
    ]
    total = len(callers.exchanges)
    lines = [describe(one, one.id in run, stops) for one in failed]
    return [f"lost {len(failed)} of {total}, {by_stop} in stops", *lines]


def late_stops(stops):
    """Returns a line on each stop that failed or took too long."""
    return [
        f"exit code {stop.exit_code} after {stop.seconds:.2f} s"
        for stop in stops
        if stop.exit_code != 0 or stop.seconds > GRACE_SECONDS
    ]


def assert_nothing_lost(callers, endpoints, stops):
    """Asserts that all stops were clean and lost no request."""
    found = late_stops(stops) + failures(callers, endpoints, stops)
    assert not found, "\n".join(found)


async def test_callers_that_press_on_while_a_gateway_stops_lose_nothing(
    fleet, endpoints
):
    """Guards against requests that a stopping gateway reads and drops."""
    callers = PressingCallers(fleet.listen_address, SEED)
    async with callers.running(
        (callers.press, 36), (callers.press_at_once, 12)
    ):
        stops = await stop_in_series(fleet, random.Random(SEED))
    assert_nothing_lost(callers, endpoints, stops)


async def test_a_gateway_that_gets_its_processor_in_turns_loses_nothing(
    fleet, endpoints
):
    """Guards against requests that are dropped because the event loop of a
    stopping gateway is late."""
    rng = random.Random(SEED)
    callers = PressingCallers(fleet.listen_address, SEED)
    async with processor_in_turns(fleet, rng):
        async with callers.running((callers.press, 36)):
            stops = await stop_in_series(fleet, rng)
    assert_nothing_lost(callers, endpoints, stops)


async def test_connections_opened_as_a_drain_ends_by_quiet_are_not_dropped(
    fleet, endpoints
):
    """Guards against requests on connections that are accepted in the moment
    in which a drain without further requests ends."""
    rng = random.Random(SEED)
    callers = PressingCallers(fleet.listen_address, SEED)
    stops = []
    for number in range(STOPS):
        callers.path = f"/long/{rng.uniform(3.0, 4.5):.2f}"
        callers.deadline_ms = 6000
        in_hand = [
            asyncio.create_task(callers.send_once(f"in-hand-{number}-{each}"))
            for each in range(3)
        ]
        await asyncio.sleep(rng.uniform(0.1, 0.3))
        stopping = asyncio.create_task(stop_gateway(fleet))
        answered = await asyncio.gather(*in_hand)
        async with callers.running((callers.open_until_refused, 16)):
            pass
        stops.append(await stopping)
        assert [one.status for one in answered] == [200] * 3
        await fleet.start("gateway")
        await wait_until(lambda: is_serving(fleet))
    assert_nothing_lost(callers, endpoints, stops)


async def test_requests_that_wait_for_a_late_loop_as_a_drain_ends_are_answered(
    fleet, endpoints
):
    """Guards against requests that are dropped because a late event loop
    accepts them in the moment in which the drain ends by its time."""
    rng = random.Random(SEED)
    callers = PressingCallers(fleet.listen_address, SEED)
    gateway = fleet.children["gateway"]
    # A request that outlasts the drain makes it end by its time.
    lasting = PressingCallers(
        fleet.listen_address, SEED, "/long/9.0", LONG_TIMEOUT_MS
    )
    async with callers.running((callers.press, 2)):
        in_hand = asyncio.create_task(lasting.send_once("lasting"))

        async def is_running():
            run = [each for one in endpoints for each, _, _ in one.requests]
            return "lasting" in run

        await wait_until(is_running)
        stopping = asyncio.create_task(stop_gateway(fleet))
        await asyncio.sleep(DRAIN_SECONDS - rng.uniform(0.15, 0.25))
        with process_handle(gateway.pid) as handle:
            signal.pidfd_send_signal(handle, signal.SIGSTOP)
            waiting = [
                asyncio.create_task(callers.send_once(f"waiting-{number}"))
                for number in range(40)
            ]
            await asyncio.sleep(rng.uniform(0.3, 0.4))
            signal.pidfd_send_signal(handle, signal.SIGCONT)
        await asyncio.gather(*waiting, in_hand)
        stop = await stopping
    assert stop.exit_code == 0
    lost = failures(callers, endpoints, [stop])
    assert not lost, "\n".join(lost)


async def test_requests_that_outlast_a_drain_end_visibly(fleet, endpoints):
    """Guards against requests that are left without an end, or take others
    with them, as a drain ends by its time."""
    rng = random.Random(SEED)
    plain = PressingCallers(fleet.listen_address, SEED)
    lasting = PressingCallers(
        fleet.listen_address, SEED, deadline_ms=LONG_TIMEOUT_MS
    )
    stops, in_hand = [], []
    async with plain.running((plain.press, 36), (plain.press_at_once, 8)):
        for number in range(STOPS):
            tasks = []
            for each in range(12):
                lasting.path = f"/long/{rng.uniform(6.0, 9.0):.2f}"
                name = f"lasting-{number}-{each}"
                tasks.append(asyncio.create_task(lasting.send_once(name)))
                await asyncio.sleep(rng.uniform(0.0, 0.03))
            stops.append(await stop_gateway(fleet))
            in_hand += await asyncio.gather(*tasks)
            await fleet.start("gateway")
            await wait_until(lambda: is_serving(fleet))
    for one in in_hand:
        assert one.is_complete or one.end is not End.NONE, one
    assert_nothing_lost(plain, endpoints, stops)


async def test_a_second_sigterm_during_a_drain_loses_nothing(fleet, endpoints):
    """Guards against a second signal that cuts a drain short."""
    rng = random.Random(SEED)
    callers = PressingCallers(fleet.listen_address, SEED)
    async with callers.running((callers.press, 36), (callers.press_at_once, 8)):
        stops = await stop_in_series(
            fleet, rng, lambda: (rng.uniform(0.0, 0.1), rng.uniform(0.0, 4.0))
        )
    assert_nothing_lost(callers, endpoints, stops)


async def test_sigterm_right_after_a_start_loses_nothing(fleet, endpoints):
    """Guards against requests that a process without configuration, which is
    to stop at once, reads and drops."""
    rng = random.Random(SEED)
    callers = PressingCallers(fleet.listen_address, SEED)
    log = fleet.children["gateway"].log
    stops = []
    await stop_gateway(fleet)
    async with callers.running((callers.press, 36), (callers.press_at_once, 8)):
        for number in range(2 * STOPS):
            size = log.stat().st_size
            await fleet.start("gateway")
            if number % 2:
                await wait_until(lambda: accepts_connections(fleet))
            await asyncio.sleep(rng.uniform(0.0, 0.4))
            stop = await stop_gateway(fleet)
            has_begun = log.stat().st_size > size
            if stop.exit_code == -signal.SIGTERM and not has_begun:
                # The interpreter was still loading and listened nowhere.
                stop.exit_code = 0
            stops.append(stop)
    assert_nothing_lost(callers, endpoints, stops)


async def accepts_connections(fleet):
    host, port = fleet.listen_address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.close()
    return True


async def test_requests_that_arrive_in_pieces_are_answered(fleet, endpoints):
    """Guards against requests that a stopping gateway has begun to read, and
    whose rest it drops."""
    callers = PressingCallers(fleet.listen_address, SEED)
    async with callers.running(
        (callers.press_large, 12), (callers.press_in_parts, 48)
    ):
        stops = await stop_in_series(fleet, random.Random(SEED))
    assert_nothing_lost(callers, endpoints, stops)


async def test_requests_on_the_forwarding_address_are_answered(
    fleet, endpoints
):
    """Guards against requests of other gateways that a stopping one drops."""
    settings = yaml.safe_load((fleet.folder / "gateway.yaml").read_text())
    host, port = settings["internal"].split(":")
    callers = PressingCallers(f"{host}:{int(port) + 1}", SEED)
    async with callers.running(
        (callers.press, 24), (callers.press_at_once, 24)
    ):
        stops = await stop_in_series(fleet, random.Random(SEED))
    assert_nothing_lost(callers, endpoints, stops)
