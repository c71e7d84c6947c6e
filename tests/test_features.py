"""Scenarios from the point of view of the users."""

import asyncio

import pytest
from callers import book, chat
from pytest_bdd import given, parsers, scenarios, then, when

from marjoramyard.standin.local_fleet import (
    local_fleet,
    start_small_fleet,
    wait_until,
)

scenarios("features/bookings_and_fairness.feature")


class Scenario:
    """Runs the asynchronous steps of a scenario on one event loop."""

    def __init__(self, folder, bundle):
        self.loop = asyncio.new_event_loop()
        self.context = local_fleet(folder)
        self.fleet = self.run(self.context.__aenter__())
        self.bundle = bundle
        self.responses = {}
        self.finished = []

    def run(self, work):
        return self.loop.run_until_complete(work)

    def close(self):
        self.run(self.context.__aexit__(None, None, None))
        self.loop.close()

    async def finish(self, workspace, number):
        response = await chat(
            self.fleet,
            f"entry-{1 + number % 2}",
            workspace,
            content=f"{workspace} {number}",
            max_tokens=5,
        )
        self.finished.append(workspace)
        return response


@pytest.fixture
def scenario(tmp_path, bundle):
    running = Scenario(tmp_path / "fleet", bundle)
    yield running
    running.close()


@given("a fleet with a booking service and two entries")
def shop_fleet(scenario):
    async def start():
        fleet = scenario.fleet
        await start_small_fleet(fleet, scenario.bundle, control=1)
        await fleet.add_endpoint(
            "shop-1", "plain", "shop", "--call-seconds", "0.5"
        )
        await fleet.wait_until_serving("shop-1")

    scenario.run(start())


@given("a fleet with one chat engine and two entries")
def chat_fleet(scenario):
    async def start():
        fleet = scenario.fleet
        await start_small_fleet(fleet, scenario.bundle, control=1)
        await fleet.add_endpoint("chat-1", "engine", "chat", "--slots", "2")
        await fleet.wait_until_serving("chat-1")

    scenario.run(start())


@when(parsers.parse('the counter places hold "{key}" through the first entry'))
def place_hold(scenario, key):
    scenario.pending_hold = scenario.loop.create_task(book(scenario.fleet, key))

    async def is_booked():
        return key in (await scenario.fleet.counters("shop-1"))["bookings"]

    scenario.run(wait_until(is_booked, "the hold to be placed"))


@when("the first entry is killed before it responds")
def kill_entry(scenario):
    scenario.run(scenario.fleet.children["entry-1"].kill())
    assert scenario.run(scenario.pending_hold).is_truncated


@when(
    parsers.parse(
        'the counter places hold "{key}" again through the second entry'
    )
)
def retry_hold(scenario, key):
    async def is_confirmed():
        response = await book(scenario.fleet, key, "entry-2")
        return response if response.status == 201 else None

    scenario.responses["hold"] = scenario.run(
        wait_until(is_confirmed, "the response")
    )


@then("the counter gets the response of the first hold")
def first_response(scenario):
    assert '"booking": 1' in scenario.responses["hold"].text


@then(parsers.parse('the booking service has hold "{key}" once'))
def booked_once(scenario, key):
    counters = scenario.run(scenario.fleet.counters("shop-1"))
    assert counters["bookings"] == [key]


@when(parsers.parse("the guides workspace sends {count:d} requests at once"))
def send_burst(scenario, count):
    scenario.burst = [
        scenario.loop.create_task(scenario.finish("guides", n))
        for n in range(count)
    ]

    async def engine_is_full():
        counters = await scenario.fleet.counters("chat-1")
        return counters["running"] == 2

    scenario.run(wait_until(engine_is_full, "the burst to fill the engine"))


@when(parsers.parse("the counter sends {count:d} requests after them"))
def send_counter_requests(scenario, count):
    scenario.counter_requests = [
        scenario.loop.create_task(scenario.finish("counter", n))
        for n in range(count)
    ]


@then("the counter is served before half of the guides")
def served_early(scenario):
    scenario.run(asyncio.gather(*scenario.counter_requests))
    assert scenario.finished.count("guides") < len(scenario.burst) // 2


@then("every request gets a complete response")
def all_complete(scenario):
    responses = scenario.run(
        asyncio.gather(*scenario.counter_requests, *scenario.burst)
    )
    assert [a.status for a in responses] == [200] * len(responses)
