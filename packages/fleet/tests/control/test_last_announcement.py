"""What a control host announces when it stops."""

import asyncio
import contextlib

from aiohttp import web

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.fleet import paths
from marjoramyard.fleet.application import Application
from marjoramyard.fleet.control import cluster_manager
from marjoramyard.fleet.control.role import control_role
from marjoramyard.fleet.settings import ControlSettings
from marjoramyard.fleet.sync_messages import (
    ControlHost,
    HostAnnouncement,
    HostAnnouncementReply,
)
from marjoramyard.fleet.util.rpc import (
    InternalClient,
    json_response,
    read_message,
)
from marjoramyard.fleet.util.tasks import task_group
from marjoramyard.standin.local_fleet import wait_until
from marjoramyard.standin.processes import free_address

STOP_SECONDS = 4.0


class Peer:
    """Another control host, which records the announcements to it.

    Attributes:
        address: Its internal address.
        states: The announced states of endpoints.
        count: How many announcements were received.
        replies: Cleared to make announcements wait.
    """

    def __init__(self):
        self.address = free_address()
        self.states = {}
        self.count = 0
        self.replies = asyncio.Event()
        self.replies.set()

    async def announce(self, request):
        message = await read_message(request, HostAnnouncement)
        await self.replies.wait()
        self.count += 1
        for registration in message.words:
            self.states[registration.endpoint] = registration.state
        host = ControlHost("peer", self.address, "127.0.0.1:9")
        return json_response(HostAnnouncementReply(host, []))

    @contextlib.asynccontextmanager
    async def running(self):
        app = web.Application()
        app.add_routes([web.post(paths.ANNOUNCE_PATH, self.announce)])
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        try:
            yield self
        finally:
            await runner.cleanup()


@contextlib.asynccontextmanager
async def control_host(peer):
    """Runs a control host; it has announced itself to the peer once."""
    settings = ControlSettings(
        role="control",
        name="c",
        zone="z",
        internal=free_address(),
        operator_listen=free_address(),
        seeds=[peer.address],
        peer_port=int(peer.address.split(":")[1]),
        self_forming=True,
        trust_network=True,
    )
    app = Application(settings)
    async with task_group() as app.tasks:
        app.client = InternalClient("", app.metrics)
        try:
            async with control_role(app) as role:

                async def has_announced():
                    manager = role.cluster_manager
                    return peer.count and not manager.pending_announcements

                await wait_until(has_announced, "an announcement")
                yield role
        finally:
            await app.client.close()
            app.metrics.close()


def stop_endpoint(role):
    """Has an endpoint register and depart."""
    role.service.endpoints.register(
        Registration(
            endpoint="e-1", service="api", address="127.0.0.1:9", born=1
        )
    )
    role.service.endpoints.mark_departed("e-1")


async def test_a_departure_is_announced_before_the_host_stops(monkeypatch):
    """Guards against a departure that only a host that has stopped knows."""
    monkeypatch.setattr(cluster_manager, "ANNOUNCE_INTERVAL_SECONDS", 3600.0)
    async with Peer().running() as peer:
        async with control_host(peer) as role:
            stop_endpoint(role)
        assert peer.states == {"e-1": EndpointState.DEPARTED}


async def test_a_host_that_is_cut_off_does_not_hold_up_the_stop(monkeypatch):
    """Guards against a host that is killed as it waits for another one."""
    monkeypatch.setattr(cluster_manager, "ANNOUNCE_INTERVAL_SECONDS", 3600.0)
    monkeypatch.setattr(cluster_manager, "CALL_TIMEOUT_SECONDS", 3600.0)
    async with Peer().running() as peer:
        async with control_host(peer) as role:
            peer.replies.clear()
            async with asyncio.timeout(STOP_SECONDS):
                await role.cluster_manager.announce_last()
            assert peer.address in role.cluster_manager.pending_announcements
