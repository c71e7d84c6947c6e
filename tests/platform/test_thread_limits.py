"""Processes whose limits allow them no further thread."""

import asyncio
import resource
import subprocess

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until

ROLES = (CONTROL, GATEWAY)
METRICS_PORTS = {CONTROL: 9465, GATEWAY: 9464}
EXIT_SECONDS = 15.0
ADDRESS_SPACE_BYTES = 1 << 30
STACK_BYTES = 2 << 30
"""Of each new thread: more than the address space allows."""


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


def allow_no_thread():
    resource.setrlimit(
        resource.RLIMIT_STACK, (STACK_BYTES, resource.RLIM_INFINITY)
    )
    resource.setrlimit(
        resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES, ADDRESS_SPACE_BYTES)
    )


@pytest.mark.parametrize("role", ROLES)
async def test_metrics_are_served_without_a_thread(fleet, role):
    """Guards against metrics that can't be read, and whose values collect in
    memory until the process is killed, as no thread can be started.
    """
    host = fleet.hosts[0]
    child = fleet.popen(
        *(host, role),
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        preexec_fn=allow_no_thread,
    )
    try:

        async def is_alive():
            assert child.poll() is None
            return await fleet.is_alive(host, role)

        await wait_until(is_alive)
        url = f"http://{host.ip}:{METRICS_PORTS[role]}/metrics"
        async with fleet.session.get(url) as response:
            assert response.status == 200
            assert "marjoramyard" in await response.text()
        child.terminate()
        assert await asyncio.to_thread(child.wait, EXIT_SECONDS) == 0
    finally:
        child.kill()
        child.wait()
