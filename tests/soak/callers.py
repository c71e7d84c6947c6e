"""Callers that use open connections until the process is gone."""

import asyncio
import itertools
import random
import time

import aiohttp

from soak.record import STREAMS, Call, Kind, Record

PATIENCE_SECONDS = 2.5
HARD_SECONDS = 6.0
"""A caller that hears nothing at all hangs up after this."""
PAUSE_SECONDS = 0.03
KEYS = 6


def key(number: int) -> str:
    """Returns one of the workspace's keys."""
    return f"key-{number}"


class Callers:
    """Sends requests to all gateways, ready or not, and notes the answers."""

    def __init__(self, record: Record, addresses: list[str], seed: int):
        self.record = record
        self.addresses = addresses
        self.rng = random.Random(seed + 1)
        self.seed = seed
        self.numbers = itertools.count(1)
        self.stopped = False
        self.sessions: list[aiohttp.ClientSession] = []

    async def run(self, count: int) -> None:
        """Runs so many callers until told to stop."""
        timeout = aiohttp.ClientTimeout(total=HARD_SECONDS, sock_connect=1.0)
        self.sessions = [
            aiohttp.ClientSession(
                timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
            )
            for _ in self.addresses
        ]
        try:
            await asyncio.gather(*(self._call_on() for _ in range(count)))
        finally:
            for session in self.sessions:
                await session.close()

    async def _call_on(self) -> None:
        while not self.stopped:
            await self._call()
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_SECONDS))

    async def _call(self) -> None:
        gateway = self.rng.randrange(len(self.addresses))
        kind = self.rng.choice([*Kind])
        call = Call(
            id=f"{self.seed}-{next(self.numbers)}",
            kind=kind,
            gateway=gateway,
            sent_at=time.monotonic(),
            patience=PATIENCE_SECONDS,
        )
        if kind is Kind.KEYED:
            call.key = key(self.rng.randrange(KEYS))
        self.record.calls.append(call)
        try:
            await self._send(call)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            call.error = repr(error)[:200]
        call.ended_at = time.monotonic()

    async def _send(self, call: Call) -> None:
        headers = {
            "Host": "shop.example",
            "Request-Id": call.id,
            "Request-Deadline-Ms": str(int(call.patience * 1000)),
        }
        if call.key:
            headers["Api-Key"] = call.key
        url = f"http://{self.addresses[call.gateway]}/{call.kind.value}/x"
        session = self.sessions[call.gateway]
        async with session.post(url, headers=headers, data=b"?") as response:
            call.status = response.status
            call.retry_after = response.headers.get("Retry-After", "")
            if call.kind in STREAMS and call.status == 200:
                async for data in response.content.iter_any():
                    call.body += data.decode()
            else:
                call.body = (await response.read()).decode()
            call.is_whole = True
