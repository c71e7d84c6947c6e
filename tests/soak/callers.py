"""Callers that send requests over keep-alive connections."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Sequence

import aiohttp

from soak.record import (
    REPEATABLE_KINDS,
    SHARED_PART,
    STREAM_KINDS,
    Call,
    Record,
    RouteKind,
    added_hostname,
    event_count,
    last_event,
)

DEADLINE_SECONDS = 2.5
CLIENT_TIMEOUT_SECONDS = 6.0
"""Timeout of the HTTP client, later than the request's own deadline."""
MEAN_PAUSE_SECONDS = 0.03
CRASHING_PAUSE_SECONDS = 0.3
KEY_COUNT = 6
ADDED_ROUTE_SHARE = 0.5
"""Share of the plain calls that use the newest route that was added."""
MAX_RESUMES = 2
LEAVE_AFTER = 1
"""Events after which a caller leaves a stream that it takes up again."""


def api_key(number: int) -> str:
    """Returns an API key of the workspace."""
    return f"key-{number}"


class Callers:
    """Sends requests to random gateways and records the responses.

    Gateways that are not ready are called too.
    """

    def __init__(self, record: Record, addresses: list[str], seed: int):
        self.record = record
        self.addresses = addresses
        self.rng = random.Random(seed + 1)
        self.version_rng = random.Random(f"versions-{seed}")
        self.seed = seed
        self.call_numbers = itertools.count(1)
        self.stopped = False
        self.sessions: list[aiohttp.ClientSession] = []

    async def run(self, count: int) -> None:
        """Runs `count` callers until `stopped` is set."""
        timeout = aiohttp.ClientTimeout(
            total=CLIENT_TIMEOUT_SECONDS, sock_connect=1.0
        )
        self.sessions = [
            aiohttp.ClientSession(
                timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
            )
            for _ in self.addresses
        ]
        try:
            await asyncio.gather(
                *(self._call_repeatedly() for _ in range(count))
            )
        finally:
            for session in self.sessions:
                await session.close()

    async def _call_repeatedly(self) -> None:
        while not self.stopped:
            await self._call()
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    async def _call(self) -> None:
        gateway = self.rng.randrange(len(self.addresses))
        kind = self.rng.choice([*RouteKind])
        call = Call(
            id=f"{self.seed}-{next(self.call_numbers)}",
            kind=kind,
            gateway=gateway,
            sent_at=time.monotonic(),
            deadline_seconds=DEADLINE_SECONDS,
        )
        if kind is RouteKind.KEYED:
            call.key = api_key(self.rng.randrange(KEY_COUNT))
        if kind is RouteKind.PLAIN and self.record.config_changes:
            # Its own generator leaves the other calls of a seed as they were.
            if self.version_rng.random() < ADDED_ROUTE_SHARE:
                changes = self.record.config_changes
                call.version = max(change.version for change in changes)
        leaves = kind is RouteKind.RESUMABLE_STREAM and self.rng.random() < 0.5
        await self._send_recorded(call, LEAVE_AFTER if leaves else 0)
        if kind is RouteKind.RESUMABLE_STREAM:
            await self._resume_if_broken(call)

    async def _send_recorded(self, call: Call, leave_after: int = 0) -> None:
        self.record.calls.append(call)
        try:
            await self._send(call, leave_after=leave_after)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            call.error = repr(error)[:200]
        call.ended_at = time.monotonic()

    async def _resume_if_broken(self, first: Call) -> None:
        """Takes a stream up again at random gateways, up to a few times."""
        last, received = first, last_event(first.body)
        for _ in range(MAX_RESUMES):
            has_all = received >= event_count(first.id)
            if last.is_complete or not received or has_all or self.stopped:
                return
            last = Call(
                id=f"{self.seed}-{next(self.call_numbers)}",
                kind=first.kind,
                gateway=self.rng.randrange(len(self.addresses)),
                sent_at=time.monotonic(),
                deadline_seconds=DEADLINE_SECONDS,
                resumes=first.id,
                after_event=received,
            )
            await self._send_recorded(last)
            if last.status != 200:
                return
            received = max(received, last_event(last.body))

    async def send_crashing_requests(self, body: str, seconds: float) -> None:
        """Sends a request that crashes endpoints, again and again.

        Its responses are not recorded: nobody misses them.
        """
        kind = self.rng.choice([*REPEATABLE_KINDS, RouteKind.STREAM])
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.stopped:
            call = Call(
                id=f"{self.seed}-{next(self.call_numbers)}",
                kind=kind,
                gateway=self.rng.randrange(len(self.addresses)),
                sent_at=time.monotonic(),
                deadline_seconds=DEADLINE_SECONDS,
                key=api_key(0) if kind is RouteKind.KEYED else "",
            )
            with contextlib.suppress(
                aiohttp.ClientError, OSError, TimeoutError
            ):
                await self._send(call, body.encode())
            await asyncio.sleep(CRASHING_PAUSE_SECONDS)

    async def send_crashing_parts(self, part: str, seconds: float) -> None:
        """Sends requests that are never alike, with a part that crashes.

        Their responses are not recorded: nobody misses them.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until and not self.stopped:
            call = Call(
                id=f"{self.seed}-{next(self.call_numbers)}",
                kind=RouteKind.RESUMABLE_STREAM,
                gateway=self.rng.randrange(len(self.addresses)),
                sent_at=time.monotonic(),
                deadline_seconds=DEADLINE_SECONDS,
            )
            parts = [SHARED_PART, part]
            self.rng.shuffle(parts)
            with contextlib.suppress(
                aiohttp.ClientError, OSError, TimeoutError
            ):
                await self._send(call, call.id.encode(), parts=parts)
            await asyncio.sleep(CRASHING_PAUSE_SECONDS)

    async def _send(
        self,
        call: Call,
        data: bytes = b"?",
        leave_after: int = 0,
        parts: Sequence[str] = (SHARED_PART,),
    ) -> None:
        """Sends a call.

        Args:
            call: The call, which gets the response.
            data: The body.
            parts: The shared parts of its prompt.
            leave_after: The events of a stream after which its caller closes
                the connection; 0 for never.
        """
        headers = {
            "Host": added_hostname(call.version)
            if call.version
            else "shop.example",
            "Request-Id": call.id,
            "Request-Deadline-Ms": str(int(call.deadline_seconds * 1000)),
            "Prompt-Parts": ",".join(f"{p}:9" for p in (*parts, call.id)),
        }
        if call.key:
            headers["Api-Key"] = call.key
        if call.resumes:
            headers["Resumes"] = call.resumes
            headers["Last-Event-Id"] = str(call.after_event)
        url = f"http://{self.addresses[call.gateway]}/{call.kind.value}/x"
        session = self.sessions[call.gateway]
        async with session.post(url, headers=headers, data=data) as response:
            call.status = response.status
            call.retry_after = response.headers.get("Retry-After", "")
            if call.kind in STREAM_KINDS and call.status == 200:
                async for data in response.content.iter_any():
                    call.body += data.decode()
                    if leave_after and last_event(call.body) >= leave_after:
                        call.left = True
                        return
            else:
                call.body = (await response.read()).decode()
            call.is_complete = True
