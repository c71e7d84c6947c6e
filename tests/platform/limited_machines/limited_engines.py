"""Engines of the runner: they register, serve, and misbehave on request."""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import json
import random
import time

HEAD_LIMIT = 65536
IDLE_SECONDS = 10.0
TOKENS_PER_EVENT = 4
PREFILL_TOKENS_PER_MS = 36.7
STEP_MS, STEP_MS_PER_SLOT = 4.34, 0.151
ENDLESS_BYTES = 256 * 1024 * 1024


class Fault(enum.Enum):
    """What an engine does wrong with some of its requests."""

    NONE = "none"
    ERRORS = "errors"
    SHED = "shed"
    HANG = "hang"
    MUTE = "mute"
    RESET = "reset"
    CUT = "cut"
    EXTRA = "extra"
    GARBAGE = "garbage"
    ENDLESS = "endless"
    SLOW = "slow"
    ANSWER_LOST = "answer_lost"


BROKEN = {
    Fault.ERRORS,
    Fault.HANG,
    Fault.MUTE,
    Fault.RESET,
    Fault.CUT,
    Fault.GARBAGE,
    Fault.ENDLESS,
    Fault.ANSWER_LOST,
}


@dataclasses.dataclass
class Arrival:
    """The arrival of a request at an engine.

    Attributes:
        ran: Whether the engine began to execute it.
    """

    at: float
    service: str
    engine: str
    ran: bool


class Ledger:
    """What engines have seen of each request."""

    def __init__(self):
        self.arrivals = collections.defaultdict(list)
        self.broken = set()
        self.statuses = {}

    def runs(self, attempt):
        """Returns the arrivals of an attempt that were executed."""
        return [arrival for arrival in self.arrivals[attempt] if arrival.ran]


def event(attempt: str, number: int) -> bytes:
    """Returns an event of an attempt's stream."""
    return b"id: %d\ndata: %s-%d %s\n\n" % (
        number,
        attempt.encode(),
        number,
        b"x" * 24,
    )


