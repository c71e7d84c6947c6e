"""The operator of the runner: configs sent, acknowledged and read back."""

import asyncio
import copy
import random
import time

import limited_engines
from limited_callers import KINDS

HOSTNAME = "ficu95.example"
ERRORS = (
    OSError,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ValueError,
)


class Plan:
    """The newest config and all that were sent."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.version = 1
        tenants = []
        for number in range(16):
            keys = [f"k{self._random.getrandbits(80):020x}" for _ in range(2)]
            tenants.append(
                {"name": f"tenant{number}", "api_keys": keys, "priority": 1}
            )
        self.config = {
            "version": 1,
            "routes": [self._route(kind) for kind in KINDS]
            + [self._idle(n) for n in range(8)],
            "services": [
                {
                    "name": "assistant-llm",
                    "health_path": "/healthz",
                    "max_conns": 780,
                    "protocol": "h1",
                    "tls": False,
                    "engine": {
                        "slots": 64,
                        "kv_capacity": 235664,
                        "kv_token_bytes": 18432,
                        "link_mbps": 370000.0,
                        "moves": True,
                        "backups": True,
                        "stride": 4,
                        "most": 12,
                        "pin_ms": 4000.0,
                        "hold_ms": 2000.0,
                        "handle_ttl_s": 5.0,
                        "models": [{"name": "m"}],
                    },
                },
                {
                    "name": "rental-api",
                    "health_path": "/healthz",
                    "max_conns": 260,
                    "protocol": "h1",
                    "tls": False,
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tokens_per_s": 105000,
            },
            "tenants": tenants,
        }
        self.sent = {1: self.config}
        self.sent_at = {}
        self.acknowledged = {}
        self.requests_by_key = {}

    @staticmethod
    def _route(kind):
        return {
            "name": f"r-{kind.name}",
            "hostname": HOSTNAME,
            "path_prefix": f"/{kind.name}/",
            "route_kind": kind.request_kind,
            "timeout_ms": int(kind.timeout * 1000),
            "slo_ms": int(kind.objective * 1000),
            "priority": 1 if kind.streams else 2,
            "service": kind.service,
            "max_attempts": 2 if kind.repeatable else 1,
            "public": not kind.streams,
            "sticky": kind.streams,
            "resumable": kind.resumable,
            "itl_target_ms": 300 if kind.streams else 0,
        }

    def _idle(self, number):
        return self._route(KINDS[4]) | {
            "name": f"idle{number}",
            "path_prefix": f"/idle{number}/",
        }

    def tenants(self):
        """Returns the keys of each tenant in the newest config."""
        return {
            tenant["name"]: tenant["api_keys"]
            for tenant in self.config["tenants"]
        }

    def place(self, kind, tenant, generator):
        """Returns the host, path and key for a request of a tenant."""
        keys = self.tenants().get(tenant) or [""]
        return HOSTNAME, f"/{kind.name}/{generator.randrange(90)}f", keys[0]

    def change(self, how="idle"):
        """Returns a new version of the config."""
        config = copy.deepcopy(self.config)
        self.version += self._random.randint(1, 3)
        config["version"] = self.version
        if how == "revoke":
            tenant = self._random.choice(config["tenants"])
            tenant["api_keys"] = tenant["api_keys"][1:] + [
                f"k{self._random.getrandbits(80):020x}"
            ]
        elif how == "quota":
            config["limits"]["tokens_per_s"] = self._random.randint(
                90000, 120000
            )
        else:
            route = self._random.choice(config["routes"][5:])
            route["timeout_ms"] = self._random.randint(900, 4000)
        self.config = config
        self.sent[config["version"]] = config
        return config


class Operator:
    """Sends changes until they are acknowledged, and reads back."""

    def __init__(self, plan, fleet, wire, seed):
        self._plan, self._fleet, self._wire = plan, fleet, wire
        self._random = random.Random(seed)
        self.slow, self.older, self.unclear = [], [], 0
        self.acks = 0

    async def put(self, config, seconds=20.0, ack_lost=0.0):
        """Sends a config until it is acknowledged or refused.

        Args:
            config: The config to send.
            seconds: Time after which it gives up.
            ack_lost: Share of the acknowledgements to ignore.

        Returns:
            Whether it was acknowledged.
        """
        started = time.monotonic()
        version = config["version"]
        self._plan.sent_at[version] = started
        pause = 0.05
        while time.monotonic() < started + seconds:
            address = self._random.choice(self._fleet.control_addresses())
            try:
                status, _ = await asyncio.wait_for(
                    limited_engines.call(
                        self._wire, address, "PUT", "/v1/config", config
                    ),
                    1.0,
                )
            except ERRORS:
                status = 0
            if status == 200 and self._random.random() >= ack_lost:
                self._plan.acknowledged[version] = time.monotonic()
                self.acks += 1
                if time.monotonic() - started > 4:
                    self.slow.append(
                        (version, round(time.monotonic() - started, 2))
                    )
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 2)
        self.unclear += 1
        return False

    async def send_bad(self):
        """Sends an invalid config and notes if it is acknowledged."""
        config = copy.deepcopy(self._plan.config)
        config["version"] = self._plan.version + 1000
        config["routes"][0]["service"] = "nowhere"
        address = self._random.choice(self._fleet.control_addresses())
        try:
            status, _ = await asyncio.wait_for(
                limited_engines.call(
                    self._wire, address, "PUT", "/v1/config", config
                ),
                1.0,
            )
        except ERRORS:
            return
        if status == 200:
            self.older.append(("invalid acknowledged", config["version"]))

    async def read(self, address):
        """Returns the status and the config that an address gives."""
        return await asyncio.wait_for(
            limited_engines.call(
                self._wire, address, "GET", "/v1/config", None
            ),
            1.5,
        )

    async def read_during(self):
        """Reads now and then, and notes what is older than acknowledged."""
        while True:
            await asyncio.sleep(2.0)
            newest = max(
                (
                    version
                    for version, at in self._plan.acknowledged.items()
                    if at + 2.0 < time.monotonic()
                ),
                default=0,
            )
            address = self._random.choice(self._fleet.control_addresses())
            try:
                status, body = await self.read(address)
            except ERRORS:
                continue
            if status == 200 and body.get("version", 0) < newest:
                self.older.append(
                    (address, body.get("version"), newest, time.monotonic())
                )

    async def read_back(self, seconds):
        """Returns the version that is read at the end, or None."""
        ends = time.monotonic() + seconds
        found = None
        while time.monotonic() < ends:
            for address in self._fleet.control_addresses():
                try:
                    status, body = await self.read(address)
                except ERRORS:
                    continue
                if status == 200:
                    found = body["version"]
                    if found < max(self._plan.acknowledged, default=0):
                        self.older.append(
                            (address, found, "read back", time.monotonic())
                        )
            await asyncio.sleep(0.3)
        return found
