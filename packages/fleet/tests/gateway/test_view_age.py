"""How a gateway holds requests after it was suspended."""

import asyncio

import pytest

from marjoramyard.fleet.gateway import view_age
from marjoramyard.fleet.gateway.view_age import PAUSE_SECONDS, ViewAge
from marjoramyard.kernel.util.clocks import seconds_since_boot

LONG_SECONDS = PAUSE_SECONDS + 1.0


@pytest.fixture
def age():
    age = ViewAge()
    age.on_heard(seconds_since_boot())
    return age


def test_the_first_moment_after_a_pause_counts(age):
    """Guards against requests that are handled before the wake-up is."""
    age.late_seconds = lambda: LONG_SECONDS
    assert age.is_outdated()


def test_short_delays_do_not_count(age):
    """Guards against holding requests on a busy host."""
    age.on_wake_up(PAUSE_SECONDS / 2)
    assert not age.is_outdated()


def test_what_was_asked_for_before_the_pause_is_no_news(age):
    """Guards against a reply from within the pause that ends the hold."""
    asked_at = seconds_since_boot()
    age.on_wake_up(LONG_SECONDS)
    age.on_heard(asked_at)
    assert age.is_outdated()
    age.on_heard(seconds_since_boot())
    assert not age.is_outdated()


async def test_without_control_hosts_the_hold_ends(age, monkeypatch):
    """Guards against requests held for as long as no control host replies."""
    monkeypatch.setattr(view_age, "HOLD_SECONDS", 0.05)
    age.on_wake_up(LONG_SECONDS)
    async with asyncio.timeout(5.0):
        await age.hold()


async def test_all_held_requests_go_on_with_the_news(age):
    """Guards against requests that are held although the news has come."""
    age.on_wake_up(LONG_SECONDS)
    held = [asyncio.create_task(age.hold()) for _ in range(3)]
    await asyncio.sleep(0)
    age.on_heard(seconds_since_boot())
    _, pending = await asyncio.wait(held, timeout=view_age.HOLD_SECONDS / 2)
    assert not pending
