"""Raw requests and responses with odd values in their headers."""

import asyncio
import contextlib
import json
from urllib.parse import quote

from marjoramyard.kernel.errors import FailureKind
from marjoramyard.standin.processes import free_address

RESPONSE_SECONDS = 30.0
HEAD_END = b"\r\n\r\n"
ODD_VALUES = (
    b"9" * 20,
    b"9" * 400,
    b"9" * 5000,
    b"0." + b"9" * 400,
    b"0" * 400 + b"7",
    b"1e400",
    b"-5",
    b"+5",
    b"5.5",
    b"1_000",
    b"0x10",
    b"nan",
    b"inf",
    b"\xb2",
    "\u00b2".encode(),
    "\u0663".encode(),
    b"\xff\xfe",
    b"",
    b",",
    b"5,5",
    b":",
    b"p:" + b"9" * 5000,
    b"7," + b"9" * 5000,
    b"7,\xb2",
    b"p\xb2:5,q:6",
    b"%00%ff",
    b"[::1",
    b"http://[::1",
    b"x:99999999",
    b'"',
    b"[" * 4000,
    b"{}",
    b"=;=",
)
FRAMING = (b"Content-Length", b"Transfer-Encoding", b"Expect", b"Upgrade")
"""With some values of these more of the request is waited for."""


def request_bytes(path, headers, method=b"GET"):
    """Returns a request without a body, of header names and values in bytes."""
    lines = [method + b" " + path + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers.items()]
    return b"\r\n".join(lines) + HEAD_END


async def exchange(address, data):
    """Sends a request, and returns all that follows until the end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(RESPONSE_SECONDS):
            return await reader.read()
    finally:
        writer.close()


async def exchange_heads(address, data):
    """Sends a request, and returns the head of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(RESPONSE_SECONDS):
            return await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        return error.partial
    finally:
        writer.close()


async def send_only(address, data):
    """Sends a request, and returns what has arrived after a first response.

    A request of which the server awaits more has none; its connection is
    closed once another request, sent later, has been answered.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        later = {b"Host": b"x", b"Connection": b"close"}
        await exchange(address, request_bytes(b"/", later))
        return bytes(reader._buffer)
    finally:
        writer.close()


def status_of(response):
    """Returns the status of a response; 0 if there is none."""
    fields = response.split(b" ", 2)
    return int(fields[1]) if len(fields) > 2 else 0


def code_of(body):
    """Returns the code of a failure; "" for another body."""
    with contextlib.suppress(ValueError, KeyError, TypeError):
        return json.loads(body)["error"]["code"]
    return ""


def is_overload(body):
    """Returns whether a body refuses a request only for the load.

    Other programs on the host of the tests may use up its processors.
    """
    return code_of(body) == FailureKind.OVERLOADED.code


def internal_error(response):
    """Returns whether a response is the server's own failure."""
    code = code_of(response.partition(HEAD_END)[2])
    return code == "internal" or (not code and status_of(response) == 500)


async def exchange_until_taken(address, data):
    """Sends a request again while the server has no room for it."""
    while True:
        response = await exchange(address, data)
        if not is_overload(response.partition(HEAD_END)[2]):
            return response


async def odd_requests(address, path, names, sound, method=b"GET", served=()):
    """Sends a request with each odd value in each header.

    Args:
        address: IP:PORT of the server.
        path: The target of the requests.
        names: The names of the headers.
        sound: The headers of a sound request; one is replaced at a time.
        method: The method.
        served: The headers that mustn't keep a request from being served.

    Returns:
        The header, the begin of its value, its length, and the first line of
        the response, of each request that failed.
    """
    wrong = []

    async def send_values(name):
        for value in ODD_VALUES:
            headers = sound | {b"Connection": b"close"} | {name: value}
            data = request_bytes(path, headers, method)
            send = send_only if name in FRAMING else exchange_until_taken
            response = await send(address, data)
            is_lost = not response and name not in FRAMING
            is_refused = name in served and value and status_of(response) != 200
            if is_lost or is_refused or internal_error(response):
                line = response.partition(b"\r\n")[0]
                wrong.append((name, value[:12], len(value), line))

    await asyncio.gather(*map(send_values, names))
    return wrong


async def odd_targets(address, method, prefix, sound, send=exchange):
    """Sends requests for odd targets that begin with a prefix, also a query.

    Args:
        address: IP:PORT of the server.
        method: The method.
        prefix: The begin of the targets.
        sound: The headers of a sound request.
        send: Sends each request, and returns the response.

    Returns:
        The begin of the target and the first line of the response, of each
        request that failed.
    """
    wrong = []
    headers = {b"Connection": b"close"} | sound
    values = [*ODD_VALUES, *(quote(value).encode() for value in ODD_VALUES)]
    for value in values:
        for target in (prefix + value, prefix + b"x?from=" + value):
            data = request_bytes(target, headers, method)
            response = await send(address, data)
            if not response or internal_error(response):
                line = response.partition(b"\r\n")[0]
                wrong.append((target[:40], line))
    return wrong


class RawEndpoint:
    """An endpoint that answers with bytes that the test sets.

    Attributes:
        addresses: Where it listens, each as an endpoint of its own.
        respond: Returns the response to a request, given its head.
        used: The responders that have been called.
    """

    def __init__(self, count=1):
        self.used = set()
        self.addresses = [free_address() for _ in range(count)]
        self.respond = sound_response

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(HEAD_END)
            await reader.readexactly(body_length(head))
            self.used.add(self.respond)
            writer.write(self.respond(head))
            await writer.drain()
        writer.close()

    @contextlib.asynccontextmanager
    async def running(self):
        servers = [
            await asyncio.start_server(self.serve, *address.split(":"))
            for address in self.addresses
        ]
        try:
            yield self
        finally:
            for server in servers:
                server.close()


async def response_to_caller(raw, respond, call):
    """Calls until the endpoint has sent a response; returns the caller's."""
    raw.respond = respond
    async with asyncio.timeout(RESPONSE_SECONDS):
        while True:
            response = await call()
            if respond in raw.used:
                return response


def header_of(head, name):
    """Returns the value of a header of a request; b"" if it has none."""
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.strip().lower() == name.lower():
            return value.strip()
    return b""


def body_length(head):
    return int(header_of(head, b"Content-Length") or b"0")


def response_bytes(headers, status=b"200 OK", body=b"done"):
    """Returns a response; a header of which the value is None is left out."""
    headers = {
        b"Content-Length": b"%d" % len(body),
        b"Connection": b"close",
    } | headers
    lines = [b"HTTP/1.1 " + status]
    lines += [
        name + b": " + value
        for name, value in headers.items()
        if value is not None
    ]
    return b"\r\n".join(lines) + HEAD_END + body


def signed(head):
    """Returns the headers of a response that gateways relay."""
    return {
        b"Request-Id": header_of(head, b"Request-Id"),
        b"Answer-Signature": b"by raw",
    }


def sound_response(head):
    return response_bytes(signed(head))