def plain_body(attempt: str, size: int) -> bytes:
    """Returns a body that repeats the attempt's id."""
    unit = f"{attempt} ".encode()
    return (unit * (size // len(unit) + 1))[:size]


async def read_message(reader):
    """Reads a head and a body; returns the first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        body = b"".join(parts)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class Engine:
    """One engine: a server, a heartbeat, and its faults."""

    def __init__(
        self,
        service,
        is_model,
        address,
        port,
        zone,
        controls,
        ledger,
        wire,
        seed,
    ):
        self.service, self.is_model, self.zone = service, is_model, zone
        self.address, self.port = address, port
        self._controls, self._ledger, self._wire = controls, ledger, wire
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(64 if is_model else 6)
        self._queue_limit = 192 if is_model else 24
        self._limit = 780 if is_model else 260
        self._fault, self._fault_share = Fault.NONE, 0.0
        self._writers = set()
        self._server = None
        self._beats = None
        self._tasks = set()
        self.state = "ready"
        self.beats_sent = self.beats_acknowledged = 0

    async def start(self):
        """Starts the server and the heartbeat under a new id."""
        self.id = f"i-{self._random.getrandbits(32):08x}"
        self._born = int(time.time() * 1000)
        self._seq = self._active = self._waiting = 0
        self._cache = collections.OrderedDict()
        self._kv_events = []
        self._kv_changed = asyncio.Event()
        self._prefill = asyncio.Lock()
        self.state = "ready"
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=HEAD_LIMIT, backlog=512
        )
        self._beats = asyncio.create_task(self._beat())

    async def crash(self):
        """Ends at once: closes the server and breaks off all connections."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def drain(self):
        """Leaves as planned: says so, serves on, then goes."""
        self.state = "draining"
        await self._tell("PUT", self._entry())
        await asyncio.sleep(3.5)
        await self._tell("DELETE", None)
        await self.crash()

    @contextlib.contextmanager
    def faulty(self, fault: Fault, share: float):
        """Applies a fault to a share of the requests within the block."""
        self._fault, self._fault_share = fault, share
        try:
            yield
        finally:
            self._fault, self._fault_share = Fault.NONE, 0.0

    def _entry(self):
        self._seq += 1
        entry = {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64 if self.is_model else 6,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        if self.is_model:
            entry |= {
                "phase": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
        return entry

    async def _beat(self):
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                await self._tell("PUT", self._entry())
            await asyncio.sleep(1.2 * self._random.uniform(0.95, 1.05))

    async def _tell(self, method, body):
        preferred = getattr(self, "_preferred", None)
        order = self._random.sample(self._controls, len(self._controls))
        if preferred:
            order.insert(0, preferred)
        for address in order[:4]:
            self.beats_sent += 1
            try:
                status, reply = await asyncio.wait_for(
                    call(
                        self._wire,
                        address,
                        method,
                        "/v1/instances/{}",
                        body,
                        self.id,
                    ),
                    1.0,
                )
            except (
                TimeoutError,
                OSError,
                asyncio.IncompleteReadError,
                ValueError,
            ):
                self._preferred = None
                continue
            if 200 <= status < 300:
                self.beats_acknowledged += 1
                given = (
                    reply.get("heartbeat_addr")
                    if isinstance(reply, dict)
                    else None
                )
                self._preferred = given or address
                return True
            self._preferred = None
        return False

    async def _serve(self, reader, writer):
        if len(self._writers) >= self._limit:
            writer.transport.abort()
            return
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await asyncio.wait_for(
                    read_message(reader), IDLE_SECONDS
                )
                method, path, _ = first.split(" ", 2)
                if not await self._answer(
                    method, path, headers, body, reader, writer
                ):
                    return
        except (
            TimeoutError,
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _answer(self, method, path, headers, body, reader, writer):
        own = await self._answer_own(method, path, body, writer)
        if own is not None:
            return own
        attempt = headers.get("x-marjoramyard-attempt-id", "")
        self._ledger.arrivals[attempt].append(
            Arrival(time.monotonic(), self.service, self.id, False)
        )
        arrival = self._ledger.arrivals[attempt][-1]
        target = headers.get("x-marjoramyard-target-instance")
        if target and target != self.id:
            return self._write(
                writer, 421, {"X-Marjoramyard-Instance-Id": self.id}
            )
        refused = {"X-Marjoramyard-Not-Executed": "1"}
        if not attempt:
            return self._write(writer, 400, refused)
        if "kv-from" in headers or self._waiting >= self._queue_limit:
            return self._write(writer, 503, refused)
        fault = Fault.NONE
        if self._random.random() < self._fault_share:
            fault = self._fault
        if fault is Fault.SHED:
            return self._write(writer, 503, refused)
        if fault in BROKEN:
            self._ledger.broken.add(attempt)
        deadline = (
            time.monotonic()
            + int(headers.get("x-marjoramyard-deadline-ms", 5000)) / 1e3
        )
        self._waiting += 1
        try:
            await asyncio.wait_for(
                self._slots.acquire(), max(0.01, deadline - time.monotonic())
            )
        except TimeoutError:
            return self._write(writer, 503, refused)
        finally:
            self._waiting -= 1
        self._active += 1
        try:
            if reader.at_eof():
                return False
            return await self._run(
                attempt, headers, fault, arrival, deadline, reader, writer
            )
        except asyncio.CancelledError:
            self._ledger.broken.add(attempt)
            raise
        finally:
            self._active -= 1
            self._slots.release()

    async def _run(
        self, attempt, headers, fault, arrival, deadline, reader, writer
    ):
        signature = f"3e1b.{self.id}.{attempt}"
        shared = {
            "X-Marjoramyard-Attempt-Id": attempt,
            "X-Marjoramyard-Engine-Signature": signature,
            "Keep-Alive": f"timeout={int(IDLE_SECONDS)}",
        }
        closes = self._random.random() < 0.005
        if closes:
            shared["Connection"] = "close"
        if not self.is_model:
            work = min(0.22, self._random.lognormvariate(-3.6, 0.5))
            arrival.ran = True
            await asyncio.sleep(work * (5 if fault is Fault.SLOW else 1))
            if not await self._misbehave(
                fault, shared, reader, writer, deadline
            ):
                return False
            self._ledger.statuses[attempt] = 200
            body = plain_body(attempt, self._random.randint(300, 1600))
            self._write(writer, 200, shared, body)
            if fault is Fault.EXTRA:
                self._write(writer, 200, shared, body)
            await writer.drain()
            return not closes
        await self._prefill_prompt(headers, 5 if fault is Fault.SLOW else 1)
        if reader.at_eof() or time.monotonic() > deadline:
            return False
        arrival.ran = True
        if not await self._misbehave(fault, shared, reader, writer, deadline):
            return False
        tokens = int(
            headers.get("x-marjoramyard-token-counts", "10,40").split(",")[1]
        )
        total = max(1, tokens // TOKENS_PER_EVENT)
        first = int(headers.get("last-event-id", 0) or 0) + 1
        self._ledger.statuses[attempt] = 200
        writer.write(
            self._head(
                200,
                {
                    **shared,
                    "Content-Type": "text/event-stream",
                    "X-Marjoramyard-Weight-Versions": "1",
                    "Transfer-Encoding": "chunked",
                },
            )
        )
        for number in range(first, total + 1):
            data = event(attempt, number)
            if fault is Fault.CUT and number > total // 2:
                writer.write(b"%x\r\n%s" % (len(data), data[: len(data) // 2]))
                await writer.drain()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if (
                reader.at_eof()
                or writer.is_closing()
                or time.monotonic() > deadline
            ):
                return False
            step = STEP_MS + STEP_MS_PER_SLOT * self._active
            await asyncio.sleep(
                step
                * TOKENS_PER_EVENT
                / 1e3
                * (5 if fault is Fault.SLOW else 1)
            )
        writer.write(b"0\r\n\r\n")
        if fault is Fault.EXTRA:
            writer.write(self._head(200, {**shared, "Content-Length": "0"}))
        await writer.drain()
        return not closes

    async def _misbehave(self, fault, shared, reader, writer, deadline):
        """Returns whether the request goes on."""
        if fault is Fault.ERRORS:
            self._write(writer, 500, shared, b"failed")
            await writer.drain()
            return False
        if fault in (Fault.HANG, Fault.MUTE):
            while not reader.at_eof() and time.monotonic() < deadline + 2:
                await asyncio.sleep(0.1)
            return False
        if fault in (Fault.RESET, Fault.ANSWER_LOST):
            writer.transport.abort()
            return False
        if fault is Fault.GARBAGE:
            writer.write(b"\x00\xffgarbled" * 400)
            await writer.drain()
            return False
        if fault is Fault.ENDLESS:
            writer.write(self._head(200, {**shared, "Connection": "close"}))
            sent = 0
            while (
                sent < ENDLESS_BYTES
                and time.monotonic() < deadline
                and not reader.at_eof()
            ):
                writer.write(b"y" * 65536)
                sent += 65536
                await writer.drain()
            return False
        return True

    async def _prefill_prompt(self, headers, slowness):
        async with self._prefill:
            prompt = int(
                headers.get("x-marjoramyard-token-counts", "10,40").split(",")[
                    0
                ]
            )
            cached, kept = 0, True
            for part in headers.get("x-marjoramyard-prefix-hash", "").split(
                ","
            ):
                name, _, tokens = part.partition(":")
                tokens = int(tokens or 0)
                if kept and name in self._cache:
                    cached += tokens
                    self._cache.move_to_end(name)
                else:
                    kept = False
                    self._remember(name, tokens)
            await asyncio.sleep(
                (5 + max(0, prompt - cached) / PREFILL_TOKENS_PER_MS)
                / 1e3
                * slowness
            )

    def _remember(self, name, tokens):
        self._cache[name] = tokens
        self._kv_events.append(
            [len(self._kv_events) + 1, "+", "", name, tokens, "m"]
        )
        while sum(self._cache.values()) > 180_000:
            gone, _ = self._cache.popitem(last=False)
            self._kv_events.append(
                [len(self._kv_events) + 1, "-", "", gone, 0, "m"]
            )
        self._kv_changed.set()
        self._kv_changed = asyncio.Event()

    async def _answer_own(self, method, path, body, writer):
        """Answers the calls of an engine's own interface; None for others."""
        bare, _, query = path.partition("?")
        if bare == "/healthz":
            return self._write(
                writer, 200, {"X-Marjoramyard-Instance-Id": self.id}
            )
        if not bare.startswith("/v1/"):
            return None
        if bare == "/v1/report":
            return self._write_json(
                writer,
                {
                    "phase": "mixed",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": False,
                    "seq": 0,
                    "queued": self._waiting,
                    "active": self._active,
                    "kv_used": self._active * 2000,
                    "kv_total": 235664,
                    "kv_handles": 0,
                    "pinned": 0,
                    "held": 0,
                    "state": self.state,
                    "next": 0,
                    "runs": [],
                    "born": self._born,
                },
            )
        if bare == "/v1/kv-list":
            held = [
                ["", name, tokens, "m"] for name, tokens in self._cache.items()
            ]
            return self._write_json(
                writer,
                {
                    "epoch": self._born,
                    "next": len(self._kv_events) + 1,
                    "held": held,
                    "born": self._born,
                },
            )
        if bare == "/v1/kv-events":
            return await self._answer_kv_events(query, writer)
        if bare == "/v1/hold-take":
            return self._write_json(
                writer,
                {
                    "retention": f"r{self._random.getrandbits(40):x}",
                    "born": self._born,
                },
            )
        if bare.startswith(("/v1/hold-drop/", "/v1/kv-pin/", "/v1/kv-handle/")):
            return self._write(writer, 200, {})
        return self._write(writer, 404, {})

    async def _answer_kv_events(self, query, writer):
        since = 0
        for part in query.split("&"):
            if part.startswith("since="):
                since = int(part[6:] or 0)
        if since >= len(self._kv_events) + 1:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._kv_changed.wait(), 1.0)
        return self._write_json(
            writer,
            {
                "epoch": self._born,
                "next": len(self._kv_events) + 1,
                "lost": False,
                "events": self._kv_events[max(0, since - 1) :],
                "born": self._born,
            },
        )

    def _write_json(self, writer, value):
        return self._write(
            writer,
            200,
            {"Content-Type": "application/json"},
            json.dumps(value).encode(),
        )

    def _write(self, writer, status, headers, body=b""):
        writer.write(
            self._head(status, {**headers, "Content-Length": str(len(body))})
            + body
        )
        return headers.get("Connection") != "close"

    @staticmethod
    def _head(status, headers):
        lines = [f"HTTP/1.1 {status} Text"] + [
            f"{k}: {v}" for k, v in headers.items()
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def call(wire, address, method, path, body, argument="", hops=2):
    """Calls a host of the control plane; returns status and decoded body."""
    host, _, port = address.rpartition(":")
    own_method, own_path = (
        wire.call(method, path, argument) if wire else (method, path)
    )
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=4 << 20
    )
    try:
        data = (
            b""
            if body is None
            else (
                body
                if isinstance(body, bytes)
                else json.dumps(wire.body(body)).encode()
            )
        )
        head = (
            f"{own_method} {own_path} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + data)
        first, headers, reply = await read_message(reader)
    finally:
        writer.close()
    status = int(first.split(" ")[1])
    if status == 307 and hops and "location" in headers:
        target = headers["location"].split("//", 1)[-1].split("/", 1)[0]
        return await call(wire, target, method, path, body, argument, hops - 1)
    try:
        return status, json.loads(reply) if reply else None
    except ValueError:
        return status, None
