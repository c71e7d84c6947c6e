"""Carries out the faults of a plan, each kind by its own function."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from marjoramyard.fleet import paths
from marjoramyard.fleet.messages import Empty, HostStatus
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.standin.relay import Relay
from soak.fleet import Node, SoakFleet
from soak.host_faults import Wrong
from soak.plan import Fault, FaultKind, Target

DELAY_SECONDS = 0.15
SLOW_SYNC_SECONDS = 0.2
CLOCK_STEP_SECONDS = 3600.0
STORM_CHANGES = 6
STORM_GAP_SECONDS = 0.08
STATUS_SECONDS = 0.5


class Injector:
    """Knows all that can be struck."""

    def __init__(self, fleet: SoakFleet, endpoints, operator, beats):
        self.fleet = fleet
        self.endpoints = endpoints
        self.endpoint_links: list[Relay] = []
        self.operator = operator
        self.beats = beats
        self.client: InternalClient | None = None
        self.skipped: list[Fault] = []
        self.endpoint_locks = [asyncio.Lock() for _ in endpoints]

    async def carry_out(self, fault: Fault) -> None:
        """Runs one fault to its end and notes when it was there.

        A silent connection stays silent until who holds it gives it up, so
        the end of that fault is left open: callers' own connections to a
        gateway may be among them, and nothing can answer on those.
        """
        if fault.target is Target.OPERATOR:
            await OPERATOR[fault.kind](self)
            return
        if fault.kind is FaultKind.SPLIT:
            await self._split(fault)
            return
        span = self.fleet.span(
            fault.target.value, fault.kind.value, fault.number
        )
        try:
            await self._strike(fault)
        finally:
            stays_silent = fault.kind is FaultKind.SILENCE
            if not (stays_silent and fault.target is Target.GATEWAY):
                span.until = time.monotonic()

    async def _strike(self, fault: Fault) -> None:
        if fault.target is Target.ENDPOINT:
            await self._strike_endpoint(fault)
            return
        node = self.fleet.nodes(fault.target.value)[fault.number]
        if fault.kind in LINK:
            await LINK[fault.kind](self._links(node), fault.seconds)
            return
        if fault.kind in DISK:
            await self._misbehave(node, DISK[fault.kind], fault.seconds)
            return
        async with node.lock:
            if fault.kind is FaultKind.WIPE and not await self._is_whole():
                self.skipped.append(fault)
                return
            await PROCESS[fault.kind](self.fleet, node, fault.seconds)

    def _links(self, node: Node) -> list[Relay]:
        links = [node.relay]
        if node.target == "gateway":
            links.append(self.fleet.callers_links[node.number])
        return links

    async def _strike_endpoint(self, fault: Fault) -> None:
        if fault.kind in LINK:
            link = self.endpoint_links[fault.number]
            await LINK[fault.kind]([link], fault.seconds)
            return
        endpoint = self.endpoints[fault.number]
        async with self.endpoint_locks[fault.number]:
            if fault.kind is FaultKind.LEAVE:
                await endpoint.leave(self.beats)
                return
            await endpoint.stop()
            await asyncio.sleep(fault.seconds)
            await endpoint.start()

    async def _misbehave(
        self, node: Node, wrong: Wrong, seconds: float
    ) -> None:
        self.fleet.misbehave(node, wrong)
        await asyncio.sleep(seconds)
        self.fleet.misbehave(node, Wrong())

    async def _split(self, fault: Fault) -> None:
        """No control host hears another; gateways hear none of them."""
        nodes = self.fleet.controls
        spans = [
            self.fleet.span("control", fault.kind.value, node.number)
            for node in nodes
        ]
        await cut([node.relay for node in nodes], fault.seconds)
        for span in spans:
            span.until = time.monotonic()

    async def _is_whole(self) -> bool:
        """Whether all copies are there, so that one disk may be lost.

        Losing a second disk before the first one's copy has been made anew
        is more than the fleet is built to bear.
        """
        nodes = self.fleet.controls
        told = await asyncio.gather(
            *(
                self.client.call(
                    node.relay.address,
                    paths.STATUS_PATH,
                    Empty(),
                    HostStatus,
                    STATUS_SECONDS,
                )
                for node in nodes
            )
        )
        if not all(one.is_ok() for one in told):
            return False
        hosts: list[HostStatus] = [one.ok_value for one in told]
        replicas = {host.replica for host in hosts}
        return all(
            set(host.membership.voters) == replicas
            and host.last_index == hosts[0].last_index == host.commit
            for host in hosts
        )


async def delay(links: list[Relay], seconds: float) -> None:
    """Passes everything on later."""
    for link in links:
        link.delay_seconds = DELAY_SECONDS
    await asyncio.sleep(seconds)
    for link in links:
        link.delay_seconds = 0.0


async def reset(links: list[Relay], _: float) -> None:
    """Breaks all connections."""
    for link in links:
        link.break_connections()


async def cut(links: list[Relay], seconds: float) -> None:
    """Lets nothing through in either direction, and tells nobody."""
    for link in links:
        link.partition()
    await asyncio.sleep(seconds)
    for link in links:
        link.heal()


async def cut_replies(links: list[Relay], seconds: float) -> None:
    """Lets requests through and holds what comes back."""
    for link in links:
        link.replies_allowed.clear()
    await asyncio.sleep(seconds)
    for link in links:
        link.replies_allowed.set()


async def silence(links: list[Relay], _: float) -> None:
    """Open connections fall silent for good; new ones work."""
    for link in links:
        link.stall_connections()


LINK: dict[FaultKind, Callable[[list[Relay], float], Awaitable[None]]] = {
    FaultKind.DELAY: delay,
    FaultKind.RESET: reset,
    FaultKind.CUT: cut,
    FaultKind.CUT_REPLIES: cut_replies,
    FaultKind.SILENCE: silence,
}
PROCESS = {
    FaultKind.KILL: SoakFleet.kill,
    FaultKind.PAUSE: SoakFleet.pause,
    FaultKind.STOP: SoakFleet.stop,
    FaultKind.WIPE: SoakFleet.wipe,
}
DISK = {
    FaultKind.SLOW_DISK: Wrong(sync_seconds=SLOW_SYNC_SECONDS),
    FaultKind.FULL_DISK: Wrong(is_full=True),
    FaultKind.CLOCK_STEP: Wrong(clock_seconds=CLOCK_STEP_SECONDS),
}


async def _change(injector: Injector) -> None:
    await injector.operator.change()


async def _revoke(injector: Injector) -> None:
    await injector.operator.revoke()


async def _storm(injector: Injector) -> None:
    async with asyncio.TaskGroup() as tasks:
        for _ in range(STORM_CHANGES):
            tasks.create_task(injector.operator.change())
            await asyncio.sleep(STORM_GAP_SECONDS)


OPERATOR = {
    FaultKind.CONFIG: _change,
    FaultKind.REVOKE: _revoke,
    FaultKind.STORM: _storm,
}
