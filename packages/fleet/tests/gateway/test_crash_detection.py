"""Tests of how a gateway detects that an endpoint has died."""

import asyncio
import contextlib
import time

import msgspec
import pytest

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.coordination.serving.fingerprints import MAX_SUSPECTED_PARTS
from marjoramyard.fleet.gateway import crash_detection as module
from marjoramyard.fleet.gateway.crash_detection import (
    BrokenRun,
    CrashDetector,
    lifetime_of,
    refuses_connections,
)
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.standin.processes import free_address

WAIT_SECONDS = 0.3


class Reports:
    """Records the deaths that are reported."""

    def __init__(self):
        self.deaths = []

    def report_death(self, death_id, runs, died_at):
        self.deaths.append((death_id, runs))


@pytest.fixture
async def detector(monkeypatch):
    monkeypatch.setattr(module, "OBSERVATION_SECONDS", WAIT_SECONDS)
    monkeypatch.setattr(module, "_LOOK_SECONDS", 0.02)
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    async with task_group() as tasks:
        yield CrashDetector(view, Reports(), tasks)


@contextlib.asynccontextmanager
async def listening():
    """Yields an address that accepts connections."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


def register(detector, name, address, born):
    registration = Registration(
        endpoint=name, service="api", address=address, born=born
    )
    detector.view.registrations.merge(registration, 0.0)
    return registration


def broken_run(fingerprint, earlier=()):
    now = time.monotonic()
    return BrokenRun(fingerprint, now - 0.1, now, earlier)


async def test_a_dead_endpoint_is_reported_once_with_all_its_runs(detector):
    """Guards against a death that is missed, or counted for each request."""
    endpoint = register(detector, "e1", free_address(), 1)
    for name in ("f", "g"):
        detector.on_broken(endpoint, broken_run(name))
    await asyncio.sleep(WAIT_SECONDS)
    [(death_id, runs)] = detector.suspects.deaths
    assert death_id == lifetime_of(endpoint)
    assert [run.fingerprint for run in runs] == ["f", "g"]
    assert runs[0].seconds == pytest.approx(0.1, abs=0.01)
    assert detector.observations == {}


async def test_an_endpoint_that_resets_connections_is_not_dead(detector):
    """Guards against suspecting requests whose connections were reset."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    endpoint = register(detector, "e1", f"{host}:{port}", 1)
    detector.on_broken(endpoint, broken_run("f"))
    await asyncio.sleep(2 * WAIT_SECONDS)
    server.close()
    assert detector.suspects.deaths == []
    assert detector.observations == {}


async def test_runs_that_an_endpoint_survived_are_not_reported(detector):
    """Guards against suspecting a request whose connection was reset some time
    before its endpoint died.
    """
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    endpoint = register(detector, "e1", f"{host}:{port}", 1)
    detector.on_broken(endpoint, broken_run("reset"))
    await asyncio.sleep(WAIT_SECONDS / 3)
    server.close()
    await server.wait_closed()
    detector.on_broken(endpoint, broken_run("crashed"))
    await asyncio.sleep(WAIT_SECONDS)
    [(_, runs)] = detector.suspects.deaths
    assert [run.fingerprint for run in runs] == ["crashed"]


async def test_an_endpoint_that_is_back_at_once_was_dead(detector):
    """Guards against missing a crash after which a new lifetime listens before
    anybody looks.
    """
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    endpoint = register(detector, "e1", f"{host}:{port}", 1)
    detector.on_broken(endpoint, broken_run("f"))
    await asyncio.sleep(WAIT_SECONDS / 3)
    register(detector, "e2", f"{host}:{port}", 2)
    await asyncio.sleep(WAIT_SECONDS)
    server.close()
    [(death_id, _)] = detector.suspects.deaths
    assert death_id == lifetime_of(endpoint)


async def test_runs_before_the_last_response_are_not_reported(detector):
    """Guards against suspecting a request whose connection was reset by an
    endpoint that answered others, and was restarted afterwards.
    """
    endpoint = register(detector, "e1", free_address(), 1)
    run = broken_run("f")
    run.broken_at -= 0.05
    detector.view.health_of("e1").record_success(time.monotonic() - 0.01)
    detector.on_broken(endpoint, run)
    await asyncio.sleep(WAIT_SECONDS)
    assert detector.suspects.deaths == []


