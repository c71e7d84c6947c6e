"""Callers of the runner: traffic by the sheet, and what came back."""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import random
import time
import zlib

from limited_engines import event

KEEP_SECONDS = 12.0
KEPT_SHARE = 0.6


class Outcome(enum.Enum):
    """How a client attempt ended."""

    SERVED = "served"
    STATUS = "status"
    CLOSED = "closed"
    CUT = "cut"
    NO_CONNECTION = "no_connection"
    TIMED_OUT = "timed_out"
    LEFT = "left"
    MIXED = "mixed"


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request of the sheet.

    Attributes:
        per_second: Requests a second at the rate 1.
        deadline: Seconds until the caller gives up; goes into the request.
        timeout: Timeout of the route, in seconds.
        objective: Objective of the route, in seconds.
        prompt: Mean and most tokens of the part that is a request's own.
        parts: Tokens and number of choices of each shared part of a prompt.
        events: Mean and most events of a stream.
        body_bytes: Mean size of a body.
    """

    name: str
    service: str
    method: str
    per_second: float
    deadline: float
    timeout: float
    objective: float
    streams: bool
    resumable: bool
    repeatable: bool
    prompt: tuple
    parts: tuple
    events: tuple
    body_bytes: int

    @property
    def request_kind(self):
        """The word for this kind in the config's routes."""
        if self.streams:
            return "streaming"
        return "idempotent" if self.repeatable else "non_idempotent"


KINDS = (
    Kind(
        "trip-guide",
        "assistant-llm",
        "POST",
        21.6,
        5.006,
        5.0,
        0.8,
        True,
        True,
        True,
        (2890, 39600),
        ((2520, 4), (3780, 68)),
        (13, 52),
        18000,
    ),
    Kind(
        "fit-advice",
        "assistant-llm",
        "POST",
        23.2,
        3.003,
        3.0,
        0.6,
        True,
        False,
        False,
        (1800, 6870),
        ((341, 8), (227, 72)),
        (6, 22),
        4700,
    ),
    Kind(
        "counter-chat",
        "assistant-llm",
        "POST",
        12.0,
        15.015,
        15.0,
        0.4,
        True,
        True,
        True,
        (543, 2310),
        ((103, 40), (69, 84)),
        (70, 221),
        1400,
    ),
    Kind(
        "deposit-hold",
        "rental-api",
        "POST",
        5.9,
        1.002,
        1.0,
        0.2,
        False,
        False,
        False,
        (0, 0),
        (),
        (0, 0),
        600,
    ),
    Kind(
        "stock-check",
        "rental-api",
        "GET",
        4.0,
        1.002,
        1.0,
        0.2,
        False,
        False,
        True,
        (0, 0),
        (),
        (0, 0),
        0,
    ),
)


@dataclasses.dataclass
class Attempt:
    """One attempt of a request, and what came of it.

    Attributes:
        machine: Name of the gateway's machine.
        kept: Whether it was sent on a kept channel.
        sent_whole_at: Time after the last byte was written; 0 if it was not.
        note: Details of the outcome.
    """

    id: str
    kind: Kind
    machine: str
    kept: bool
    sent_at: float
    deadline_at: float
    sent_whole_at: float = 0.0
    ended_at: float = 0.0
    outcome: Outcome = Outcome.TIMED_OUT
    status: int = 0
    note: str = ""


@dataclasses.dataclass
class Behaviour:
    """What troubles change of the traffic."""

    rate: float = 1.0
    rate_of_kind: dict = dataclasses.field(default_factory=dict)
    body_factor: float = 1.0
    leave_share: float = 0.0
    slow_share: float = 0.0
    retries: int = 1
    hot_tenant: str = ""
    hot_factor: float = 1.0
    hot_key_share: float = 0.0


