"""Processes whose addresses or data another process holds for a time."""

import asyncio
import contextlib
import fcntl
import json
import socket

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until
from test_deployed_fleet import CONFIG

ROLES = (CONTROL, GATEWAY)
METRICS_PORTS = {CONTROL: 9465, GATEWAY: 9464}
EXIT_SECONDS = 15.0


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


@contextlib.contextmanager
def held(ip, port):
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((ip, port))
        holder.listen()
        yield


def events(child):
    """Returns the events that a process has logged; messages are left out."""
    lines = child.log.read_text(encoding="utf-8").splitlines()
    return [json.loads(line)["event"] for line in lines if line[0] == "{"]


async def wait_for_event(child, name):
    async def is_logged():
        assert child.is_running, child.log.read_text(encoding="utf-8")
        return name in events(child)

    await wait_until(is_logged)


def internal_port(fleet, role):
    return fleet.ports.first if role == CONTROL else fleet.ports.last


@pytest.mark.parametrize("role", ROLES)
async def test_a_process_waits_for_an_address_that_is_held(fleet, role):
    """Guards against a process that doesn't start while the one before it, or
    an outgoing connection, still holds one of its ports.
    """
    host = fleet.hosts[0]
    with held(host.ip, internal_port(fleet, role)):
        child = await fleet.start(host, role)
        await wait_for_event(child, "address_held")
    await wait_for_event(child, "started")
    assert await fleet.is_alive(host, role)
    assert await child.terminate() == 0


@pytest.mark.parametrize("role", ROLES)
async def test_a_process_that_waits_for_an_address_stops(fleet, role):
    """Guards against a process that is killed, or that fails, as it waits for
    an address.
    """
    host = fleet.hosts[0]
    with held(host.ip, internal_port(fleet, role)):
        child = await fleet.start(host, role)
        await wait_for_event(child, "address_held")
        assert await child.terminate(EXIT_SECONDS) == 0


@pytest.mark.parametrize("role", ROLES)
async def test_a_held_address_for_metrics_holds_up_nothing(fleet, role):
    """Guards against a process that doesn't start as another program listens
    at its port for metrics.
    """
    host = fleet.hosts[0]
    with held(host.ip, METRICS_PORTS[role]):
        child = await fleet.start(host, role)
        await wait_for_event(child, "started")
        await wait_for_event(child, "address_held")
    await wait_for_event(child, "address_bound")
    url = f"http://{host.ip}:{METRICS_PORTS[role]}/metrics"
    async with fleet.session.get(url) as response:
        assert "bind_failures" in await response.text()
    assert await child.terminate() == 0


@pytest.mark.parametrize("role", ROLES)
async def test_a_process_that_stops_does_not_wait_for_its_metrics(fleet, role):
    """Guards against a stop that waits for an address for metrics."""
    host = fleet.hosts[0]
    with held(host.ip, METRICS_PORTS[role]):
        child = await fleet.start(host, role)
        await wait_for_event(child, "started")
        async with asyncio.timeout(EXIT_SECONDS):
            assert await child.terminate() == 0


async def test_a_control_host_waits_for_its_data(fleet):
    """Guards against a control host that doesn't start while the process
    before it still has its data folder.
    """
    host = fleet.hosts[0]
    host.data_folder.mkdir()
    with (host.data_folder / "lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        child = await fleet.start(host, CONTROL)
        await wait_for_event(child, "data_folder_locked")
    await wait_for_event(child, "started")
    assert await child.terminate() == 0


async def test_a_control_host_that_waits_for_its_data_stops(fleet):
    """Guards against a stop that fails as the process waits for its data."""
    host = fleet.hosts[0]
    host.data_folder.mkdir()
    with (host.data_folder / "lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        child = await fleet.start(host, CONTROL)
        await wait_for_event(child, "data_folder_locked")
        assert await child.terminate(EXIT_SECONDS) == 0


async def test_a_gateway_that_waits_for_an_address_is_unknown(tmp_path):
    """Guards against gateways that others call at an address which the process
    before still holds.
    """
    async with deployed_fleet(tmp_path, [1, 1, 1], 1) as fleet:
        first, *others = fleet.hosts
        with held(first.ip, internal_port(fleet, GATEWAY)):
            waiting = await fleet.start(first, GATEWAY)
            await wait_for_event(waiting, "address_held")
            for host in fleet.hosts:
                await fleet.start(host, CONTROL)

            async def config_is_accepted():
                return await fleet.put_config(CONFIG) == 200

            await wait_until(config_is_accepted)
            for host in others:
                await fleet.start(host, GATEWAY)
            for host in others:
                await wait_for_event(host.children[GATEWAY], "config_in_force")
            assert "config_in_force" not in events(waiting)
        await wait_for_event(waiting, "config_in_force")


async def test_a_deployment_is_started_again_while_it_stops(fleet):
    """Guards against processes that don't start again since those before them
    have not ended.
    """
    host = fleet.hosts[0]
    for role in ROLES:
        await fleet.start(host, role)
    former = [host.children[role] for role in ROLES]
    for child in former:
        await wait_for_event(child, "started")
    for child in former:
        child.suspend()
    for role in ROLES:
        await fleet.start(host, role)
    await wait_for_event(host.children[CONTROL], "data_folder_locked")
    for child in former:
        child.resume()
        assert await child.terminate() == 0
    for role in ROLES:
        await wait_until_alive(fleet, host, role)


async def wait_until_alive(fleet, host, role):
    async def is_alive():
        assert host.children[role].is_running
        return await fleet.is_alive(host, role)

    await wait_until(is_alive)