async def test_runs_that_began_after_the_death_are_not_reported(detector):
    """Guards against suspecting requests that a proxy took and could not pass
    on, because nothing was listening any more.
    """
    endpoint = register(detector, "e1", free_address(), 1)
    detector.on_broken(endpoint, broken_run("f"))
    late = broken_run("late")
    late.sent_at = late.broken_at
    detector.on_broken(endpoint, late)
    await asyncio.sleep(WAIT_SECONDS)
    [(_, runs)] = detector.suspects.deaths
    assert [run.fingerprint for run in runs] == ["f"]


async def test_deaths_under_earlier_sends_are_counted(detector):
    """Guards against losing count of endpoints that one attempt crashes."""
    first, second = (
        register(detector, name, free_address(), 1) for name in ("e1", "e2")
    )
    detector.on_broken(first, broken_run("f"))
    await asyncio.sleep(WAIT_SECONDS / 3)
    earlier = (lifetime_of(first), "e9@1")
    detector.on_broken(second, broken_run("f", earlier))
    await asyncio.sleep(WAIT_SECONDS)
    counts = [runs[0].earlier_deaths for _, runs in detector.suspects.deaths]
    assert counts == [0, 1]


async def test_a_host_that_does_not_reply_says_nothing(monkeypatch):
    """Guards against taking a network partition for a crash."""

    async def connect(*_):
        await asyncio.Event().wait()

    monkeypatch.setattr(module.asyncio, "open_connection", connect)
    monkeypatch.setattr(module, "PROBE_TIMEOUT_SECONDS", 0.01)
    assert not await refuses_connections("127.0.0.1:1")


async def test_an_endpoint_that_refuses_connections_has_ended(detector):
    """Guards against completing a response whose endpoint died with it."""
    assert await detector.has_ended(register(detector, "e1", free_address(), 1))


async def test_an_endpoint_whose_address_is_used_again_has_ended(detector):
    """Guards against a new lifetime that vouches for the one before it."""
    async with listening() as address:
        endpoint = register(detector, "e1", address, 1)
        assert not await detector.has_ended(endpoint)
        register(detector, "e2", address, 2)
        assert await detector.has_ended(endpoint)


async def test_the_end_of_an_endpoint_that_leaves_says_nothing(detector):
    """Guards against failing the last responses of endpoints that leave."""
    address = free_address()
    endpoint = register(detector, "e1", address, 1)
    draining = msgspec.structs.replace(
        endpoint, state=EndpointState.DRAINING, sequence=1
    )
    detector.view.registrations.merge(draining, 0.0)
    assert not await detector.has_ended(endpoint)
    other = register(detector, "e2", free_address(), 1)
    detector.view.record_leaving("e2", 1)
    assert not await detector.has_ended(other)


def run_with(fingerprint, *parts, answered_for=None):
    now = time.monotonic()
    answer_at = None if answered_for is None else now - answered_for
    return BrokenRun(fingerprint, now - 3.0, now, (), parts, answer_at)


async def reported_parts(detector, *runs):
    endpoint = register(detector, "e1", free_address(), 1)
    for run in runs:
        detector.on_broken(endpoint, run)
    await asyncio.sleep(WAIT_SECONDS)
    [(_, found)] = detector.suspects.deaths
    return [run for run in found if run.request]


async def test_parts_of_the_newest_answers_are_reported_first(detector):
    """Guards against missing the part that ends an engine when it begins to
    answer, and against counting how long it was queued.
    """
    found = await reported_parts(
        detector,
        run_with("queued", "a"),
        run_with("new", "b", "c", answered_for=0.05),
        run_with("older", "d", "b", answered_for=0.5),
    )
    assert [run.fingerprint for run in found] == [
        f"part:api:{name}" for name in "bcda"
    ]
    assert found[0].request == "new"
    assert found[0].seconds == pytest.approx(0.05, abs=0.01)


async def test_parts_that_an_engine_has_answered_for_long_are_left_out(
    detector,
):
    """Guards against suspecting the parts of all streams of a dead engine."""
    found = await reported_parts(
        detector,
        run_with("old", "a", answered_for=module.PART_SECONDS + 0.1),
        run_with("new", "b", answered_for=0.1),
    )
    assert [run.fingerprint for run in found] == ["part:api:b"]


async def test_a_report_of_many_parts_is_bounded(detector):
    """Guards against reports that grow with the prompts of callers."""
    names = [f"p{number}" for number in range(MAX_SUSPECTED_PARTS + 9)]
    runs = [
        run_with(f"r{number}", *(f"{number}{name}" for name in names))
        for number in range(6)
    ]
    found = await reported_parts(detector, *runs)
    assert len(found) == module.MAX_PARTS_PER_DEATH
