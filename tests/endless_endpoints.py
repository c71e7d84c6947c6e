"""Endpoints that send without end, over plain sockets."""

import contextlib
import itertools
import re
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

SEND_BYTES = 1 << 16
SOCKET_SECONDS = 10.0
"""Longer than any deadline of the tests."""
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class EndlessForm(msgspec.Struct, frozen=True):
    """What an endpoint sends without end.

    Attributes:
        head: What it sends once.
        unit: What it repeats. FIELDS in both stands for the endpoint's fields.
        is_content: Whether callers may get it, at the pace at which they read.
        is_event: Whether it is a part of an event.
    """

    head: bytes = b""
    unit: bytes = b"x" * SEND_BYTES
    is_content: bool = False
    is_event: bool = False


OK = b"HTTP/1.1 200 OK\r\nFIELDS"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = OK + CHUNKED + b"\r\n"
STREAM = OK + CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
LENGTH = b"Content-Length: 9000000000000\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nok"
HUGE_CHUNK = b"8000000000\r\n"
PIECE = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"

FORMS = {
    "body-of-length": EndlessForm(OK + LENGTH + b"\r\n", is_content=True),
    "body-until-close": EndlessForm(OK + b"\r\n", is_content=True),
    "body-in-chunks": EndlessForm(CHUNKS, PIECE, is_content=True),
    "body-in-one-chunk": EndlessForm(CHUNKS + HUGE_CHUNK, is_content=True),
    "body-of-status-500": EndlessForm(
        b"HTTP/1.1 500 Error\r\nFIELDS" + LENGTH + b"\r\n", is_content=True
    ),
    "body-in-gzip": EndlessForm(
        OK + b"Content-Encoding: gzip\r\n" + CHUNKED + b"\r\n",
        PIECE,
        is_content=True,
    ),
    "event": EndlessForm(STREAM + HUGE_CHUNK + b"data: ", is_event=True),
    "event-after-events": EndlessForm(
        STREAM + b"10\r\nid: 1\ndata: {}\n\n\r\n" + HUGE_CHUNK + b"data: ",
        is_event=True,
    ),
    "responses": EndlessForm(unit=WHOLE),
    "late-responses": EndlessForm(WHOLE, WHOLE),
    "interim-100": EndlessForm(unit=b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim-103": EndlessForm(
        unit=b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
    ),
    "one-byte-chunks": EndlessForm(CHUNKS, b"1\r\nx\r\n"),
    "empty-lines": EndlessForm(unit=b"\r\n"),
    "chunk-size": EndlessForm(CHUNKS, b"0" * SEND_BYTES),
    "chunk-extension": EndlessForm(CHUNKS + b"1;a=", b"x" * SEND_BYTES),
    "trailers": EndlessForm(CHUNKS + b"0\r\n", b"a: b\r\n"),
    "trailer-value": EndlessForm(CHUNKS + b"0\r\na: "),
    "status-line": EndlessForm(b"HTTP/1.1 200 "),
    "header-name": EndlessForm(OK),
    "header-value": EndlessForm(OK + b"a: "),
    "header-lines": EndlessForm(OK, b"a: b\r\n"),
    "body-after-204": EndlessForm(b"HTTP/1.1 204 No Content\r\nFIELDS\r\n"),
    "more-than-length": EndlessForm(WHOLE),
}


class EndlessEndpoint:
    """Answers each request with a form, as fast as its peer reads.

    Attributes:
        name: Its name.
        form: What it sends.
        id_name: The name of the header that it echoes, in lower case.
        signature_name: The name of the header of its signature.
        address: Where it listens.
        sent: The bytes sent by connection.
    """

    def __init__(self, name: str, id_name: str, signature_name: str):
        self.name = name
        self.form = EndlessForm()
        self.id_name = id_name
        self.signature_name = signature_name
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.sent: dict[int, int] = {}
        self.numbers = itertools.count()
        self.is_ended = False

    @contextmanager
    def running(self) -> Iterator["EndlessEndpoint"]:
        """Serves in threads of its own."""
        thread = threading.Thread(target=self._accept, daemon=True)
        thread.start()
        try:
            yield self
        finally:
            self.is_ended = True
            with contextlib.suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            thread.join()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while not self.is_ended:
                connection, _ = self.listener.accept()
                arguments = (connection, next(self.numbers))
                threading.Thread(
                    target=self._serve, args=arguments, daemon=True
                ).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        connection.settimeout(SOCKET_SECONDS)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        with connection, contextlib.suppress(OSError):
            fields = self._read_request(connection)
            form = self.form
            unit = form.unit.replace(b"FIELDS", fields)
            count = max(1, SEND_BYTES // len(unit))
            connection.sendall(form.head.replace(b"FIELDS", fields))
            while not self.is_ended and form is self.form:
                connection.sendall(unit * count)
                self.sent[number] = self.sent.get(number, 0) + len(unit) * count

    def _read_request(self, connection: socket.socket) -> bytes:
        """Reads a request; returns the fields that its response needs."""
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(SEND_BYTES)
            if not data:
                raise ConnectionError("no request")
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        while length and len(body) < int(length[1]):
            body += connection.recv(SEND_BYTES)
        fields = {}
        for line in head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            fields[key.decode().lower()] = value.strip()
        request_id = fields.get(self.id_name.lower(), b"")
        return b"%b: %b\r\n%b: s\r\n" % (
            self.id_name.encode(),
            request_id,
            self.signature_name.encode(),
        )
