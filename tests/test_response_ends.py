"""Responses of endpoints, whole and broken off, on both ways in."""

import asyncio
import itertools
import json

import pytest
import pytest_asyncio
from callers import chat, read_body
from gateway_fleet import (
    FakeEndpoint,
    config,
    gateway_fleet,
    route,
    wait_until,
)

from marjoramyard.standin.local_fleet import local_fleet, start_small_fleet
from marjoramyard.standin.raw_responses import (
    BreakOffError,
    ConnectionEnd,
    Framing,
    RawResponse,
)

EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3)]
PLAIN = b"a plain body of some length"
PAUSE_SECONDS = 0.01
FRAMINGS = [framing.value for framing in Framing]
CONNECTION_ENDS = [end.value for end in ConnectionEnd]

STREAM_CUTS = {
    "inside-first-event": (0, EVENTS[0][:9]),
    "inside-event": (2, EVENTS[2][:9]),
    "inside-blank-line": (2, EVENTS[2][:-1]),
    "between-events": (2, b""),
    "before-any-event": (0, b""),
}
"""Complete events that are sent, and the part of the next one."""


def is_undecidable(framing, place, end):
    """Whether a response may be complete for all that can be known."""
    return (framing, place, end) == ("close", "between-events", "fin")


BROKEN_STREAMS = [
    case
    for case in itertools.product(
        ("chunks", "close"), STREAM_CUTS, CONNECTION_ENDS
    )
    if not is_undecidable(*case)
]
BROKEN_PLAIN = [
    (framing, end)
    for framing, end in itertools.product(FRAMINGS, CONNECTION_ENDS)
    if (framing, end) != ("close", "fin")
]


async def stream_pieces(place):
    count, part = STREAM_CUTS.get(place, (len(EVENTS), b""))
    for event in EVENTS[:count]:
        yield event
        await asyncio.sleep(PAUSE_SECONDS)
    if place != "whole":
        if part:
            yield part
            await asyncio.sleep(PAUSE_SECONDS)
        raise BreakOffError


async def plain_pieces(place):
    if place != "whole":
        yield PLAIN[:9]
        await asyncio.sleep(PAUSE_SECONDS)
        raise BreakOffError
    yield PLAIN


class RawEndpoint(FakeEndpoint):
    """An endpoint that responds as the body of the request says."""

    def __init__(self, name):
        super().__init__(name)
        self.respond = self.respond_as_told

    async def respond_as_told(self, request):
        told = json.loads(await request.read())
        is_stream = told["content"] == "stream"
        pieces = stream_pieces if is_stream else plain_pieces
        kind = "text/event-stream" if is_stream else "text/plain"
        return RawResponse(
            pieces(told["place"]),
            Framing(told["framing"]),
            ConnectionEnd(told["end"]),
            length=len(PLAIN),
            headers=self.response_headers(request) | {"Content-Type": kind},
        )


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def gateway(tmp_path_factory):
    """A gateway with one raw endpoint."""
    folder = tmp_path_factory.mktemp("gateway")
    async with (
        gateway_fleet(folder) as fleet,
        RawEndpoint("i-0").running() as endpoint,
    ):
        await fleet.put_config(
            config(
                2,
                route("plain", "/plain/", max_attempts=1),
                route("stream", "/stream/", "stream", max_attempts=1),
            )
        )

        async def serves():
            await fleet.send_heartbeat(endpoint)
            whole = await ask(fleet, "stream", "chunks", "whole", "fin")
            return whole[0] == 200

        await wait_until(serves)
        heartbeats = asyncio.create_task(send_heartbeats(fleet, endpoint))
        yield fleet
        heartbeats.cancel()


async def send_heartbeats(fleet, endpoint):
    while True:
        await fleet.send_heartbeat(endpoint)
        await asyncio.sleep(0.3)


async def ask(fleet, content, framing, place, end):
    """Returns the status, body and whether the response was complete."""
    told = {"content": content, "framing": framing}
    told |= {"place": place, "end": end}
    async with fleet.request(f"/{content}/x", json=told) as response:
        return response.status, *await read_body(response)


pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest.mark.parametrize(("framing", "place", "end"), BROKEN_STREAMS)
async def test_a_stream_that_breaks_off_is_incomplete_to_callers_of_a_gateway(
    gateway, framing, place, end
):
    """Guards against a broken-off stream that arrives as a complete one."""
    status, body, is_complete = await ask(
        gateway, "stream", framing, place, end
    )
    count, _ = STREAM_CUTS[place]
    assert not (status == 200 and is_complete)
    if status == 200:
        assert body == b"".join(EVENTS[:count])


