"""Processes that start while their settings are being written."""

import pytest
from deployed_fleet import CONTROL, GATEWAY, deployed_fleet
from gateway_fleet import wait_until

ROLES = (CONTROL, GATEWAY)
EXIT_INVALID_SETTINGS = 2
EXIT_SECONDS = 15.0
PARTS = {"missing": None, "empty": 0.0, "a part": 0.3}
"""The share of the file that is written at the start."""


@pytest.fixture
async def fleet(tmp_path):
    async with deployed_fleet(tmp_path, [1], 1) as started:
        yield started


@pytest.mark.parametrize("role", ROLES)
@pytest.mark.parametrize("share", PARTS.values(), ids=PARTS)
async def test_a_process_waits_until_its_settings_are_written(
    fleet, role, share
):
    """Guards against a process that ends as it starts while its settings are
    being rewritten.
    """
    host = fleet.hosts[0]
    text = fleet.settings_text(host, role)
    path = fleet.settings_path(host, role)
    if share is not None:
        path.write_text(text[: int(share * len(text))])
    child = await fleet.start(host, role, has_settings=False)

    async def has_read_it():
        assert child.is_running
        return path.name in child.log.read_text(encoding="utf-8")

    await wait_until(has_read_it)
    path.write_text(text)

    async def is_alive():
        assert child.is_running, child.log.read_text(encoding="utf-8")
        return await fleet.is_alive(host, role)

    await wait_until(is_alive)
    assert await child.terminate() == 0


async def test_a_process_without_settings_ends_with_a_reason(fleet):
    """Guards against a process that waits for its settings for ever."""
    host = fleet.hosts[0]
    child = await fleet.start(host, CONTROL, has_settings=False)

    async def has_ended():
        return not child.is_running

    await wait_until(has_ended, EXIT_SECONDS)
    assert child.process.returncode == EXIT_INVALID_SETTINGS
    assert "can't be read" in child.log.read_text(encoding="utf-8")
