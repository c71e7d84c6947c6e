"""Presses single limits of a gateway and a control host, one after the other.

Run: limited_probes.py [--root PATH] [--only NAME]
Each probe says whether the processes lived, and their peak memory.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import resource
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import limited_deploy
import limited_engines
import limited_fleet
import limited_machines
import limited_operator

ERRORS = limited_operator.ERRORS


class Probes:
    """A small deployment: three hosts with a disk and one without."""

    def __init__(self, fleet, keeper, plan, wire, engines, ledger):
        self._fleet, self._keeper, self._plan = fleet, keeper, plan
        self._wire, self._engines, self._ledger = wire, engines, ledger
        self._small = fleet.machines[-1]
        self._core = fleet.machines[0]

    def _head(self, path, key, size, extra=""):
        attempt = os.urandom(8).hex()
        return (
            f"POST {path} HTTP/1.1\r\nHost: {limited_operator.HOSTNAME}\r\n"
            f"X-Marjoramyard-Attempt-Id: {attempt}\r\n"
            f"X-Marjoramyard-Deadline-Ms: 5000\r\nX-Api-Key: {key}\r\n"
            "X-Marjoramyard-Model: m\r\nX-Marjoramyard-Token-Counts: 400,40\r\n"
            "X-Marjoramyard-Prefix-Hash: 5c1e07a2:400\r\n"
            f"{extra}Content-Length: {size}\r\n\r\n"
        ).encode()

    @property
    def _key(self):
        return self._plan.config["tenants"][0]["api_keys"][0]

    @contextlib.asynccontextmanager
    async def _channels(self, address, port, count):
        writers = []

        async def connect():
            with contextlib.suppress(*ERRORS):
                writers.append(
                    (
                        await asyncio.wait_for(
                            asyncio.open_connection(
                                address, port, limit=1 << 16
                            ),
                            5,
                        )
                    )[::-1]
                )

        try:
            for _ in range(0, count, 200):
                await asyncio.gather(
                    *(connect() for _ in range(min(200, count)))
                )
            yield writers
        finally:
            for writer, _ in writers:
                writer.transport.abort()

    async def wait_until_ready(self):
        """Waits until the small gateway serves."""
        for _ in range(40):
            await asyncio.sleep(0.25)
            with contextlib.suppress(*ERRORS):
                reader, writer = await asyncio.open_connection(
                    self._small.address, 8780
                )
                writer.write(
                    b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.transport.abort()
                if b" 200 " in line:
                    return

    async def idle_channels(self):
        """Opens 3,000 connections to a gateway and sends nothing."""
        async with self._channels(self._small.address, 8783, 3000) as channels:
            await asyncio.sleep(4)
            return f"{len(channels)} connected"

    async def idle_channels_to_control(self):
        """Opens 5,000 connections to a control host and sends nothing."""
        async with self._channels(self._core.address, 8785, 5000) as channels:
            await asyncio.sleep(4)
            return f"{len(channels)} connected"

    async def partial_heads(self):
        """Sends 1,400 heads without an end."""
        async with self._channels(self._small.address, 8783, 1400) as channels:
            for writer, _ in channels:
                writer.write(
                    b"POST /trip-guide/1 HTTP/1.1\r\nX-Long: " + b"h" * 15000
                )
            await asyncio.sleep(4)

    async def large_bodies(self):
        """Sends 120 bodies of 4 MB without their end."""
        async with self._channels(self._small.address, 8783, 120) as channels:
            for writer, _ in channels:
                writer.write(
                    self._head("/trip-guide/1", self._key, 4_000_000)
                    + b"b" * 3_900_000
                )
            await asyncio.sleep(5)

    async def large_bodies_without_key(self):
        """Sends 120 bodies of 4 MB without their end, with a wrong key."""
        async with self._channels(self._small.address, 8783, 120) as channels:
            for writer, _ in channels:
                writer.write(
                    self._head("/trip-guide/1", "none", 4_000_000)
                    + b"b" * 3_900_000
                )
            await asyncio.sleep(5)

    async def bodies_of_the_sheet(self):
        """110 KB each: the largest bodies of the users' own callers."""
        async with self._channels(self._small.address, 8783, 400) as channels:
            for writer, _ in channels:
                writer.write(
                    self._head("/trip-guide/1", self._key, 110_000)
                    + b"b" * 110_000
                )
            await asyncio.sleep(6)

    async def bodies_of_the_sheet_while_suspended(self):
        """Sends 400 bodies of 110 kB to a suspended gateway."""
        async with self._channels(self._small.address, 8783, 400) as channels:
            freeze = asyncio.create_task(self._fleet.freeze(self._small, 3.5))
            await asyncio.sleep(0.2)
            for writer, _ in channels:
                writer.write(
                    self._head("/trip-guide/1", self._key, 110_000)
                    + b"b" * 110_000
                )
            await freeze
            await asyncio.sleep(3)

    async def large_responses_to_slow_callers(self):
        """Asks for endless responses and does not read them."""
        with contextlib.ExitStack() as stack:
            for engine in self._engines:
                stack.enter_context(
                    engine.faulty(limited_engines.Fault.ENDLESS, 1.0)
                )
            async with self._channels(
                self._small.address, 8783, 60
            ) as channels:
                for writer, _ in channels:
                    writer.transport.pause_reading()
                    writer.write(
                        self._head("/trip-guide/1", self._key, 10) + b"b" * 10
                    )
                await asyncio.sleep(6)

    async def requests_while_stopping(self):
        """New channels at a gateway that stops: each must get an answer."""
        counts, tasks = collections.Counter(), []
        stopping = asyncio.create_task(self._fleet.restart(self._small))
        since = time.monotonic()

        async def ask(body):
            sent = time.monotonic() - since
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self._small.address, 8783), 1
                )
            except ERRORS:
                counts["no connection"] += 1
                return
            try:
                writer.write(
                    self._head("/trip-guide/1", self._key, len(body)) + body
                )
                first = await asyncio.wait_for(reader.readline(), 6)
                counts[first[9:12].decode() or "EOF without answer"] += 1
                if not first:
                    print(
                        "        EOF: sent",
                        round(sent, 3),
                        "ended",
                        round(time.monotonic() - since, 3),
                        len(body),
                    )
                while first and await asyncio.wait_for(reader.read(65536), 6):
                    pass
            except ERRORS as error:
                counts[repr(error)[:40]] += 1
                print(
                    "        sent",
                    round(sent, 3),
                    "ended",
                    round(time.monotonic() - since, 3),
                    repr(error)[:50],
                    len(body),
                )
            finally:
                writer.transport.abort()

        while not stopping.done():
            tasks.append(
                asyncio.create_task(
                    ask(b"b" * (18_000 if len(tasks) % 2 else 10))
                )
            )
            await asyncio.sleep(0.04)
        await asyncio.wait(tasks, timeout=8)
        return dict(counts)

    async def large_responses(self):
        """Asks for endless responses and reads them."""
        with contextlib.ExitStack() as stack:
            for engine in self._engines:
                stack.enter_context(
                    engine.faulty(limited_engines.Fault.ENDLESS, 1.0)
                )
            async with self._channels(
                self._small.address, 8783, 60
            ) as channels:

                async def read(writer, reader):
                    writer.write(
                        self._head("/trip-guide/1", self._key, 10) + b"b" * 10
                    )
                    with contextlib.suppress(*ERRORS):
                        while await reader.read(65536):
                            pass

                tasks = [asyncio.create_task(read(*c)) for c in channels]
                if tasks:
                    await asyncio.wait(tasks, timeout=7)

    async def _send_control(self, method, path, bodies):
        async def send(body):
            with contextlib.suppress(*ERRORS):
                await asyncio.wait_for(
                    limited_engines.call(
                        self._wire,
                        f"{self._core.address}:8785",
                        method,
                        path,
                        body,
                        "i-x",
                    ),
                    5,
                )

        await asyncio.gather(*(send(body) for body in bodies))

    async def large_configs(self):
        """Sends six configs of 30 MB at once."""
        text = json.dumps(self._wire.body(self._plan.config))
        large = text[:-1] + ', "more": "' + "m" * 30_000_000 + '"}'
        await self._send_control("PUT", "/v1/config", [large.encode()] * 6)

    async def many_configs(self):
        """Sends 300 versions of a config with 100 more routes."""
        configs = []
        for _ in range(300):
            config = self._plan.change("idle")
            config["routes"] += [
                config["routes"][5]
                | {"name": f"n{n}", "path_prefix": f"/n{n}/"}
                for n in range(100)
            ]
            self._plan.config = json.loads(json.dumps(config))
            self._plan.config["routes"] = self._plan.config["routes"][:13]
            configs.append(config)
        for start in range(0, 300, 30):
            await self._send_control(
                "PUT", "/v1/config", configs[start : start + 30]
            )

    async def large_heartbeats(self):
        """Sends 60 registrations of 4 MB at once."""
        body = json.dumps(
            {"service": "assistant-llm", "x": "y" * 4_000_000}
        ).encode()
        await self._send_control("PUT", "/v1/instances/{}", [body] * 60)

    async def strange_heartbeats(self):
        """Sends registrations that are not valid."""
        bodies = [
            b"\xff\xfe",
            b"[]",
            b"{}",
            b'{"service":1}',
            b'{"seq":"x"}',
            b"null",
            b'{"service":"assistant-llm","address":5,"seq":1e400}',
            b'{"service":"assistant-llm","address":"1:99999","zone":[],"slots":-1}',
            b"[" * 100_000,
            b"9" * 5000,
            b'{"a":' * 50_000,
        ]
        await self._send_control("PUT", "/v1/instances/{}", bodies * 5)

    async def many_endpoints(self):
        """Registers 3,000 engines."""
        bodies = []
        for number in range(3000):
            bodies.append(
                {
                    "service": f"s{number % 7}",
                    "address": f"127.9.{number // 250}.{number % 250}:80",
                    "zone": "dkr-plateau",
                    "version": "v1",
                    "slots": 6,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "seq": 1,
                    "born": int(time.time() * 1000),
                }
            )
        for start in range(0, 3000, 100):

            async def send(body, number):
                with contextlib.suppress(*ERRORS):
                    await asyncio.wait_for(
                        limited_engines.call(
                            self._wire,
                            f"{self._core.address}:8785",
                            "PUT",
                            "/v1/instances/{}",
                            body,
                            f"i-{number}",
                        ),
                        5,
                    )

            await asyncio.gather(
                *(
                    send(body, start + n)
                    for n, body in enumerate(bodies[start : start + 100])
                )
            )

    async def garbage_on_internal_ports(self):
        """Sends garbage to ports that are not for callers."""
        for machine, port in (
            (self._core, 7400),
            (self._core, 7415),
            (self._small, 7415),
            (self._small, 7414),
            (self._small, 8780),
            (self._core, 9464),
            (self._core, 9465),
        ):
            async with self._channels(machine.address, port, 40) as channels:
                for number, (writer, _) in enumerate(channels):
                    writer.write(
                        (
                            b"\x00\xff\x7f\xff\xff\xff"
                            if number % 2
                            else b"POST / HTTP/1.1\r\n"
                            b"Content-Length: 99999999\r\n\r\n"
                        )
                        + b"g" * 2_000_000
                    )
                await asyncio.sleep(1.5)

    async def full_disk_and_restart(self):
        """Starts a control host whose files cannot grow."""
        machine = self._core
        folder = machine.folder / "data" / "control"
        await self._fleet.power_off([machine], "probe")
        before = limited_fleet.MEBIBYTE
        self._fleet.file_limit = 1024
        await self._fleet.start(machine)
        await asyncio.sleep(6)
        self._fleet.file_limit = 64 * before
        return f"{sorted(os.listdir(folder))}"

    async def kill_while_starting(self):
        """Kills the hosts with a disk at several times of their start."""
        for milliseconds in (150, 400, 800, 1200):
            for machine in self._fleet.core:
                await self._fleet.power_off([machine], "probe")
                await self._fleet.start(machine)
            await asyncio.sleep(milliseconds / 1000)
        await asyncio.sleep(3)


