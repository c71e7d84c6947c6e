"""Scaling of memory, messages and CPU time of each role with its load.

`.venv/bin/python bench/slopes.py [NAME ...]` varies one quantity over at least
four values, fits a line and prints its slope, intercept and R2. It writes
bench/out/slopes.json, from which docs/CAPACITY.md is derived.
"""

import asyncio
import gc
import json
import multiprocessing
import os
import random
import resource
import sys
import time

import msgspec
import yaml
from common import OUT, ROOT, Fit, fit, save, show_fit
from routers import Operator, first_rows, start_routers, workspace_row

from marjoramyard.coordination.fairness.scheduler import (
    FairnessPolicy,
    FairScheduler,
    OfferRow,
)
from marjoramyard.coordination.fairness.totals import Totals, TotalsSync
from marjoramyard.coordination.governance.bundle import BundleView
from marjoramyard.coordination.governance.commands import StartCall
from marjoramyard.coordination.governance.directory import (
    Directory,
    DirectoryRow,
)
from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.kernel.registry import Registry
from marjoramyard.standin.local_fleet import local_fleet, start_small_fleet

WINDOW_SECONDS = 8.0
MEASURES: Registry = Registry("measure")
KB = 1024.0


# Memory and CPU time of data structures, each built in its own process.


def _rss_bytes() -> int:
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def _build_and_measure(build, count, queue) -> None:
    build(1)
    before = _rss_bytes()
    started = time.process_time()
    built = build(count)
    elapsed = time.process_time() - started
    queue.put((_rss_bytes() - before, elapsed, len(str(type(built)))))


def measure_in_child(build, count: int) -> tuple[float, float]:
    """Returns the bytes and CPU seconds that building a structure takes."""
    # A forked child would reuse memory that its parent freed.
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    child = context.Process(
        target=_build_and_measure, args=(build, count, queue)
    )
    child.start()
    size, elapsed, _ = queue.get(timeout=60)
    child.join()
    return size, elapsed


def memory_fit(name: str, build, counts: list[int]) -> list[Fit]:
    """Fits the memory and CPU time of a structure to its size."""
    measured = [(n, measure_in_child(build, n)) for n in counts]
    return [
        fit(f"{name}: memory", "KB", [(n, m[0] / KB) for n, m in measured]),
        fit(f"{name}: time", "ms", [(n, m[1] * 1e3) for n, m in measured]),
    ]


def _bundle_rows(count: int) -> dict:
    rows = {f"workspaces/w{n}": workspace_row(n) for n in range(count)}
    rows["services/chat"] = {"kind": "engine", "models": ["chat"]}
    return msgspec.json.decode(msgspec.json.encode(rows))


def _raw_rows(count: int) -> dict[str, msgspec.Raw]:
    """Returns the rows of a snapshot as a router receives them."""
    parts = [
        b'"workspaces/w%d":%s' % (n, msgspec.json.encode(workspace_row(n)))
        for n in range(count)
    ]
    parts.append(b'"services/chat":{"kind":"engine"}')
    text = b"{" + b",".join(parts) + b"}"
    return msgspec.json.decode(text, type=dict[str, msgspec.Raw])


def _build_entry_bundle(count: int) -> BundleView:
    view = BundleView(keeps_rows=False)
    view.install(1, "x", _raw_rows(count))
    return view


def _build_agent_bundle(count: int) -> BundleView:
    view = BundleView(keeps_rows=False, keeps_api_keys=False)
    view.install(1, "x", _raw_rows(count))
    return view


def _build_control_bundle(count: int) -> BundleView:
    view = BundleView()
    view.install(1, "x", _bundle_rows(count))
    return view


