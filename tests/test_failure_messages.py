"""What callers are told of requests without a response."""

import pytest
from aiohttp import web
from gateway_fleet import FakeEndpoint, config, gateway_fleet, route, wait_until

CUT_HEAD = b"HTTP/1.1 200 OK\r\nNote: of-the-endpoint-alone\r\nAnswer-Sig"


async def cut_the_head(request):
    request.transport.write(CUT_HEAD)
    request.transport.close()
    return web.Response()


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_a_failure_shows_nothing_of_the_endpoint(tmp_path, kind):
    """Guards against errors that show callers an endpoint's bytes, or the
    exceptions of this program.
    """
    async with gateway_fleet(tmp_path) as fleet:
        endpoint = FakeEndpoint("e")
        endpoint.respond = cut_the_head
        await fleet.put_config(config(2, route("b", "/b/", kind)))
        async with endpoint.running():
            await fleet.send_heartbeat(endpoint)

            async def is_sent():
                async with fleet.request("/b/x") as response:
                    return response.status == 502 and await response.text()

            text = await wait_until(is_sent)
    assert '"unknown"' in text
    for internal in ("of-the-endpoint", "Error(", "MultiDict", "Message("):
        assert internal not in text