class Entry:
    """The address that callers know: it picks a gateway that is in rotation."""

    def __init__(self, machines, ready_port, frontend_port):
        self._machines = machines
        self._ready_port, self.frontend_port = ready_port, frontend_port
        self._misses = collections.Counter()
        self.in_rotation = set()
        self.not_ready_seconds = collections.Counter()

    async def watch(self):
        """Asks all gateways once a second whether they are ready."""
        while True:
            await asyncio.gather(
                *(self._ask(machine) for machine in self._machines)
            )
            await asyncio.sleep(1.0)

    async def _ask(self, machine):
        try:
            good = await asyncio.wait_for(self._is_ready(machine), 0.9)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            good = False
        if good:
            self._misses[machine.name] = 0
            self.in_rotation.add(machine.name)
        else:
            self._misses[machine.name] += 1
            self.not_ready_seconds[machine.name] += 1
            if self._misses[machine.name] >= 2:
                self.in_rotation.discard(machine.name)

    async def _is_ready(self, machine):
        reader, writer = await asyncio.open_connection(
            machine.address, self._ready_port
        )
        try:
            writer.write(
                b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def pick(self, zone, client, turn):
        """Returns the machine for a client's turn, of its zone if possible.

        If none of the zone is in rotation, it is one of another zone that is;
        if less than half of the zone are, it is any of the zone.
        """
        own = [m for m in self._machines if m.zone == zone]
        ready = [m for m in own if m.name in self.in_rotation]
        if not ready:
            ready = [
                m for m in self._machines if m.name in self.in_rotation
            ] or own
        elif len(ready) * 2 < len(own):
            ready = own
        return ready[zlib.crc32(f"{client}/{turn}".encode()) % len(ready)]


@dataclasses.dataclass
class Channel:
    """A connection to a gateway, which may be kept for later requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    machine: object
    idle_since: float = 0.0


class Callers:
    """All clients of a day."""

    def __init__(self, entry, plan, ledger, seed, zones, most=4000):
        self._entry, self._plan, self._ledger = entry, plan, ledger
        self._random = random.Random(seed)
        self._zones = zones
        self._idle = collections.defaultdict(list)
        self._tasks = set()
        self._most = most
        self.behaviour = Behaviour()
        self.attempts = []
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self.skipped = 0

    async def run(self):
        """Starts requests at the rate of the sheet."""
        while True:
            rates = [
                k.per_second
                * self.behaviour.rate
                * self.behaviour.rate_of_kind.get(k.name, 1.0)
                for k in KINDS
            ]
            extra = 1 + (self.behaviour.hot_factor - 1) * 0.12
            await asyncio.sleep(self._random.expovariate(sum(rates) * extra))
            kind = self._random.choices(KINDS, rates)[0]
            if len(self._tasks) >= self._most:
                self.skipped += 1
                continue
            task = asyncio.create_task(self._request(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self, seconds):
        """Waits for open requests, then cancels them and closes channels."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        for channels in self._idle.values():
            for channel in channels:
                channel.writer.transport.abort()

    async def _request(self, kind):
        zone = self._random.choice(self._zones)
        client = self._random.randrange(30)
        deadline_at = time.monotonic() + kind.deadline
        self.offered[kind.name] += 1
        tenant = self._pick_tenant()
        prompt = self._prompt(kind)
        leaves = self._random.random() < self.behaviour.leave_share
        for turn in range(1 + self.behaviour.retries):
            channel, attempt = await self._open(
                kind, zone, client, turn, deadline_at
            )
            self.attempts.append(attempt)
            if channel is None:
                if time.monotonic() + 0.1 > deadline_at:
                    return
                continue
            limit = deadline_at - time.monotonic()
            if leaves:
                limit = min(limit, kind.objective * self._random.random())
            retry_after = None
            try:
                retry_after = await asyncio.wait_for(
                    self._exchange(channel, attempt, tenant, prompt),
                    max(0.01, limit),
                )
            except TimeoutError:
                attempt.outcome = Outcome.LEFT if leaves else Outcome.TIMED_OUT
                channel.writer.transport.abort()
            except (
                OSError,
                asyncio.IncompleteReadError,
                ValueError,
                asyncio.LimitOverrunError,
            ) as error:
                if attempt.outcome is not Outcome.CUT:
                    attempt.outcome = Outcome.CLOSED
                attempt.note = repr(error)[:80]
                channel.writer.transport.abort()
            attempt.ended_at = time.monotonic()
            if attempt.outcome is Outcome.SERVED:
                self.served[kind.name] += 1
                return
            if not await self._may_retry(attempt, retry_after, deadline_at):
                return

    async def _may_retry(self, attempt, retry_after, deadline_at):
        left = deadline_at - time.monotonic()
        if left < 0.1 or attempt.outcome in (
            Outcome.LEFT,
            Outcome.MIXED,
            Outcome.TIMED_OUT,
        ):
            return False
        if attempt.outcome is Outcome.STATUS:
            if attempt.status in (400, 401, 404, 413, 431):
                return False
            if (
                attempt.status not in (408, 421, 429, 503)
                and not attempt.kind.repeatable
            ):
                return False
        elif not attempt.kind.repeatable:
            return False
        if self.behaviour.retries == 1:
            await asyncio.sleep(min(retry_after or 0.02, left / 3))
        return True

    def _pick_tenant(self):
        tenants = self._plan.tenants()
        hot = self.behaviour.hot_tenant
        if (
            hot in tenants
            and self._random.random()
            < 0.1
            * self.behaviour.hot_factor
            / (1 + 0.1 * self.behaviour.hot_factor)
        ):
            return hot
        names = list(tenants)
        return self._random.choices(
            names, [1 / (i + 1) ** 1.2 for i in range(len(names))]
        )[0]

    def _prompt(self, kind):
        if not kind.streams:
            return None
        own = min(
            kind.prompt[1],
            self._random.lognormvariate(0, 1.0) * kind.prompt[0] * 0.61,
        )
        parts = []
        for number, (tokens, things) in enumerate(kind.parts):
            thing = (
                0
                if self._random.random() < self.behaviour.hot_key_share
                else (self._random.randrange(things))
            )
            name = zlib.crc32(f"{kind.name}/{number}/{thing}".encode())
            parts.append((f"{name:08x}", tokens))
        parts.append((f"{self._random.getrandbits(32):08x}", int(own) + 1))
        events = min(
            kind.events[1],
            int(self._random.lognormvariate(0, 0.8) * kind.events[0] * 0.73)
            + 1,
        )
        return parts, events

    async def _open(self, kind, zone, client, turn, deadline_at):
        now = time.monotonic()
        attempt_id = f"{self._random.getrandbits(64):016x}"
        idle = self._idle[zone]
        while idle and turn == 0 and self._random.random() < KEPT_SHARE:
            channel = idle.pop(self._random.randrange(len(idle)))
            if (
                now - channel.idle_since < KEEP_SECONDS
                and not channel.reader.at_eof()
                and (not channel.writer.is_closing())
            ):
                return channel, Attempt(
                    attempt_id,
                    kind,
                    channel.machine.name,
                    True,
                    now,
                    deadline_at,
                )
            channel.writer.close()
        machine = self._entry.pick(
            zone, f"{zone}/{client}/{self._random.randrange(3)}", turn
        )
        attempt = Attempt(
            attempt_id, kind, machine.name, False, now, deadline_at
        )
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    machine.address, self._entry.frontend_port, limit=1 << 20
                ),
                1.0,
            )
        except (TimeoutError, OSError) as error:
            attempt.outcome, attempt.note = (
                Outcome.NO_CONNECTION,
                repr(error)[:60],
            )
            attempt.ended_at = time.monotonic()
            return None, attempt
        return Channel(reader, writer, machine), attempt

    def _head(self, attempt, tenant, prompt, size):
        host, path, key = self._plan.place(attempt.kind, tenant, self._random)
        left = int((attempt.deadline_at - time.monotonic()) * 1000)
        lines = [
            f"{attempt.kind.method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Marjoramyard-Attempt-Id: {attempt.id}",
            f"X-Marjoramyard-Deadline-Ms: {max(1, left)}",
        ]
        if prompt:
            parts, events = prompt
            total = sum(tokens for _, tokens in parts)
            lines += [
                "X-Marjoramyard-Model: m",
                f"X-Marjoramyard-Token-Counts: {total},{events * 4}",
                "X-Marjoramyard-Prefix-Hash: "
                + ",".join(f"{name}:{tokens}" for name, tokens in parts),
                f"X-Marjoramyard-Length-Hint: {events * 4}",
            ]
            lines.append(f"X-Api-Key: {key}")
        if attempt.kind.method == "POST":
            lines.append(f"Content-Length: {size}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _exchange(self, channel, attempt, tenant, prompt):
        kind = attempt.kind
        size = 0
        if kind.method == "POST":
            size = int(
                min(
                    4_000_000,
                    kind.body_bytes
                    * self.behaviour.body_factor
                    * self._random.uniform(0.5, 1.5),
                )
            )
        body = b"b" * size
        channel.writer.write(self._head(attempt, tenant, prompt, size) + body)
        await channel.writer.drain()
        attempt.sent_whole_at = time.monotonic()
        reader = channel.reader
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        headers = {
            k.strip().lower(): v.strip()
            for k, _, v in (line.partition(":") for line in lines)
        }
        attempt.status = int(first.split(" ")[1])
        attempt.outcome = Outcome.CUT
        slow = self._random.random() < self.behaviour.slow_share
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = await self._read_chunks(reader, slow)
            whole = True
        elif "content-length" in headers:
            data = await reader.readexactly(int(headers["content-length"]))
            whole = True
        else:
            data = await reader.read(1 << 20)
            whole = False
        self._judge(attempt, headers, data, prompt)
        closes = headers.get("connection", "").lower() == "close" or not whole
        if closes:
            channel.writer.close()
        else:
            channel.idle_since = time.monotonic()
            self._idle[self._zone_of(channel)].append(channel)
        with contextlib.suppress(ValueError):
            return (
                float(headers["retry-after"])
                if "retry-after" in headers
                else None
            )
        return None

    @staticmethod
    def _zone_of(channel):
        return channel.machine.zone

    @staticmethod
    async def _read_chunks(reader, slow):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if slow:
                await asyncio.sleep(0.3)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)

    @staticmethod
    def _judge(attempt, headers, data, prompt):
        if not 200 <= attempt.status < 300:
            attempt.outcome = Outcome.STATUS
            attempt.note = data[:80].decode("latin-1")
            return
        attempt.outcome = Outcome.SERVED
        if "x-marjoramyard-engine-signature" not in headers:
            attempt.outcome, attempt.note = Outcome.MIXED, "no signature"
        elif prompt:
            wanted = b"".join(
                event(attempt.id, n) for n in range(1, prompt[1] + 1)
            )
            if data != wanted:
                attempt.outcome, attempt.note = (
                    Outcome.MIXED,
                    (f"{len(data)} of {len(wanted)} bytes"),
                )
        elif not data.startswith(attempt.id.encode()):
            attempt.outcome, attempt.note = (
                Outcome.MIXED,
                "another request's body",
            )
