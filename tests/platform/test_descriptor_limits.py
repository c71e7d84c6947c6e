"""Processes with fewer file descriptors than their settings say."""

import asyncio
import contextlib
import resource
import subprocess
from pathlib import Path

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until

ROLES = (CONTROL, GATEWAY)
SOFT_LIMIT = 256
HARD_LIMIT = 600
CALLERS = 900
BATCH = 20
PAUSE_SECONDS = 0.05
EXHAUSTED = "out of system resource"


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


def set_limits():
    resource.setrlimit(resource.RLIMIT_NOFILE, (SOFT_LIMIT, HARD_LIMIT))


@contextlib.asynccontextmanager
async def running(fleet, role, log):
    """Starts a process with limits on its descriptors."""
    host = fleet.hosts[0]
    with log.open("wb") as output:
        process = fleet.popen(
            host,
            role,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            preexec_fn=set_limits,
        )

    async def is_alive():
        assert process.poll() is None
        return await fleet.is_alive(host, role)

    try:
        await wait_until(is_alive)
        yield process
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("role", ROLES)
async def test_a_process_uses_all_descriptors_that_it_may(
    fleet, role, tmp_path
):
    """Guards against a process that runs out of descriptors at the usual soft
    limit, far below what its settings say.
    """
    async with running(fleet, role, tmp_path / "log") as process:
        limits = Path(f"/proc/{process.pid}/limits").read_text()
        line = next(x for x in limits.splitlines() if "open files" in x)
        assert line.split()[3:5] == [str(HARD_LIMIT)] * 2


async def test_callers_don_t_take_the_last_descriptors(fleet, tmp_path):
    """Guards against a gateway that accepts more callers than it has
    descriptors, and can then reach no endpoint or control host.
    """
    host = fleet.hosts[0]
    log = tmp_path / "log"
    async with running(fleet, GATEWAY, log):
        callers = []
        for _ in range(CALLERS // BATCH):
            callers += await asyncio.gather(
                *(
                    asyncio.open_connection(host.ip, fleet.ports.frontend)
                    for _ in range(BATCH)
                )
            )
            await asyncio.sleep(PAUSE_SECONDS)
        url = f"http://{host.ip}:{fleet.ports.frontend}/"
        async with fleet.session.get(url) as response:
            assert response.status == 503
        for _, writer in callers:
            writer.close()
    assert EXHAUSTED not in log.read_text(encoding="utf-8")
