"""Unusual responses that HTTP/1.1 and server-sent events allow, or don't."""

import asyncio
import re
from collections.abc import Callable, Iterable
from contextlib import asynccontextmanager
from enum import Enum

import msgspec

from marjoramyard.kernel.registry import Registry

BODY = b"a body of some length"
EVENTS = (
    b'id: 1\ndata: {"choices": []}\n\n',
    b'id: 2\ndata: {"choices": []}\n\n',
    b"data: [DONE]\n\n",
)
STREAM = b"".join(EVENTS)
SSE = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LONG_VALUE_BYTES = 8_000
SECRET = b"of-the-endpoint-alone"
"""A value that no error may show to callers."""
CUTS = {
    "status-line": 0.05,
    "first-field": 0.3,
    "name": 0.6,
    "value": 0.8,
    "last-line": 0.99,
}
"""Where heads are cut, as shares of their length."""
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class Expected(Enum):
    """What the caller must get."""

    WHOLE = "whole"
    FAILURE = "failure"
    EITHER = "either"
    """The whole response or a failure; a part of it must not look complete."""


class Behaviour(msgspec.Struct, frozen=True):
    """How an endpoint responds.

    Attributes:
        pieces: Returns the bytes to send, given the endpoint's own fields.
        expected: What the caller must get.
        body: The body of a whole response.
        status: Its status.
        closes: Whether the endpoint closes the connection afterwards.
    """

    pieces: Callable[[bytes], Iterable[bytes]]
    expected: Expected
    body: bytes = BODY
    status: int = 200
    closes: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.body != BODY and bool(self.body)


BEHAVIOURS: Registry[Behaviour] = Registry("behaviour")


def behaviour(name: str, expected: Expected, **options):
    """Returns a decorator that registers a function as `Behaviour.pieces`."""

    def add(pieces):
        BEHAVIOURS.register(name)(Behaviour(pieces, expected, **options))
        return pieces

    return add


def head(fields: bytes, more: bytes = b"", status: bytes = b"200 OK") -> bytes:
    """Returns the head of a response."""
    return b"HTTP/1.1 %b\r\n%b%b\r\n" % (status, fields, more)


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    """Returns a chunk."""
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


def with_length(fields: bytes, body: bytes = BODY) -> bytes:
    """Returns a response with a length."""
    return head(fields, b"Content-Length: %d\r\n" % len(body)) + body


def stream(fields: bytes, *events: bytes) -> list[bytes]:
    """Returns a stream in chunks."""
    chunks = [chunk(event) for event in events]
    return [head(fields, SSE + CHUNKED), *chunks, b"0\r\n\r\n"]


@behaviour("informational-response", Expected.WHOLE)
def _informational(fields):
    return [
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
        with_length(fields),
    ]


@behaviour("several-informational-responses", Expected.WHOLE)
def _several_informational(fields):
    hints = b"HTTP/1.1 102 Processing\r\n\r\n"
    return [hints, hints, with_length(fields)]


@behaviour("http-1.0", Expected.WHOLE, closes=True)
def _http_1_0(fields):
    return [head(fields).replace(b"HTTP/1.1", b"HTTP/1.0") + BODY]


@behaviour("chunk-extensions", Expected.WHOLE)
def _chunk_extensions(fields):
    data = chunk(BODY, b";name=value")
    return [head(fields, CHUNKED), data, b"0;last\r\n\r\n"]


@behaviour("trailers", Expected.WHOLE)
def _trailers(fields):
    end = b"0\r\nChecksum: 1\r\n\r\n"
    return [head(fields, CHUNKED + b"Trailer: Checksum\r\n"), chunk(BODY), end]


@behaviour("byte-at-a-time", Expected.WHOLE)
def _byte_at_a_time(fields):
    data = head(fields, CHUNKED) + chunk(BODY) + b"0\r\n\r\n"
    return [data[i : i + 1] for i in range(len(data))]


@behaviour("long-field", Expected.WHOLE)
def _long_field(fields):
    long = b"Long: " + b"x" * LONG_VALUE_BYTES + b"\r\n"
    return [with_length(fields + long)]