@MEASURES.register("bundle")
def measure_bundle() -> list[Fit]:
    """Measures the bundle per workspace, at each role."""
    counts = [1000, 6000, 12000, 24000]
    sizes = [(n, len(msgspec.json.encode(_bundle_rows(n)))) for n in counts]
    return [
        *memory_fit("entry, per workspace", _build_entry_bundle, counts),
        *memory_fit("agent, per workspace", _build_agent_bundle, counts),
        *memory_fit("control, per workspace", _build_control_bundle, counts),
        fit("snapshot, per workspace in bundle", "bytes", sizes),
    ]


def _build_ledger(count: int) -> ControlState:
    state = ControlState()
    state.bundles.view.policy = msgspec.structs.replace(
        state.bundles.view.policy, ledger_capacity=10**9
    )
    for n in range(count):
        state.apply(
            StartCall(f"7:counter:hold-{n:09d}", f"{n:064x}", f"{n:024x}", 0)
        )
    return state


@MEASURES.register("ledger")
def measure_ledger() -> list[Fit]:
    """Measures the ledger per started call, at a control host."""
    return memory_fit(
        "control, per ledger entry", _build_ledger, [5000, 20000, 40000, 80000]
    )


def _snapshot_seconds(count: int) -> tuple[float, float, int]:
    state = _build_ledger(count)
    started = time.perf_counter()
    text = state.snapshot()
    write_seconds = time.perf_counter() - started
    started = time.perf_counter()
    ControlState.restore(text)
    return write_seconds, time.perf_counter() - started, len(text)


@MEASURES.register("snapshot")
def measure_snapshot() -> list[Fit]:
    """Measures snapshots per ledger entry: write, restore and size."""
    counts = [5000, 20000, 40000, 80000]
    measured = [(n, _snapshot_seconds(n)) for n in counts]
    return [
        fit(
            "control, snapshot taken",
            "ms",
            [(n, m[0] * 1e3) for n, m in measured],
        ),
        fit(
            "control, snapshot read",
            "ms",
            [(n, m[1] * 1e3) for n, m in measured],
        ),
        fit(
            "control, snapshot size", "bytes", [(n, m[2]) for n, m in measured]
        ),
    ]


def _build_directory(count: int) -> Directory:
    directory = Directory("epoch", 0.0)
    for n in range(count):
        row = DirectoryRow(
            f"agent-{n}~{n:08x}",
            "agent",
            f"zone-{n % 8}",
            f"127.0.0.1:{n}",
            f"service-{n % 23}",
            endpoint=f"endpoint-{n}",
            slots=8,
        )
        directory.announce(row, 0.0)
    return directory


@MEASURES.register("directory")
def measure_directory() -> list[Fit]:
    """Measures the directory per endpoint."""
    counts = [1000, 2000, 4000, 8000]
    sizes = []
    for n in counts:
        update = _build_directory(n).changes_since("", 0, 0.0, "agent")
        sizes.append((n, len(msgspec.json.encode(update))))
    return [
        *memory_fit("control, per endpoint", _build_directory, counts),
        fit("directory, whole update", "bytes", sizes),
    ]


def _build_scheduler(count: int) -> FairScheduler:
    scheduler = FairScheduler(
        Totals("agent"), "z", lambda _: 1.0, FairnessPolicy()
    )
    scheduler.record_message("entry", "z", 1, 0.0)
    scheduler.update_offers(
        "entry", [OfferRow(f"w{n}", 5) for n in range(count)]
    )
    for n in range(count):
        scheduler.charge(f"w{n}", 1.0 + n % 7)
    return scheduler


@MEASURES.register("backlog")
def measure_backlog() -> list[Fit]:
    """Measures scheduler and offers per backlogged workspace, at an agent."""
    counts = [100, 800, 1600, 2400]
    sizes = []
    for n in counts:
        rows = [OfferRow(f"workspace-{k}", 5, "0" * 16) for k in range(n)]
        sizes.append((n, len(msgspec.json.encode(rows))))
    return [
        *memory_fit(
            "agent, per backlogged workspace", _build_scheduler, counts
        ),
        fit("offer, per backlogged workspace", "bytes", sizes),
    ]


