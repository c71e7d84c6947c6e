"""Several failures at once, and the same ones again."""

import asyncio
import itertools

from callers import book, chat

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until

ROUNDS = 2


class Watch:
    """What callers were told, to be compared with what was done."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stop = asyncio.Event()
        self.done = []
        self.streams = []
        self.lies = []

    def booked(self):
        path = self.fleet.folder / "journal"
        return path.read_text().split() if path.exists() else []

    async def customer(self, number):
        """Books, resending each until it is answered."""
        count = 0
        while not self.stop.is_set():
            count += 1
            key = f"hold-{number}-{count}"
            tries = itertools.count(number)

            async def ended(key=key, tries=tries):
                place = next(tries)
                entry = f"entry-{1 + place % 2}"
                answer = await book(self.fleet, key, entry)
                if answer.outcome == "not-run" and key in self.booked():
                    self.lies.append((key, answer))
                if answer.status == 201:
                    self.done.append(key)
                # Its agent may have been lost with the answer; then the
                # outcome stays unknown, as the caller is told.
                lost = "call_in_progress" in answer.text and place > 20
                return answer.status == 201 or lost

            await wait_until(ended, f"{key} to be answered")

    async def reader(self, number):
        """Streams chats and notes what each looked like."""
        while not self.stop.is_set():
            answer = await chat(
                self.fleet,
                f"entry-{1 + number % 2}",
                content=f"reader {number} {len(self.streams)}",
                stream=True,
                max_tokens=20,
            )
            if answer.status == 200:
                self.streams.append(answer)


async def leader_of(fleet):
    async def known():
        rows = await fleet.ctl_json("status")
        leaders = [r for r in rows if r["role"] == "leader"]
        return max(leaders, key=lambda r: r["term"])["name"] if leaders else 0

    return await wait_until(known, "a leader")


async def one_round(fleet, watch, number):
    """Kills the leader, an entry and an engine, and freezes an agent."""
    leader = await leader_of(fleet)
    entry, engine = f"entry-{1 + number % 2}", f"chat-{1 + number % 2}"
    agent = fleet.children[f"agent-shop-{1 + number % 2}"]
    agent.suspend()
    killed = (leader, entry, engine)
    await asyncio.gather(*(fleet.children[n].kill() for n in killed))
    goal = len(watch.done) + 8, len(watch.streams) + 8

    async def goes_on():
        return (len(watch.done), len(watch.streams)) >= goal

    await wait_until(goes_on, "bookings and streams beside the failures")
    for name in killed:
        await fleet.restart(name)
    agent.resume()
    await fleet.wait_until_serving("chat-1", "chat-2", "shop-1", "shop-2")


async def test_a_leader_an_entry_an_engine_and_an_agent_fail_at_once_twice(
    fleet, bundle
):
    """Bookings and streams go on while four processes fail together.

    Nothing is booked twice, whatever was answered is booked, "not run" was
    never said of a booking that is there, and no cut stream looks whole.
    """
    await start_small_fleet(fleet, bundle)
    journal = ["--journal", str(fleet.folder / "journal")]
    for n in (1, 2):
        await fleet.add_endpoint(f"chat-{n}", "engine", "chat")
        await fleet.add_endpoint(
            f"shop-{n}", "plain", "shop", "--call-seconds", "0.05", *journal
        )
    await fleet.wait_until_serving("chat-1", "chat-2", "shop-1", "shop-2")
    watch = Watch(fleet)
    work = [asyncio.ensure_future(watch.customer(n)) for n in range(6)]
    work += [asyncio.ensure_future(watch.reader(n)) for n in range(6)]
    for number in range(ROUNDS):
        await one_round(fleet, watch, number)
    watch.stop.set()
    await asyncio.gather(*work)
    booked = watch.booked()
    assert len(booked) == len(set(booked))
    assert set(watch.done) <= set(booked)
    assert watch.lies == []
    assert len(watch.done) > 20
    for answer in watch.streams:
        whole = answer.text.count('"delta"') == 20
        assert whole == answer.is_whole_stream, answer.text[-300:]
