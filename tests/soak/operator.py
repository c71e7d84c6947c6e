"""An operator who changes the configuration and reads it back."""

import asyncio
import random
import time

import aiohttp

from soak.callers import KEYS, key
from soak.record import Kind, Order, Read, Record

TRY_SECONDS = 3.0
READ_SECONDS = 1.2
READ_PAUSE_SECONDS = 0.4
RETRY_PAUSE_SECONDS = 0.2

REQUEST_KINDS = {
    Kind.PLAIN: "idempotent",
    Kind.ONCE: "non_idempotent",
    Kind.STREAM: "stream",
    Kind.RESUMED: "stream",
    Kind.KEYED: "idempotent",
}


class Operator:
    """Sends one version after another, several at once in a storm."""

    def __init__(self, record: Record, hosts: list[str], seed: int):
        self.record = record
        self.hosts = hosts
        self.rng = random.Random(seed + 2)
        self.version = 0
        self.lost: list[str] = []
        self.stopped = False
        timeout = aiohttp.ClientTimeout(total=TRY_SECONDS)
        self.session = aiohttp.ClientSession(timeout=timeout)

    def config(self) -> dict:
        """Returns the configuration as it should be now."""
        routes = [
            {
                "name": kind.value,
                "hostname": "shop.example",
                "path_prefix": f"/{kind.value}/",
                "request_kind": REQUEST_KINDS[kind],
                "timeout_ms": 2000,
                "objective_ms": 500,
                "service": "api",
                "max_attempts": 2,
                "open_access": kind is not Kind.KEYED,
                "resumable": kind is Kind.RESUMED,
            }
            for kind in Kind
        ]
        keys = [key(n) for n in range(KEYS) if key(n) not in self.lost]
        return {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "api"}],
            "workspaces": [{"name": "shop", "api_keys": keys}],
        }

    async def change(self, lost_key: str = "") -> None:
        """Puts a new version in force; sends it until that is clear."""
        self.version += self.rng.choice((1, 1, 3))
        lost = [lost_key] if lost_key else []
        self.lost += lost
        text = self.config()
        version = self.version
        order = Order(
            version=version,
            sent_at=time.monotonic(),
            acked_at=0.0,
            lost_keys=lost,
        )
        while not await self._put(text):
            if self.stopped:
                self.record.unclear.append(version)
                return
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        order.acked_at = time.monotonic()
        self.record.orders.append(order)

    async def revoke(self) -> None:
        """Takes a key away; the last two stay."""
        left = [key(n) for n in range(KEYS) if key(n) not in self.lost]
        if len(left) > 2:
            await self.change(left[0])

    async def _put(self, config: dict) -> bool:
        url = f"http://{self.rng.choice(self.hosts)}/fleet-config"
        try:
            async with self.session.put(url, json=config) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def read(self, host: int) -> int | None:
        """Reads the version back from one host; None without an answer."""
        sent_at = time.monotonic()
        url = f"http://{self.hosts[host]}/fleet-config"
        try:
            async with asyncio.timeout(READ_SECONDS):
                async with self.session.get(url) as response:
                    if response.status != 200:
                        return None
                    version = (await response.json())["version"]
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        self.record.reads.append(
            Read(host=host, version=version, sent_at=sent_at)
        )
        return version

    async def read_forever(self) -> None:
        """Reads back from any host, over and over."""
        while not self.stopped:
            await self.read(self.rng.randrange(len(self.hosts)))
            await asyncio.sleep(READ_PAUSE_SECONDS)