def _build_totals(count: int) -> Totals:
    """Returns `count` rows of agents that have served 100 workspaces each."""
    totals = Totals("entry")
    for first in range(0, count, 100):
        source = Totals(f"agent-{first // 100}")
        source.update_recovery({})
        for n in range(100):
            source.add(f"workspace-{n}", 1.0 + first + n)
        TotalsSync(totals).apply_delta(TotalsSync(source).make_delta())
    return totals


@MEASURES.register("totals")
def measure_totals() -> list[Fit]:
    """Measures shared totals per row, at an entry or agent."""
    counts = [1000, 5000, 10000, 20000]
    sizes = []
    for n in counts:
        delta = TotalsSync(_build_totals(n)).make_delta(10**9)
        sizes.append((n, len(msgspec.json.encode(delta))))
    return [
        *memory_fit("entry, per row of totals", _build_totals, counts),
        fit("totals on the wire, per row", "bytes", sizes),
    ]


# Running processes.


async def _cpu_share(children, work) -> list[float]:
    """Awaits some work; returns the share of a core of each process."""
    before = [c.cpu_seconds() for c in children]
    started = time.monotonic()
    await work
    elapsed = time.monotonic() - started
    return [
        (c.cpu_seconds() - b) / elapsed
        for c, b in zip(children, before, strict=True)
    ]


async def _leader(fleet):
    while True:
        for row in await fleet.ctl_json("status"):
            if row["role"] == "leader":
                return fleet.children[row["name"]]


async def _renewals() -> list[Fit]:
    cpu, rss, received = [], [], []
    async with local_fleet() as fleet:
        await fleet.make_keys()
        await fleet.start_control(["control-1", "control-2", "control-3"])
        operator = Operator(fleet)
        await operator.put(first_rows(fleet, 50))
        leader = await _leader(fleet)
        for count in (25, 50, 100, 200):
            routers = await start_routers(fleet, count)
            before = sum(r.client.bytes_received for r in routers)
            before += sum(r.client.bytes_sent for r in routers)
            share = await _cpu_share([leader], asyncio.sleep(WINDOW_SECONDS))
            after = sum(r.client.bytes_received for r in routers)
            after += sum(r.client.bytes_sent for r in routers)
            cpu.append((count, share[0] * 100))
            rss.append((count, leader.rss_bytes() / KB))
            received.append((count, (after - before) / WINDOW_SECONDS))
            for router in routers:
                await router.close()
        await operator.client.close()
    return [
        fit("leader, per router renewing", "% of a core", cpu),
        fit("leader, per router renewing", "KB", rss),
        fit("all routers' renewals", "bytes/s", received),
    ]


@MEASURES.register("renewals")
def measure_renewals() -> list[Fit]:
    """Measures lease renewals per router, without other load."""
    return asyncio.run(_renewals())


async def _changes() -> list[Fit]:
    leader_cpu, follower_cpu, wire = [], [], []
    async with local_fleet() as fleet:
        await fleet.make_keys()
        await fleet.start_control(["control-1", "control-2", "control-3"])
        operator = Operator(fleet)
        await operator.put(first_rows(fleet, 500))
        routers = await start_routers(fleet, 20)
        leader = await _leader(fleet)
        follower = next(
            fleet.children[n]
            for n in fleet.control_hosts
            if fleet.children[n] is not leader
        )
        share = 2.0
        for rate in (0, 2, 5, 10):

            async def work(rate=rate) -> None:
                nonlocal share
                until = time.monotonic() + WINDOW_SECONDS
                while time.monotonic() < until:
                    if not rate:
                        await asyncio.sleep(WINDOW_SECONDS)
                        continue
                    due = time.monotonic() + 1.0 / rate
                    share += 1.0
                    row = workspace_row(7, share)
                    await operator.put({"workspaces/w7": row})
                    await asyncio.sleep(max(0.0, due - time.monotonic()))

            version = operator.version
            before = sum(r.client.bytes_received for r in routers)
            shares = await _cpu_share([leader, follower], work())
            after = sum(r.client.bytes_received for r in routers)
            done = (operator.version - version) / WINDOW_SECONDS
            leader_cpu.append((done, shares[0] * 100))
            follower_cpu.append((done, shares[1] * 100))
            wire.append((done, (after - before) / WINDOW_SECONDS / 20))
        for router in routers:
            await router.close()
        await operator.client.close()
    return [
        fit("leader, per change a second", "% of a core", leader_cpu),
        fit("follower, per change a second", "% of a core", follower_cpu),
        fit("router, per change a second", "bytes/s", wire),
    ]


