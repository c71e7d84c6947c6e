"""How a gateway fetches new configurations."""

import asyncio

import msgspec
import pytest
from result import Err, Ok

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.config_transfer import ConfigHistory, ConfigUpdate
from marjoramyard.fleet.gateway import config_fetcher
from marjoramyard.fleet.gateway.config_fetcher import ConfigFetcher
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import SyncReply
from marjoramyard.kernel.errors import FailureKind, failure


class Hosts:
    """Control hosts that reply to fetches.

    Attributes:
        histories: The configurations of each host; None for a lost host.
        calls: The hosts that were called.
    """

    def __init__(self, *names):
        self.histories = {name: ConfigHistory() for name in names}
        self.calls = []

    def put(self, version, *names):
        text = msgspec.json.encode({"version": version})
        for name in names or self.histories:
            self.histories[name].add(ConfigDocument(version, text))

    async def call(self, source, _path, request, reply, _timeout):
        self.calls.append(source)
        if self.histories[source] is None:
            return Err(failure(FailureKind.NO_ENDPOINT, "lost"))
        data = self.histories[source].encoded_update(request)
        return Ok(msgspec.json.decode(data, type=reply))


@pytest.fixture
def hosts():
    return Hosts("near", "far")


@pytest.fixture
async def fetcher(hosts, monkeypatch):
    monkeypatch.setattr(config_fetcher, "RETRY_SECONDS", 0.001)
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    instance = ConfigFetcher(hosts, view, "zone-a")
    task = asyncio.create_task(instance.run())
    yield instance
    task.cancel()


def announce(fetcher, version, *sources):
    for source in sources:
        zone = "zone-a" if source == "near" else "zone-b"
        fetcher.on_announced(source, version, zone)


async def wait_for_version(fetcher, version):
    async with asyncio.timeout(5):
        while fetcher.view.version != version:
            await asyncio.sleep(0.001)


async def test_a_version_is_fetched_once_from_the_own_zone(hosts, fetcher):
    """Guards against as many copies as there are control hosts."""
    hosts.put(1)
    announce(fetcher, 1, "far", "near")
    await wait_for_version(fetcher, 1)
    hosts.put(2)
    announce(fetcher, 2, "far", "near")
    await wait_for_version(fetcher, 2)
    announce(fetcher, 2, "far", "near")
    await asyncio.sleep(0.01)
    assert hosts.calls == ["near", "near"]


async def test_another_host_steps_in_for_a_lost_one(hosts, fetcher):
    """Guards against a change that waits for a lost control host."""
    hosts.put(1)
    hosts.histories["near"] = None
    announce(fetcher, 1, "near", "far")
    await wait_for_version(fetcher, 1)
    assert hosts.calls == ["near", "far"]


async def test_a_host_that_has_lost_its_version_is_passed_over(hosts, fetcher):
    """Guards against a gateway that keeps asking a restarted host."""
    hosts.put(1, "far")
    announce(fetcher, 1, "near", "far")
    await wait_for_version(fetcher, 1)


async def test_an_older_version_does_not_replace_a_newer_one(hosts, fetcher):
    hosts.put(2)
    announce(fetcher, 2, "near")
    await wait_for_version(fetcher, 2)
    assert fetcher.view.install(ConfigDocument(1, b'{"version":1}'))
    assert fetcher.view.version == 2


async def test_a_confirmation_counts_once_its_version_is_in_force(
    hosts, fetcher
):
    """Guards against a lost lease while changes come faster than polls."""
    view = fetcher.view
    now = 100.0
    view.apply("near", SyncReply("e", 0, True, version=2), now)
    assert view.lease.valid_until < now
    view.install(ConfigDocument(1, b'{"version":1}'))
    assert view.lease.valid_until < now
    view.install(ConfigDocument(2, b'{"version":2}'))
    assert view.lease.valid_until == now + 5.0


async def test_an_update_that_belongs_to_another_document_is_refused(
    hosts, fetcher
):
    """Guards against applying a difference to the wrong document."""
    hosts.put(1)
    announce(fetcher, 1, "near")
    await wait_for_version(fetcher, 1)
    wrong = ConfigUpdate(2, "0" * 32, delta=[])
    hosts.histories["near"].encoded_update = lambda _: msgspec.json.encode(
        wrong
    )
    hosts.put(2, "far")
    announce(fetcher, 2, "near", "far")
    await wait_for_version(fetcher, 2)
    assert fetcher.text == b'{"version":2}'
