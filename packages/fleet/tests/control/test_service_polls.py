"""Load: polls of all gateways while many endpoints come and go."""

import asyncio
import time
from types import SimpleNamespace

import msgspec

from marjoramyard.coordination.governance.state import ControlState
from marjoramyard.coordination.governance.suspects import EndedRun
from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.fleet.control.service import FleetService
from marjoramyard.fleet.sync_messages import SyncRequest
from marjoramyard.kernel.metrics import Metrics

GATEWAYS = 40
ENDPOINTS = 400
LIST_BYTES = 20 * ENDPOINTS
"""About the size of a list of all endpoints."""


class Role:
    """A control host without a replica."""

    def __init__(self):
        self.settings = SimpleNamespace(
            name="control",
            heartbeat_ms=10,
            availability_zones=[],
            zone="zone-a",
            advertised_address="10.0.0.1:80",
        )
        self.app = SimpleNamespace(
            metrics=Metrics("control", "control"), client=None
        )
        self.running_node = None
        self.is_first_start = False
        self.isolated = False
        self.cluster_manager = SimpleNamespace(
            recent_addresses=list, is_isolated=lambda: self.isolated
        )

    def is_leader(self):
        return False


class Gateway:
    """Polls without a pause, and counts replies and their bytes."""

    def __init__(self, service, name, urgent_only=False):
        self.service = service
        self.name = name
        self.urgent_only = urgent_only
        self.replies = 0
        self.received_bytes = 0
        self.endpoints = set()
        self.silent = set()

    async def run(self):
        epoch, cursor, revision = "", 0, 0
        while True:
            request = SyncRequest(
                self.name,
                epoch=epoch,
                cursor=cursor,
                wait_seconds=0.2,
                unresponsive_revision=revision,
                urgent_only=self.urgent_only,
            )
            reply = await self.service.sync(request)
            await asyncio.sleep(0.001)
            self.replies += 1
            self.received_bytes += len(msgspec.json.encode(reply))
            epoch, cursor = reply.epoch, reply.cursor
            revision = reply.unresponsive_revision
            self.endpoints |= {held.endpoint for held in reply.words}
            if reply.silent is not None:
                self.silent = set(reply.silent)


def heartbeat(number, sequence):
    return Registration(
        endpoint=f"engine-{number}",
        service="assistant",
        address=f"10.0.{number // 200}.{number % 200}:8000",
        sequence=sequence,
        born=1,
    )


async def reached(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def test_a_zone_that_comes_back_is_reported_in_a_few_replies():
    """Guards against control hosts that are kept from everything else by
    replies to each gateway for each endpoint of a zone.
    """
    service = FleetService(Role())
    gateways = [Gateway(service, f"gateway-{n}") for n in range(GATEWAYS)]
    tasks = [asyncio.create_task(gateway.run()) for gateway in gateways]
    for number in range(ENDPOINTS):
        service.endpoints.register(heartbeat(number, 1))
    await reached(lambda: all(len(g.endpoints) == ENDPOINTS for g in gateways))
    await asyncio.sleep(0.02)
    service.endpoints.detect_unresponsive(0.01)
    await reached(lambda: all(len(g.silent) == ENDPOINTS for g in gateways))
    for gateway in gateways:
        gateway.replies = gateway.received_bytes = 0
    for number in range(ENDPOINTS):
        service.endpoints.register(heartbeat(number, 2))
        await asyncio.sleep(0.001)
    await reached(lambda: not any(g.silent for g in gateways))
    for task in tasks:
        task.cancel()
    for gateway in gateways:
        assert gateway.replies < ENDPOINTS / 10
        assert gateway.received_bytes < 10 * LIST_BYTES


async def test_a_gateway_of_the_last_release_waits_for_changes():
    """Guards against polls without a pause during an upgrade."""
    service = FleetService(Role())
    service.endpoints.register(heartbeat(1, 1))
    await asyncio.sleep(0.02)
    service.endpoints.detect_unresponsive(0.01)
    first = await service.sync(SyncRequest("old"))
    assert first.silent == ["engine-1"]
    started_at = time.monotonic()
    again = await service.sync(
        SyncRequest(
            "old", epoch=first.epoch, cursor=first.cursor, wait_seconds=0.2
        )
    )
    assert time.monotonic() - started_at > 0.15
    assert again.silent == ["engine-1"]


async def test_a_host_that_hears_of_no_other_says_so():
    role = Role()
    service = FleetService(role)
    role.isolated = True
    assert not (await service.sync(SyncRequest("g"))).is_isolated
    service.started_at -= 1.0
    assert (await service.sync(SyncRequest("g"))).is_isolated
    role.isolated = False
    assert not (await service.sync(SyncRequest("g"))).is_isolated


async def test_a_restarted_host_sends_no_table_to_other_zones():
    """Guards against the whole table from each restarted control host to each
    gateway of each zone.
    """
    service = FleetService(Role())
    own, other = (
        Gateway(service, "own"),
        Gateway(service, "other", urgent_only=True),
    )
    tasks = [asyncio.create_task(g.run()) for g in (own, other)]
    for number in range(ENDPOINTS):
        service.endpoints.register(heartbeat(number, 1))
        await asyncio.sleep(0.001)
    await reached(lambda: len(own.endpoints) == ENDPOINTS)
    service.endpoints.mark_departed("engine-5")
    await reached(lambda: other.endpoints == {"engine-5"})
    for task in tasks:
        task.cancel()
    assert other.received_bytes < own.received_bytes / 20


async def test_a_waiting_gateway_is_told_of_a_suspect_at_once():
    """Guards against gateways that send on what has crashed endpoints of
    others, and against replies that repeat the list to all of them.
    """
    role = Role()
    service = FleetService(role)
    state = ControlState()
    role.running_node = SimpleNamespace(state=state)
    request = SyncRequest("g~1", epoch=service.endpoints.epoch)
    request = msgspec.structs.replace(request, wait_seconds=1.0)
    waiting = asyncio.create_task(service.sync(request))
    await asyncio.sleep(0)
    for number in range(2):
        run = EndedRun("f", earlier_deaths=number)
        state.suspects.report_death(f"e{number}", [run], time.time(), 60.0)
    service.on_applied()
    reply = await waiting
    assert 0 < reply.suspects["f"] <= 60.0
    known = msgspec.structs.replace(
        request,
        suspects_revision=reply.suspects_revision,
        watched_revision=reply.watched_revision,
        wait_seconds=0.0,
    )
    reply = await service.sync(known)
    assert reply.suspects is None and reply.watched is None


async def test_only_one_zone_s_hosts_tell_a_gateway_of_a_single_crash():
    """Guards against lists of all that ran on a lost endpoint from each control
    host to each gateway.
    """
    role = Role()
    service = FleetService(role)
    state = ControlState()
    role.running_node = SimpleNamespace(state=state)
    state.suspects.report_death("e", [EndedRun("f")], time.time(), 60.0)
    request = SyncRequest("g~1", epoch=service.endpoints.epoch)
    urgent = msgspec.structs.replace(request, urgent_only=True)
    assert (await service.sync(request)).watched == ["f"]
    assert (await service.sync(urgent)).watched is None