@MEASURES.register("changes")
def measure_changes() -> list[Fit]:
    """Measures bundle changes per second, from proposal to rollout."""
    return asyncio.run(_changes())


def _small_bundle() -> dict:
    text = (ROOT / "tests/roots/small/bundle.yaml").read_text()
    return yaml.safe_load(text)


async def _at_rate(rate: float, seconds: float, send) -> int:
    """Sends at a fixed rate, regardless of responses; returns the count."""
    work = []
    started = time.monotonic()
    for number in range(int(rate * seconds)):
        due = started + number / rate
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        work.append(asyncio.ensure_future(send(number)))
    await asyncio.gather(*work)
    return len(work)


async def _requests() -> list[Fit]:
    entry_cpu, agent_cpu = [], []
    async with local_fleet() as fleet:
        await start_small_fleet(fleet, _small_bundle(), entries=1)
        options = ["--call-seconds", "0.002", "--slots", "64"]
        await fleet.add_endpoint("shop-1", "plain", "shop", *options)
        await fleet.wait_until_serving("shop-1")
        url = fleet.url("entry-1", "/services/shop/stock/x")
        headers = fleet.headers("counter")

        async def send(_: int) -> None:
            async with fleet.session.get(url, headers=headers) as response:
                await response.read()

        pair = [fleet.children["entry-1"], fleet.children["agent-shop-1"]]
        for rate in (50, 100, 200, 400):
            shares = await _cpu_share(
                pair, _at_rate(rate, WINDOW_SECONDS, send)
            )
            entry_cpu.append((rate, shares[0] * 100))
            agent_cpu.append((rate, shares[1] * 100))
    return [
        fit("entry, per request a second", "% of a core", entry_cpu),
        fit("agent, per request a second", "% of a core", agent_cpu),
    ]


@MEASURES.register("requests")
def measure_requests() -> list[Fit]:
    """Measures non-streaming requests per second."""
    return asyncio.run(_requests())


async def _tokens() -> list[Fit]:
    entry_cpu, agent_cpu = [], []
    async with local_fleet() as fleet:
        await start_small_fleet(fleet, _small_bundle(), entries=1)
        options = ["--token-seconds", "0.05", "--slots", "64"]
        await fleet.add_endpoint("chat-1", "engine", "chat", *options)
        await fleet.wait_until_serving("chat-1")
        pair = [fleet.children["entry-1"], fleet.children["agent-chat-1"]]
        body = {"model": "chat", "stream": True, "max_tokens": 150}

        async def stream() -> None:
            async with fleet.session.post(
                fleet.url("entry-1", "/v1/chat/completions"),
                headers=fleet.headers("counter"),
                json=body,
            ) as response:
                await response.read()

        for count in (4, 8, 16, 32):

            async def all_streams(count=count) -> None:
                await asyncio.gather(*(stream() for _ in range(count)))

            started = time.monotonic()
            shares = await _cpu_share(pair, all_streams())
            rate = count * 150 / (time.monotonic() - started)
            entry_cpu.append((rate, shares[0] * 100))
            agent_cpu.append((rate, shares[1] * 100))
    return [
        fit("entry, per token a second", "% of a core", entry_cpu),
        fit("agent, per token a second", "% of a core", agent_cpu),
    ]