@behaviour("control-character-in-a-field", Expected.WHOLE)
def _control_character(fields):
    return [with_length(fields + b"Note: a\x01b\r\n")]


@behaviour("delete-character-in-a-field", Expected.WHOLE)
def _delete_character(fields):
    return [with_length(fields + b"Content-Type: text/\x7fplain\r\n")]


@behaviour("control-character-in-a-stream's-field", Expected.WHOLE, body=STREAM)
def _control_character_of_a_stream(fields):
    return stream(fields + b"Note: a\x01b\r\n", *EVENTS)


@behaviour("bytes-that-are-no-text-in-a-field", Expected.WHOLE)
def _no_text(fields):
    return [with_length(fields + b"Note: caf\xe9\r\n")]


@behaviour("another-protocol", Expected.FAILURE, closes=True)
def _another_protocol(fields):
    switch = b"Connection: upgrade\r\nUpgrade: other\r\n"
    return [head(fields, switch, b"101 Switching Protocols"), BODY]


@behaviour("status-below-all-classes", Expected.FAILURE)
def _status_below(fields):
    more = b"Content-Length: %d\r\n" % len(BODY)
    return [head(fields, more, b"099 Odd") + BODY]


@behaviour("status-above-all-classes", Expected.FAILURE)
def _status_above(fields):
    more = b"Content-Length: %d\r\n" % len(BODY)
    return [head(fields, more, b"600 Odd") + BODY]


@behaviour("upper-case-fields", Expected.WHOLE)
def _upper_case(fields):
    more = b"CONTENT-LENGTH: %d\r\n" % len(BODY)
    return [head(fields, more) + BODY]


@behaviour("no-content-with-a-body", Expected.EITHER, body=b"", status=204)
def _no_content(fields):
    return [head(fields, b"Content-Length: 4\r\n", b"204 No Content"), b"late"]


@behaviour("repeated-length", Expected.EITHER)
def _repeated_length(fields):
    more = b"Content-Length: %d\r\n" % len(BODY)
    return [head(fields, more + more) + BODY]


@behaviour("conflicting-lengths", Expected.FAILURE)
def _conflicting_lengths(fields):
    more = b"Content-Length: 4\r\nContent-Length: %d\r\n" % len(BODY)
    return [head(fields, more) + BODY]


@behaviour("length-and-chunks", Expected.EITHER)
def _length_and_chunks(fields):
    more = b"Content-Length: 4\r\n" + CHUNKED
    return [head(fields, more), chunk(BODY), b"0\r\n\r\n"]


@behaviour("invalid-chunk-size", Expected.FAILURE, closes=True)
def _invalid_chunk_size(fields):
    return [head(fields, CHUNKED), chunk(BODY[:4]), b"-4\r\nbody\r\n0\r\n\r\n"]


@behaviour("negative-length", Expected.FAILURE, closes=True)
def _negative_length(fields):
    return [head(fields, b"Content-Length: -4\r\n") + BODY]


@behaviour("not-a-response", Expected.FAILURE, closes=True)
def _not_a_response(fields):
    return [b"\x16\x03\x01 not a response\r\n\r\n"]


@behaviour("head-that-ends", Expected.FAILURE, closes=True)
def _head_that_ends(fields):
    return [head(fields)[:-2]]


def _add_cut_heads(framing_name: str, framing: bytes, before: bytes) -> None:
    """Registers heads that end where they are cut, with the connection."""
    for place, share in CUTS.items():

        def pieces(fields, share=share):
            whole = head(fields + b"Note: %b\r\n" % SECRET, framing)
            return [before + whole[: int(share * len(whole))]]

        name = f"head-cut-{framing_name}-{place}"
        BEHAVIOURS.register(name)(
            Behaviour(pieces, Expected.FAILURE, closes=True)
        )


