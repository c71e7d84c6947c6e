"""An operator that changes the configuration and reads it back."""

import asyncio
import random
import time

import aiohttp
import msgspec

from soak.callers import KEY_COUNT, api_key
from soak.endpoints import ENGINE_SERVICE, SERVICE
from soak.floods import FLOOD_HOST, FLOOD_SERVICE
from soak.raw_connections import RawConnections, http_request
from soak.record import (
    STREAM_KINDS,
    ConfigChange,
    ConfigRead,
    Record,
    RouteKind,
    added_hostname,
)

PUT_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 1.2
READ_INTERVAL_SECONDS = 0.4
KEPT_VERSIONS = 40
"""How many versions the route that a version adds is kept."""
RETRY_INTERVAL_SECONDS = 0.2

TIMEOUT_MS = 2000
LONG_TIMEOUT_MS = 15_000
ENGINE = {"slots": 64, "memory_tokens": 1_000_000}
TOKENS_PER_SECOND = 100_000

REQUEST_KINDS = {
    RouteKind.PLAIN: "idempotent",
    RouteKind.NON_IDEMPOTENT: "non_idempotent",
    RouteKind.STREAM: "stream",
    RouteKind.RESUMABLE_STREAM: "stream",
    RouteKind.KEYED: "idempotent",
}


def put_config_request(config: dict) -> tuple[bytes, bytes]:
    """Returns the head and the body of a request that sends a configuration."""
    headers = {"Host": "control", "Content-Type": "application/json"}
    body = msgspec.json.encode(config)
    return http_request("PUT", "/fleet-config", headers, body)


class Operator:
    """Sends configurations with increasing versions.

    Attributes:
        acknowledged: The newest configuration that was acknowledged.
        connections: Open connections for changes.
    """

    def __init__(
        self,
        record: Record,
        hosts: list[str],
        seed: int,
        has_engines: bool = False,
    ):
        self.record = record
        self.hosts = hosts
        self.has_engines = has_engines
        self.rng = random.Random(seed + 2)
        self.version = 0
        self.added: list[int] = []
        self.revoked: list[str] = []
        self.acknowledged: dict | None = None
        self.connections = RawConnections(record, "control", hosts)
        self.stopped = False
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
        self.session = aiohttp.ClientSession(timeout=timeout)

    def config(self) -> dict:
        """Returns the configuration of the current version."""
        routes = [
            {
                "name": kind.value,
                "hostname": "shop.example",
                "path_prefix": f"/{kind.value}/",
                "request_kind": REQUEST_KINDS[kind],
                "timeout_ms": self.timeout_ms(kind),
                "objective_ms": 500,
                "service": ENGINE_SERVICE
                if self._needs_engine(kind)
                else SERVICE,
                "max_attempts": 2,
                "open_access": kind is not RouteKind.KEYED,
                "resumable": kind is RouteKind.RESUMABLE_STREAM,
            }
            for kind in RouteKind
        ]
        routes += [
            routes[0] | {"name": f"v{added}", "hostname": added_hostname(added)}
            for added in self.added[-KEPT_VERSIONS:]
        ]
        routes.append(
            routes[0]
            | {
                "name": "flood",
                "hostname": FLOOD_HOST,
                "path_prefix": "/flood/",
                "service": FLOOD_SERVICE,
            }
        )
        keys = [
            api_key(n)
            for n in range(KEY_COUNT)
            if api_key(n) not in self.revoked
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE}, {"name": FLOOD_SERVICE}],
            "workspaces": [{"name": "shop", "api_keys": keys}],
        }
        if self.has_engines:
            engines = {"name": ENGINE_SERVICE, "engine": ENGINE}
            config["services"].append(engines)
            config["limits"] = {"tokens_per_s": TOKENS_PER_SECOND}
        return config

    def timeout_ms(self, kind: RouteKind) -> int:
        """Returns the timeout of the routes of a kind."""
        return LONG_TIMEOUT_MS if self._needs_engine(kind) else TIMEOUT_MS

    def allowed_seconds(
        self, kind: RouteKind, deadline_seconds: float
    ) -> float:
        """Returns the time that a request has by its deadline and its route."""
        return min(deadline_seconds, self.timeout_ms(kind) / 1000)

    def _needs_engine(self, kind: RouteKind) -> bool:
        return self.has_engines and kind in STREAM_KINDS

    async def change(self, revoked_key: str = "") -> None:
        """Sends a new version until it is acknowledged or the run ends."""
        self.version += self.rng.choice((1, 1, 3))
        self.added.append(self.version)
        revoked = [revoked_key] if revoked_key else []
        self.revoked += revoked
        config = self.config()
        version = self.version
        change = ConfigChange(
            version=version,
            sent_at=time.monotonic(),
            acknowledged_at=0.0,
            revoked_keys=revoked,
        )
        while not await self._put(config):
            if self.stopped:
                self.record.unacknowledged.append(version)
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        change.acknowledged_at = time.monotonic()
        self.record.config_changes.append(change)
        if self.acknowledged is None or self.acknowledged["version"] < version:
            self.acknowledged = config

    async def revoke(self) -> None:
        """Revokes an API key unless only two are left."""
        left = [
            api_key(n)
            for n in range(KEY_COUNT)
            if api_key(n) not in self.revoked
        ]
        if len(left) > 2:
            await self.change(left[0])

    async def _put(self, config: dict) -> bool:
        response = await self.connections.send(
            self.rng.randrange(len(self.hosts)),
            f"config {config['version']}",
            [b"".join(put_config_request(config))],
            PUT_TIMEOUT_SECONDS,
        )
        return response is not None and response.status == 200

    async def close(self) -> None:
        """Closes all connections."""
        self.connections.close()
        await self.session.close()

    async def read(self, host: int) -> int | None:
        """Reads the version in force from a control host.

        Returns:
            The version; None if the host did not return one in time.
        """
        sent_at = time.monotonic()
        url = f"http://{self.hosts[host]}/fleet-config"
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                async with self.session.get(url) as response:
                    if response.status != 200:
                        return None
                    version = (await response.json())["version"]
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        self.record.config_reads.append(
            ConfigRead(host=host, version=version, sent_at=sent_at)
        )
        return version

    async def read_repeatedly(self) -> None:
        """Reads the version from random hosts until `stopped` is set."""
        while not self.stopped:
            await self.read(self.rng.randrange(len(self.hosts)))
            await asyncio.sleep(READ_INTERVAL_SECONDS)
