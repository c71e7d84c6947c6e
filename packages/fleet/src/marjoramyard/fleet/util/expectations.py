"""Requests with `Expect`, whose body is sent once the server agrees."""

from aiohttp import HttpVersion11, hdrs, web

CONTINUE = "100-continue"
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def with_expectations(route: web.RouteDef) -> web.RouteDef:
    """Returns a route that answers `Expect`, whatever its value.

    The HTTP library writes the value into its refusal, which fails for bytes
    that are not UTF-8.
    """
    kwargs = route.kwargs | {"expect_handler": answer_expectation}
    return web.RouteDef(route.method, route.path, route.handler, kwargs)


async def answer_expectation(request: web.Request) -> None:
    """Asks for the body of a request.

    Raises:
        web.HTTPExpectationFailed: Something else is expected.
    """
    if request.version != HttpVersion11:
        return
    if request.headers.get(hdrs.EXPECT, "").lower() != CONTINUE:
        raise web.HTTPExpectationFailed(
            text=f"send Expect: {CONTINUE}, or no Expect"
        )
    await request.writer.write(_CONTINUE_RESPONSE)
    # What is counted is the response that follows.
    request.writer.output_size = 0