_add_cut_heads("length", b"Content-Length: %d\r\n" % len(BODY), b"")
_add_cut_heads("chunks", CHUNKED, b"")
_add_cut_heads("stream", SSE + CHUNKED, b"")
_add_cut_heads("hints", CHUNKED, b"HTTP/1.1 103 Early Hints\r\n\r\n")


@behaviour("short-body", Expected.FAILURE, closes=True)
def _short_body(fields):
    more = b"Note: %b\r\nContent-Length: %d\r\n" % (SECRET, len(BODY))
    return [head(fields, more) + BODY[:4]]


@behaviour("chunks-without-the-last", Expected.FAILURE, closes=True)
def _no_last_chunk(fields):
    more = b"Note: %b\r\n" % SECRET
    return [head(fields, more + CHUNKED), chunk(BODY)]


@behaviour("second-response", Expected.WHOLE)
def _second_response(fields):
    return [with_length(fields) + with_length(fields, b"of nobody")]


@behaviour("late-second-response", Expected.WHOLE)
def _late_second_response(fields):
    return [with_length(fields), with_length(fields, b"of nobody")]


@behaviour("extra-bytes", Expected.EITHER)
def _extra_bytes(fields):
    return [with_length(fields) + b"extra"]


@behaviour("byte-order-mark", Expected.WHOLE, body=b"\xef\xbb\xbf" + STREAM)
def _byte_order_mark(fields):
    return stream(fields, b"\xef\xbb\xbf" + EVENTS[0], *EVENTS[1:])


@behaviour("crlf-lines", Expected.WHOLE, body=STREAM.replace(b"\n", b"\r\n"))
def _crlf_lines(fields):
    return stream(fields, *(e.replace(b"\n", b"\r\n") for e in EVENTS))


@behaviour("cr-lines", Expected.WHOLE, body=STREAM.replace(b"\n", b"\r"))
def _cr_lines(fields):
    return stream(fields, *(e.replace(b"\n", b"\r") for e in EVENTS))


_COMMENTED = (b": hello\n\n", EVENTS[0], b":\n\n", *EVENTS[1:])


@behaviour("comments", Expected.WHOLE, body=b"".join(_COMMENTED))
def _comments(fields):
    return stream(fields, *_COMMENTED)


_MULTI_LINE = (b'event: message\ndata: {"choices":\ndata: []}\n\n', EVENTS[2])


@behaviour("multi-line-data", Expected.WHOLE, body=b"".join(_MULTI_LINE))
def _multi_line_data(fields):
    return stream(fields, *_MULTI_LINE)


@behaviour("events-in-odd-chunks", Expected.WHOLE, body=STREAM)
def _odd_chunks(fields):
    return stream(fields, *(STREAM[i : i + 5] for i in range(0, 75, 5)))


@behaviour("several-events-in-a-chunk", Expected.WHOLE, body=STREAM)
def _one_chunk(fields):
    return stream(fields, STREAM)


@behaviour("empty-stream", Expected.EITHER, body=b"")
def _empty_stream(fields):
    return stream(fields)


class BehavingEndpoint:
    """Responds to each request as the path's last part names.

    Attributes:
        address: Its address.
        own_fields: Returns its own fields of a response, from the request.
        pause_seconds: The time between two pieces.
        requests: The paths of the requests.
    """

    def __init__(
        self, address: str, own_fields: Callable[[bytes], bytes] = lambda _: b""
    ):
        self.address = address
        self.own_fields = own_fields
        self.pause_seconds = 0.002
        self.requests: list[str] = []

    @asynccontextmanager
    async def running(self):
        """Serves requests."""
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        raw = await reader.readuntil(b"\r\n\r\n")
        found = _CONTENT_LENGTH.search(raw)
        await reader.readexactly(int(found[1]) if found else 0)
        path = raw.split(b" ", 2)[1].decode()
        self.requests.append(path)
        name = path.rpartition("/")[2]
        if name not in BEHAVIOURS.items:
            writer.write(with_length(self.own_fields(raw)))
            return True
        found = BEHAVIOURS.get(name)
        for piece in found.pieces(self.own_fields(raw)):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self.pause_seconds)
        return not found.closes
