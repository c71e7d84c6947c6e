"""A request that crashes engines costs two of them, not all."""

import asyncio
import itertools

from callers import chat

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until

ENGINES = [f"chat-{n}" for n in range(1, 6)]


async def test_a_poison_request_costs_two_engines(fleet, bundle):
    """One request kills each engine that runs it, and is sent again and
    again through both entries, among innocent requests beside it.

    The first death can't be told from bad luck, so two engines is the
    least that any rule can reach; then the request is refused everywhere,
    also by an entry that is restarted. Innocent requests with no byte
    delivered run again and end well.
    """
    await start_small_fleet(fleet, bundle)
    for name in ENGINES:
        await fleet.add_endpoint(
            name, "engine", "chat", "--slots", "4", "--token-seconds", "0.02"
        )
    await fleet.wait_until_serving(*ENGINES)
    convicted = asyncio.Event()
    innocent = []

    async def innocents(number):
        count = 0
        while not convicted.is_set():
            count += 1
            answer = await chat(
                fleet,
                f"entry-{1 + number % 2}",
                "guides",
                content=f"innocent {number} {count}",
                max_tokens=15,
            )
            innocent.append(answer)

    async def attacker():
        tries = itertools.count()

        async def refused():
            entry = f"entry-{1 + next(tries) % 2}"
            answer = await chat(fleet, entry, crash=True)
            assert answer.status != 200
            return answer if "request_quarantined" in answer.text else None

        answer = await wait_until(refused, "the request to be convicted")
        assert answer.outcome == "not-run"
        assert "Retry-After" in answer.headers
        convicted.set()

    await asyncio.gather(attacker(), *(innocents(n) for n in range(8)))
    lost = [n for n in ENGINES if not fleet.children[n].is_running]
    assert len(lost) == 2
    hurt = [a for a in innocent if a.status != 200]
    assert [a.text for a in hurt] == []

    await fleet.children["entry-1"].kill()
    await fleet.restart("entry-1")
    await fleet.wait_until_ready(fleet.entries["entry-1"])

    async def refused_there():
        answer = await chat(fleet, "entry-1", crash=True)
        return "request_quarantined" in answer.text

    assert await wait_until(refused_there, "the restarted entry to refuse it")
    assert len([n for n in ENGINES if not fleet.children[n].is_running]) == 2