@pytest.mark.parametrize(("framing", "end"), BROKEN_PLAIN)
async def test_a_plain_body_that_breaks_off_is_a_failure_at_a_gateway(
    gateway, framing, end
):
    """Guards against part of a body that arrives as a complete one."""
    status, _, _ = await ask(gateway, "plain", framing, "part", end)
    assert status == 502


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_plain_body_arrives_whole_at_a_gateway(gateway, framing):
    """Guards against failing responses whose connection just ends."""
    found = await ask(gateway, "plain", framing, "whole", "fin")
    assert found == (200, PLAIN, True)


@pytest.mark.parametrize("framing", ["chunks", "close"])
async def test_a_stream_arrives_whole_at_a_gateway(gateway, framing):
    """Guards against failing streams whose connection just ends."""
    found = await ask(gateway, "stream", framing, "whole", "fin")
    assert found == (200, b"".join(EVENTS), True)


async def ask_http_1_0(address, path, headers, body):
    """Returns status, body and whether the connection ended regularly."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"POST {path} HTTP/1.0", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    data, is_complete = b"", True
    try:
        while piece := await reader.read(1 << 16):
            data += piece
    except ConnectionResetError:
        is_complete = False
    writer.close()
    head, _, received = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), received, is_complete


@pytest.mark.parametrize("place", ["whole", *STREAM_CUTS])
async def test_a_gateway_tells_http_1_0_callers_how_a_stream_ended(
    gateway, place
):
    """Guards against streams to HTTP/1.0 callers that fail after they ran, and
    against broken-off ones that end like whole ones.
    """
    told = {"content": "stream", "framing": "chunks"}
    told |= {"place": place, "end": "fin"}
    headers = {"Host": "shop.example", "Request-Id": f"1-0-{place}"}
    status, body, is_complete = await ask_http_1_0(
        gateway.listen_address, "/stream/x", headers, json.dumps(told).encode()
    )
    if place == "whole":
        assert (status, body, is_complete) == (200, b"".join(EVENTS), True)
    else:
        assert not (status == 200 and is_complete)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def entry(tmp_path_factory, small_bundle):
    """An entry with one engine behind its agent."""
    async with local_fleet(tmp_path_factory.mktemp("entry")) as fleet:
        await start_small_fleet(fleet, small_bundle, control=1)
        await fleet.add_endpoint("chat-1", "engine", "chat")
        await fleet.wait_until_serving("chat-1")
        yield fleet


@pytest.mark.parametrize("cut_after", [0, 3])
@pytest.mark.parametrize("cut_by", CONNECTION_ENDS)
@pytest.mark.parametrize("cut_place", ["inside-event", "between-events"])
@pytest.mark.parametrize("framing", ["chunks", "close"])
async def test_a_stream_that_breaks_off_is_incomplete_to_callers_of_an_entry(
    entry, framing, cut_place, cut_by, cut_after
):
    """Guards against a broken-off stream that arrives as a complete one."""
    response = await chat(
        entry,
        stream=True,
        max_tokens=6,
        framing=framing,
        cut_after=cut_after,
        cut_place=cut_place,
        cut_by=cut_by,
    )
    assert response.text.count('"delta"') == cut_after
    assert not (response.status == 200 and response.is_complete_stream)
    assert response.is_truncated or response.status == 502


@pytest.mark.parametrize(("framing", "end"), BROKEN_PLAIN)
async def test_a_plain_body_that_breaks_off_is_a_failure_at_an_entry(
    entry, framing, end
):
    """Guards against part of a body that arrives as a complete one."""
    response = await chat(entry, framing=framing, cut_after=0, cut_by=end)
    assert response.status in (502, 503)
    assert response.outcome == "unknown"


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_plain_body_arrives_whole_at_an_entry(entry, framing):
    """Guards against failing responses whose connection just ends."""
    response = await chat(entry, framing=framing, max_tokens=3)
    assert (response.status, response.outcome) == (200, "complete")
    assert json.loads(response.text)["usage"]["completion_tokens"] == 3


@pytest.mark.parametrize("framing", ["chunks", "close"])
async def test_a_stream_arrives_whole_at_an_entry(entry, framing):
    """Guards against failing streams whose connection just ends."""
    response = await chat(entry, stream=True, framing=framing, max_tokens=3)
    assert response.is_complete_stream
    assert response.text.count('"delta"') == 3


@pytest.mark.parametrize("cut_after", [-1, 2])
async def test_an_entry_tells_http_1_0_callers_how_a_stream_ended(
    entry, cut_after
):
    """Guards against a broken-off stream that ends like a whole one."""
    message = {"role": "user", "content": "Which boots?"}
    chat_request = {"model": "chat", "messages": [message], "stream": True}
    chat_request |= {"max_tokens": 4, "cut_after": cut_after}
    status, body, is_complete = await ask_http_1_0(
        entry.entries["entry-1"],
        "/v1/chat/completions",
        entry.headers("counter") | {"Host": "shop.example"},
        json.dumps(chat_request).encode(),
    )
    assert status == 200
    assert is_complete == (cut_after < 0)
    assert body.endswith(b"data: [DONE]\n\n") == is_complete