@MEASURES.register("tokens")
def measure_tokens() -> list[Fit]:
    """Measures streamed tokens per second."""
    return asyncio.run(_tokens())


async def _waiting() -> list[Fit]:
    rss, wire, cpu = [], [], []
    async with local_fleet() as fleet:
        bundle = _small_bundle()
        bundle["services"]["chat"]["deadline_seconds"] = 300
        await start_small_fleet(fleet, bundle, entries=1)
        options = ["--token-seconds", "30", "--slots", "1"]
        await fleet.add_endpoint("chat-1", "engine", "chat", *options)
        await fleet.wait_until_serving("chat-1")
        entry = fleet.children["entry-1"]
        content = "x" * 2000
        work: list[asyncio.Task] = []

        async def wait_in_queue() -> None:
            async with fleet.session.post(
                fleet.url("entry-1", "/v1/chat/completions"),
                headers=fleet.headers("counter"),
                json={"model": "chat", "messages": [{"content": content}]},
            ) as response:
                await response.read()

        for count in (50, 200, 400, 800):
            while len(work) < count:
                work.append(asyncio.ensure_future(wait_in_queue()))
            await asyncio.sleep(2.0)
            before = await _control_bytes(fleet, "entry-1")
            share = await _cpu_share([entry], asyncio.sleep(WINDOW_SECONDS / 2))
            after = await _control_bytes(fleet, "entry-1")
            rss.append((count, entry.rss_bytes() / KB))
            cpu.append((count, share[0] * 100))
            wire.append((count, (after - before) / (WINDOW_SECONDS / 2)))
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
    return [
        fit("entry, per waiting request", "KB", rss),
        fit("entry, per waiting request", "% of a core", cpu),
        fit("entry, per waiting request (one agent)", "bytes/s", wire),
    ]


async def _control_bytes(fleet, name: str) -> float:
    page = await fleet.metrics_page(fleet.internal_addresses[name])
    return sum(
        float(line.rpartition(" ")[2])
        for line in page.splitlines()
        if line.startswith("marjoramyard_control_bytes{")
    )


@MEASURES.register("waiting")
def measure_waiting() -> list[Fit]:
    """Measures queued requests at an entry."""
    return asyncio.run(_waiting())


async def _calls() -> list[Fit]:
    cpu = []
    async with local_fleet() as fleet:
        await start_small_fleet(fleet, _small_bundle(), entries=1)
        options = ["--call-seconds", "0.002", "--slots", "64"]
        await fleet.add_endpoint("shop-1", "plain", "shop", *options)
        await fleet.wait_until_serving("shop-1")
        leader = await _leader(fleet)
        run = random.Random(os.getpid()).randrange(10**9)

        async def send(number: int) -> None:
            headers = fleet.headers(
                "counter", Idempotency_Key=f"{run}-{rate}-{number}"
            )
            async with fleet.session.post(
                fleet.url("entry-1", "/services/shop/bookings"),
                headers=headers,
                json={"boots": 1},
            ) as response:
                await response.read()

        for rate in (5, 10, 20, 40):
            work = _at_rate(rate, WINDOW_SECONDS, send)
            share = await _cpu_share([leader], work)
            cpu.append((rate, share[0] * 100))
    return [fit("leader, per ledger call a second", "% of a core", cpu)]


@MEASURES.register("calls")
def measure_calls() -> list[Fit]:
    """Measures non-idempotent calls per second: a look-up and two commands."""
    return asyncio.run(_calls())


def main() -> None:
    """Runs the named measurements, or all of them."""
    path = OUT / "slopes.json"
    out = json.loads(path.read_text()) if path.exists() else {}
    for name in sys.argv[1:] or MEASURES:
        fits = MEASURES.get(name)()
        for line in fits:
            show_fit(line)
        out[name] = [msgspec.to_builtins(line) for line in fits]
    save("slopes", out)


if __name__ == "__main__":
    main()
