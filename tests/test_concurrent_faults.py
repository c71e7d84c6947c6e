"""Several processes fail at the same time, repeatedly."""

import asyncio
import itertools

from callers import book, chat

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until

ROUNDS = 2


class Workload:
    """Callers of the fleet and the responses that they got.

    Attributes:
        confirmed: Keys of the bookings that got status 201.
        streams: Responses to streams with status 200.
        false_not_run: Bookings with the outcome "not-run" that were booked.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.stop = asyncio.Event()
        self.confirmed = []
        self.streams = []
        self.false_not_run = []

    def booked(self):
        path = self.fleet.folder / "journal"
        return path.read_text().split() if path.exists() else []

    async def customer(self, number):
        """Books repeatedly, retrying each booking until it is confirmed."""
        count = 0
        while not self.stop.is_set():
            count += 1
            key = f"hold-{number}-{count}"
            tries = itertools.count(number)

            async def is_settled(key=key, tries=tries):
                attempt = next(tries)
                entry = f"entry-{1 + attempt % 2}"
                response = await book(self.fleet, key, entry)
                if response.outcome == "not-run" and key in self.booked():
                    self.false_not_run.append((key, response))
                if response.status == 201:
                    self.confirmed.append(key)
                # If the agent was lost with the response, the outcome stays
                # unknown and every retry gets "call_in_progress".
                is_lost = "call_in_progress" in response.text and attempt > 20
                return response.status == 201 or is_lost

            await wait_until(is_settled, f"{key} to be confirmed")

    async def reader(self, number):
        """Streams chats and keeps the responses."""
        while not self.stop.is_set():
            response = await chat(
                self.fleet,
                f"entry-{1 + number % 2}",
                content=f"reader {number} {len(self.streams)}",
                stream=True,
                max_tokens=20,
            )
            if response.status == 200:
                self.streams.append(response)


async def leader_of(fleet):
    async def current_leader():
        rows = await fleet.ctl_json("status")
        leaders = [r for r in rows if r["role"] == "leader"]
        return max(leaders, key=lambda r: r["term"])["name"] if leaders else 0

    return await wait_until(current_leader, "a leader")


async def one_round(fleet, workload, number):
    """Kills the leader, an entry and an engine, and suspends an agent."""
    leader = await leader_of(fleet)
    entry, engine = f"entry-{1 + number % 2}", f"chat-{1 + number % 2}"
    agent = fleet.children[f"agent-shop-{1 + number % 2}"]
    agent.suspend()
    killed = (leader, entry, engine)
    await asyncio.gather(*(fleet.children[n].kill() for n in killed))
    goal = len(workload.confirmed) + 8, len(workload.streams) + 8

    async def progressed():
        return (len(workload.confirmed), len(workload.streams)) >= goal

    await wait_until(progressed, "bookings and streams during the failures")
    for name in killed:
        await fleet.restart(name)
    agent.resume()
    await fleet.wait_until_serving("chat-1", "chat-2", "shop-1", "shop-2")


async def test_a_leader_an_entry_an_engine_and_an_agent_fail_at_once(
    fleet, bundle
):
    """Guards against lost or duplicate bookings and wrong outcomes.

    A truncated stream must not look complete either.
    """
    await start_small_fleet(fleet, bundle)
    journal = ["--journal", str(fleet.folder / "journal")]
    for n in (1, 2):
        await fleet.add_endpoint(f"chat-{n}", "engine", "chat")
        await fleet.add_endpoint(
            f"shop-{n}", "plain", "shop", "--call-seconds", "0.05", *journal
        )
    await fleet.wait_until_serving("chat-1", "chat-2", "shop-1", "shop-2")
    workload = Workload(fleet)
    work = [asyncio.ensure_future(workload.customer(n)) for n in range(6)]
    work += [asyncio.ensure_future(workload.reader(n)) for n in range(6)]
    for number in range(ROUNDS):
        await one_round(fleet, workload, number)
    workload.stop.set()
    await asyncio.gather(*work)
    booked = workload.booked()
    assert len(booked) == len(set(booked))
    assert set(workload.confirmed) <= set(booked)
    assert workload.false_not_run == []
    assert len(workload.confirmed) > 20
    for response in workload.streams:
        has_all_tokens = response.text.count('"delta"') == 20
        assert has_all_tokens == response.is_complete_stream, response.text[
            -300:
        ]
