"""Requests through separate processes, from caller to endpoint."""

from marjoramyard.standin.local_fleet import start_small_fleet, wait_until


async def chat(fleet, entry="entry-1", **body):
    async with fleet.session.post(
        fleet.url(entry, "/v1/chat/completions"),
        headers=fleet.headers("counter"),
        json={"model": "chat", **body},
    ) as response:
        return response.status, await response.text()


async def test_requests_are_served_while_endpoints_join_and_leave(
    fleet, bundle
):
    await start_small_fleet(fleet, bundle)
    await fleet.add_endpoint("chat-1", "engine", "chat")
    await fleet.add_endpoint("shop-1", "plain", "shop")
    await fleet.wait_until_serving("chat-1", "shop-1")

    status, text = await chat(fleet, stream=True, max_tokens=4)
    assert status == 200
    assert text.count("data:") == 6
    assert text.endswith("data: [DONE]\n\n")

    async with fleet.session.get(
        fleet.url("entry-2", "/services/shop/stock/boots?size=42"),
        headers=fleet.headers("counter"),
    ) as response:
        assert await response.json() == {"item": "boots", "in_stock": 7}
        assert response.headers["X-Marjoramyard-Outcome"] == "complete"

    await fleet.add_endpoint("chat-2", "engine", "chat")
    await fleet.wait_until_serving("chat-2")
    address = fleet.endpoint_addresses["chat-1"]
    async with fleet.session.post(f"http://{address}/admin/leave"):
        pass
    before = (await fleet.counters("chat-1"))["served"]
    for _ in range(5):
        status, _ = await chat(fleet, max_tokens=1)
        assert status == 200
    assert (await fleet.counters("chat-1"))["served"] == before
    assert (await fleet.counters("chat-2"))["served"] == 5

    async def is_leaving():
        rows = await fleet.ctl_json("endpoints")
        return any(
            r["endpoint"] == "chat-1" and r["state"] == "leaving" for r in rows
        )

    assert await wait_until(is_leaving, "chat-1 to be listed as leaving")
