"""Bookings run at most once, and the outcome "not-run" is reliable."""

import asyncio
import itertools

import pytest
from callers import book, call

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until
from marjoramyard.standin.relay import relay_to


@pytest.fixture
async def shop(fleet, bundle):
    """A fleet with two booking services that share a journal."""
    await start_small_fleet(fleet, bundle)
    options = ["--journal", str(fleet.folder / "journal")]
    for name in ("shop-1", "shop-2"):
        await fleet.add_endpoint(
            name, "plain", "shop", "--call-seconds", "0.3", *options
        )
    await fleet.wait_until_serving("shop-1", "shop-2")
    return fleet


def booked(fleet):
    """Returns the keys of all bookings, including duplicates."""
    path = fleet.folder / "journal"
    return path.read_text().split() if path.exists() else []


async def wait_until_booked(fleet, key):
    async def is_booked():
        return key in booked(fleet)

    await wait_until(is_booked, f"{key} to be booked")


async def test_retries_through_any_entry_get_the_first_response(shop):
    """A retry gets 409 while the booking runs and the stored response later.

    The same key with another body is an error.
    """
    first = asyncio.ensure_future(book(shop, "hold-1"))
    await wait_until_booked(shop, "hold-1")
    during = await book(shop, "hold-1", "entry-2")
    assert (during.status, during.outcome) == (409, "unknown")
    assert "call_in_progress" in during.text
    assert "Retry-After" in during.headers
    response = await first
    assert (response.status, response.outcome) == (201, "complete")
    again = await book(shop, "hold-1", "entry-2")
    assert (again.status, again.text) == (201, response.text)
    assert again.headers["X-Marjoramyard-Replayed"] == "true"
    other = await book(shop, "hold-1", body={"boots": 43})
    assert other.status == 422
    assert booked(shop) == ["hold-1"]


async def test_an_entry_killed_after_dispatch_leaves_one_booking(shop):
    """The entry is killed while the booking runs and the caller retries."""
    first = asyncio.ensure_future(book(shop, "hold-2"))
    await wait_until_booked(shop, "hold-2")
    await shop.children["entry-1"].kill()
    assert (await first).is_truncated

    async def is_stored():
        return (await book(shop, "hold-2", "entry-2")).status == 201

    await wait_until(is_stored, "the stored response")
    assert booked(shop) == ["hold-2"]


async def test_a_resumed_agent_books_nothing_twice(shop):
    """Both agents are suspended until the entry's deadline has passed.

    The outcome it reports must still hold after the agents resume, and a
    retry must not book twice.
    """
    agents = [shop.children[f"agent-shop-{n}"] for n in (1, 2)]
    for agent in agents:
        agent.suspend()
    response = await book(shop, "hold-3", X_Request_Deadline_Seconds="4")
    assert response.status >= 500
    assert response.outcome in ("not-run", "unknown")
    if response.outcome == "not-run":
        assert "hold-3" not in booked(shop)
    for agent in agents:
        agent.resume()

    async def retry_succeeds():
        again = await book(shop, "hold-3", "entry-2")
        return again.status == 201

    await wait_until(retry_succeeds, "the retry to be booked")
    assert booked(shop) == ["hold-3"]


async def test_bookings_while_control_leaders_are_killed(shop):
    """Leader failures must neither duplicate nor lose bookings.

    Each caller retries until its booking is confirmed.
    """
    stop = asyncio.Event()
    confirmed = []

    async def customer(number):
        count = 0
        while not stop.is_set():
            count += 1
            key = f"hold-{number}-{count}"
            tries = itertools.count()

            async def is_confirmed(key=key, tries=tries):
                response = await book(shop, key, f"entry-{1 + next(tries) % 2}")
                if response.outcome == "not-run":
                    assert key not in booked(shop)
                return response.status == 201

            await wait_until(is_confirmed, f"{key} to be confirmed")
            confirmed.append(key)

    async def killer():
        for _ in range(2):
            leader = await leader_of(shop)
            await shop.children[leader].kill()
            goal = len(confirmed) + 12

            async def progressed(goal=goal):
                return len(confirmed) >= goal

            await wait_until(progressed, "bookings under another leader")
            await shop.restart(leader)
        stop.set()

    await asyncio.gather(*(customer(n) for n in range(6)), killer())
    assert sorted(booked(shop)) == sorted(confirmed)


async def leader_of(fleet):
    async def current_leader():
        for row in await fleet.ctl_json("status"):
            if row["role"] == "leader":
                return row["name"]
        return None

    return await wait_until(current_leader, "a leader")


async def test_without_a_quorum_bookings_are_refused_at_once(shop):
    """Without a quorum nothing can be committed, so no booking may be sent.

    The outcome is "unknown", as an earlier try may have run through another
    entry. Repeatable requests are served until the bundle lease ends.
    """
    for name in ("control-1", "control-2"):
        await shop.children[name].kill()
    stock = await call(shop, "GET", "/services/shop/stock/boots")
    assert stock.status == 200
    response = await book(shop, "hold-5")
    assert (response.status, response.outcome) == (503, "unknown")
    assert "Retry-After" in response.headers
    assert "hold-5" not in booked(shop)

    async def lease_ended():
        later = await call(shop, "GET", "/services/shop/stock/boots")
        return later.status == 503 and "no_bundle_lease" in later.text

    await wait_until(lease_ended, "the lease to end")
    for name in ("control-1", "control-2"):
        await shop.restart(name)
    for entry in shop.entries.values():
        await shop.wait_until_ready(entry)

    async def booking_succeeds():
        return (await book(shop, "hold-5")).status == 201

    await wait_until(booking_succeeds, "bookings to work again")
    assert booked(shop) == ["hold-5"]


async def test_an_agent_suspended_between_commit_and_send_books_at_most_once(
    fleet, bundle
):
    """The agent is suspended after the start is committed, before it sends.

    The reply of the control host is held back to widen that window. As the
    agent may still send later, the outcome must be "unknown" and a retry
    must not book again.
    """
    await start_small_fleet(fleet, bundle, control=1)
    async with relay_to(fleet.control_hosts["control-1"]) as relay:
        await fleet.start_agent("shop-1", control_hosts=[relay.address])
        journal = ["--journal", str(fleet.folder / "journal")]
        await fleet.start_endpoint("shop-1", "plain", "shop", *journal)
        await fleet.wait_until_serving("shop-1")
        relay.replies_allowed.clear()
        pending = asyncio.ensure_future(
            book(fleet, "hold-7", X_Request_Deadline_Seconds="3")
        )

        async def committed():
            return (await fleet.query("ledger") or {}).get("started") == 1

        await wait_until(committed, "the start to be committed")
        agent = fleet.children["agent-shop-1"]
        agent.suspend()
        relay.replies_allowed.set()
        response = await pending
        assert response.outcome == "unknown"
        assert booked(fleet) == []
        agent.resume()
        for entry in ("entry-1", "entry-2"):
            again = await book(fleet, "hold-7", entry)
            assert again.status in (201, 409)
            assert again.outcome in ("complete", "unknown")
        other = await book(fleet, "hold-8")
        assert other.status == 201
    assert booked(fleet).count("hold-7") <= 1
    assert booked(fleet).count("hold-8") == 1
