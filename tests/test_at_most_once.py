"""A booking runs at most once, and "not run" is true."""

import asyncio
import itertools

import pytest
from callers import book, call

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until
from marjoramyard.standin.relay import relay_to


@pytest.fixture
async def shop(fleet, bundle):
    """Three control hosts, two entries, two booking services, one journal."""
    await start_small_fleet(fleet, bundle)
    options = ["--journal", str(fleet.folder / "journal")]
    for name in ("shop-1", "shop-2"):
        await fleet.add_endpoint(
            name, "plain", "shop", "--call-seconds", "0.3", *options
        )
    await fleet.wait_until_serving("shop-1", "shop-2")
    return fleet


def booked(fleet):
    """Returns the keys that were booked, as often as they were."""
    path = fleet.folder / "journal"
    return path.read_text().split() if path.exists() else []


async def until_booked(fleet, key):
    async def is_booked():
        return key in booked(fleet)

    await wait_until(is_booked, f"{key} to be booked")


async def test_resends_through_any_entry_get_the_first_answer(shop):
    """The caller loses the answer and sends the booking again elsewhere.

    While it runs a resend is told so; after, it gets the stored answer; and
    the same key with another body is an error.
    """
    first = asyncio.ensure_future(book(shop, "hold-1"))
    await until_booked(shop, "hold-1")
    during = await book(shop, "hold-1", "entry-2")
    assert (during.status, during.outcome) == (409, "unknown")
    assert "call_in_progress" in during.text
    assert "Retry-After" in during.headers
    answer = await first
    assert (answer.status, answer.outcome) == (201, "complete")
    again = await book(shop, "hold-1", "entry-2")
    assert (again.status, again.text) == (201, answer.text)
    assert again.headers["X-Marjoramyard-Replayed"] == "true"
    other = await book(shop, "hold-1", body={"boots": 43})
    assert other.status == 422
    assert booked(shop) == ["hold-1"]


async def test_an_entry_that_dies_after_dispatch_leaves_one_booking(shop):
    """The entry is killed while the booking runs; the caller resends."""
    first = asyncio.ensure_future(book(shop, "hold-2"))
    await until_booked(shop, "hold-2")
    await shop.children["entry-1"].kill()
    assert (await first).broken

    async def has_answer():
        return (await book(shop, "hold-2", "entry-2")).status == 201

    await wait_until(has_answer, "the stored answer")
    assert booked(shop) == ["hold-2"]


async def test_a_frozen_agent_that_thaws_books_nothing_twice(shop):
    """Both agents freeze; the entry gives the booking up, and says how.

    Whatever it says must still be true after the agents thaw: a booking
    told "not run" is not there, and a resend books it once.
    """
    agents = [shop.children[f"agent-shop-{n}"] for n in (1, 2)]
    for agent in agents:
        agent.suspend()
    answer = await book(shop, "hold-3", X_Request_Deadline_Seconds="4")
    assert answer.status >= 500
    assert answer.outcome in ("not-run", "unknown")
    if answer.outcome == "not-run":
        assert "hold-3" not in booked(shop)
    for agent in agents:
        agent.resume()

    async def settled():
        again = await book(shop, "hold-3", "entry-2")
        return again.status == 201

    await wait_until(settled, "the resend to be booked")
    assert booked(shop) == ["hold-3"]


async def test_bookings_while_control_leaders_are_killed(shop):
    """Leaders of the control hosts die while bookings stream in.

    Each caller resends until it is told an answer. Nothing is booked
    twice, nothing that was answered is missing.
    """
    stop = asyncio.Event()
    placed = []

    async def customer(number):
        count = 0
        while not stop.is_set():
            count += 1
            key = f"rush-{number}-{count}"
            tries = itertools.count()

            async def answered(key=key, tries=tries):
                answer = await book(shop, key, f"entry-{1 + next(tries) % 2}")
                if answer.outcome == "not-run":
                    assert key not in booked(shop)
                return answer.status == 201

            await wait_until(answered, f"{key} to be booked")
            placed.append(key)

    async def killer():
        for _ in range(2):
            leader = await leader_of(shop)
            await shop.children[leader].kill()
            goal = len(placed) + 12

            async def goes_on(goal=goal):
                return len(placed) >= goal

            await wait_until(goes_on, "bookings under another leader")
            await shop.restart(leader)
        stop.set()

    await asyncio.gather(*(customer(n) for n in range(6)), killer())
    assert sorted(booked(shop)) == sorted(placed)


async def leader_of(fleet):
    async def known():
        for row in await fleet.ctl_json("status"):
            if row["role"] == "leader":
                return row["name"]
        return None

    return await wait_until(known, "a leader")


async def test_without_a_quorum_bookings_are_refused_at_once(shop):
    """Two of three control hosts die; nothing can be committed.

    Bookings are refused before anything is sent, with when to come back,
    and stock look-ups go on until the lease ends. The entry can't tell a
    first try from a resend of a call that ran through another entry, so of
    the call under that key it says "unknown", never "not run".
    """
    for name in ("control-1", "control-2"):
        await shop.children[name].kill()
    stock = await call(shop, "GET", "/services/shop/stock/boots")
    assert stock.status == 200
    answer = await book(shop, "hold-5")
    assert (answer.status, answer.outcome) == (503, "unknown")
    assert "Retry-After" in answer.headers
    assert "hold-5" not in booked(shop)

    async def lease_ended():
        later = await call(shop, "GET", "/services/shop/stock/boots")
        return later.status == 503 and "no_bundle_lease" in later.text

    await wait_until(lease_ended, "the lease to end")
    for name in ("control-1", "control-2"):
        await shop.restart(name)
    for entry in shop.entries.values():
        await shop.wait_until_ready(entry)

    async def works_again():
        return (await book(shop, "hold-5")).status == 201

    await wait_until(works_again, "bookings to work again")
    assert booked(shop) == ["hold-5"]


async def test_an_agent_frozen_between_commit_and_send_is_no_second_booking(
    fleet, bundle
):
    """The agent has "started" committed and is frozen before it sends.

    The word of the control host is held on its way to make that moment
    long. The entry gives the booking up and can't say "not run", for the
    agent may send when it thaws. No resend books beside it.
    """
    await start_small_fleet(fleet, bundle, control=1)
    async with relay_to(fleet.control_hosts["control-1"]) as relay:
        await fleet.start_agent("shop-1", control_hosts=[relay.address])
        journal = ["--journal", str(fleet.folder / "journal")]
        await fleet.start_endpoint("shop-1", "plain", "shop", *journal)
        await fleet.wait_until_serving("shop-1")
        relay.replies_allowed.clear()
        late = asyncio.ensure_future(
            book(fleet, "hold-7", X_Request_Deadline_Seconds="3")
        )

        async def committed():
            return (await fleet.query("ledger") or {}).get("started") == 1

        await wait_until(committed, "the start to be committed")
        agent = fleet.children["agent-shop-1"]
        agent.suspend()
        relay.replies_allowed.set()
        answer = await late
        assert answer.outcome == "unknown"
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