NAMES = [
    name
    for name in vars(Probes)
    if not name.startswith("_") and name != "wait_until_ready"
]


async def play(arguments, folder):
    """Plays the probes; returns how many had processes end by themselves."""
    wire = limited_deploy.Wire(arguments.root)
    ledger = limited_engines.Ledger()
    keeper = limited_fleet.KeeperLink()
    await keeper.start()
    fleet = limited_fleet.Fleet(
        arguments.root.resolve(),
        folder,
        arguments.slot,
        6,
        pathlib.Path(sys.executable).parent,
        keeper,
    )
    keeper.fleet = fleet
    fleet.machines = [*fleet.core, fleet.machines[3]]
    failed = 0
    try:
        await fleet.start_all()
        fleet.bootstrap = False
        plan = limited_operator.Plan(1)
        operator = limited_operator.Operator(plan, fleet, wire, 1)
        engines = [
            engine
            for engine in limited_machines.make_engines(
                fleet, arguments.slot, ledger, wire, 1
            )
            if engine.is_model
        ]
        for engine in engines:
            await engine.start()
        print("config", await operator.put(plan.config, 30), flush=True)
        await asyncio.sleep(4)
        probes = Probes(fleet, keeper, plan, wire, engines, ledger)
        for name in arguments.only or NAMES:
            for machine in fleet.machines[:1] + fleet.machines[-1:]:
                await fleet.power_on(
                    [machine], await fleet.power_off([machine], "fresh")
                )
            await probes.wait_until_ready()
            ends, overs = len(fleet.ends), len(fleet.over)
            fleet.peaks.clear()
            said = await asyncio.wait_for(getattr(probes, name)(), 60)
            await asyncio.sleep(1)
            await keeper.collect()
            peaks = {}
            for peak in fleet.peaks:
                peaks[peak["name"]] = max(
                    peak["peak"], peaks.get(peak["name"], 0)
                )
            own = [end for end in fleet.ends[ends:] if not end.asked]
            print(
                name,
                said or "",
                "peaks",
                {
                    n.replace("edge-dkr-", ""): round(p / 1048576)
                    for n, p in peaks.items()
                    if p > 56e6
                },
                "ENDS" if own else "ok",
                flush=True,
            )
            for end in own:
                print("    ", end.name, end.code, end.why, flush=True)
                for line in end.log[-6:]:
                    print("        ", line[:400], flush=True)
            for over in fleet.over[overs:]:
                print("    ", over, flush=True)
            failed += bool(own)
            await asyncio.sleep(2)
    finally:
        await fleet.stop()
        await keeper.stop()
    return failed


def main():
    """Plays the chosen probes; returns how many of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--root",
        type=pathlib.Path,
        default=pathlib.Path(__file__).resolve().parents[3],
    )
    parser.add_argument("--slot", type=int, default=50)
    parser.add_argument("--only", action="append", choices=NAMES)
    arguments = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="limited-probes-"))
    try:
        return asyncio.run(asyncio.wait_for(play(arguments, folder), 600))
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
