"""Injects the faults of a plan into a running fleet."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec

from marjoramyard.fleet import paths
from marjoramyard.fleet.messages import Empty, HostStatus
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.standin.relay import Relay
from soak.callers import Callers
from soak.endpoints import Endpoint
from soak.fleet import Node, SoakFleet
from soak.floods import Flood
from soak.host_faults import HostFaults
from soak.operator import Operator
from soak.plan import Fault, FaultKind, PowerLoss, Target
from soak.record import CRASHING_PART, CRASHING_PREFIX
from soak.stops import (
    STOP_ACTIONS,
    reload_repeatedly,
    run_in_turns,
    wait_until_started,
)

LINK_DELAY_SECONDS = 0.15
DISK_DELAY_SECONDS = 0.2
CLOCK_STEP_SECONDS = 3600.0
BURST_CHANGES = 6
BURST_INTERVAL_SECONDS = 0.08
STATUS_TIMEOUT_SECONDS = 0.5
SYNC_CHECK_INTERVAL_SECONDS = 0.2
REPLACEMENT_SECONDS = 7.0
"""Within this time after the last fault all lost disks are replaced: 3 s until
the fleet counts as undisturbed, and 4 s for the replacement."""


class FaultInjector:
    """Injects faults into control hosts, gateways, endpoints and links."""

    def __init__(
        self, fleet: SoakFleet, endpoints: list[Endpoint], operator: Operator
    ):
        self.fleet = fleet
        self.endpoints = endpoints
        self.endpoint_relays: list[Relay] = []
        self.operator = operator
        self.client: InternalClient | None = None
        self.callers: Callers | None = None
        self.flood: Flood | None = None
        self.skipped: list[Fault] = []
        self.endpoint_locks = [asyncio.Lock() for _ in endpoints]

    async def inject(self, fault: Fault) -> None:
        """Injects a fault, waits until it is over and records its span.

        The span of stalled connections to a gateway has no end: a stalled
        connection stays so until it is closed, and callers may hold some.
        """
        if fault.target is Target.OPERATOR:
            await OPERATOR_ACTIONS[fault.kind](self)
            return
        if fault.kind is FaultKind.SEND_CRASHING_PARTS:
            part = f"{CRASHING_PART}{int(fault.at * 1000):x}"
            await self.callers.send_crashing_parts(part, fault.seconds)
            return
        if fault.kind is FaultKind.SEND_CRASHING_REQUESTS:
            body = f"{CRASHING_PREFIX} {fault.at:.3f}"
            await self.callers.send_crashing_requests(body, fault.seconds)
            return
        if fault.kind is FaultKind.FLOOD:
            # No fault of the fleet: the promises to others hold meanwhile.
            await self.flood.run(fault.seconds)
            return
        if fault.kind is FaultKind.ISOLATE_CONTROL_HOSTS:
            await self._isolate_control_hosts(fault)
            return
        if fault.kind is FaultKind.SHED:
            # No fault of the endpoint: the promises hold meanwhile.
            await self.endpoints[fault.number].shed(fault.seconds)
            return
        if fault.kind is FaultKind.RELOAD:
            # No fault either.
            node = self.fleet.nodes(fault.target.value)[fault.number]
            await reload_repeatedly(node, fault.seconds)
            return
        span = self.fleet.begin_fault(
            fault.target.value, fault.kind.value, fault.number
        )
        try:
            await self._apply(fault)
        finally:
            stays_stalled = fault.kind is FaultKind.STALL_CONNECTIONS
            if not (stays_stalled and fault.target is Target.GATEWAY):
                span.ended_at = time.monotonic()

    async def _apply(self, fault: Fault) -> None:
        if fault.target is Target.ENDPOINT:
            await self._apply_to_endpoint(fault)
            return
        node = self.fleet.nodes(fault.target.value)[fault.number]
        if fault.kind in LINK_ACTIONS:
            await LINK_ACTIONS[fault.kind](self._links(node), fault.seconds)
            return
        if fault.kind in HOST_FAULTS:
            await self._set_host_faults(
                node, HOST_FAULTS[fault.kind], fault.seconds
            )
            return
        if fault.kind is FaultKind.TURNS:
            await run_in_turns(node, fault.seconds)
            return
        if fault.kind in STOP_ACTIONS:
            await self._stop(node, fault)
            return
        async with node.lock:
            if (
                fault.kind is FaultKind.LOSE_DISK
                and not await self._replicas_are_in_sync()
            ):
                self.skipped.append(fault)
                return
            await PROCESS_ACTIONS[fault.kind](self.fleet, node, fault.seconds)

    async def _stop(self, node: Node, fault: Fault) -> None:
        """Stops a process, unless another stop waits for it already."""
        if node.has_waiting_stop:
            self.skipped.append(fault)
            return
        node.has_waiting_stop = True
        async with node.lock:
            node.has_waiting_stop = False
            await wait_until_started(node)
            await STOP_ACTIONS[fault.kind](self.fleet, node, fault)

    def _links(self, node: Node) -> list[Relay]:
        links = [node.relay]
        if node.target == "gateway":
            links.append(self.fleet.caller_relays[node.number])
        return links

    async def _apply_to_endpoint(self, fault: Fault) -> None:
        if fault.kind in LINK_ACTIONS:
            link = self.endpoint_relays[fault.number]
            await LINK_ACTIONS[fault.kind]([link], fault.seconds)
            return
        endpoint = self.endpoints[fault.number]
        async with self.endpoint_locks[fault.number]:
            if fault.kind is FaultKind.LEAVE:
                await endpoint.leave()
                return
            await endpoint.stop()
            await asyncio.sleep(fault.seconds)
            await endpoint.start()

    async def _set_host_faults(
        self, node: Node, faults: HostFaults, seconds: float
    ) -> None:
        self.fleet.set_host_faults(node, faults)
        await asyncio.sleep(seconds)
        self.fleet.set_host_faults(node, HostFaults())

    async def _isolate_control_hosts(self, fault: Fault) -> None:
        """Partitions the control hosts from each other and from gateways."""
        nodes = self.fleet.controls
        spans = [
            self.fleet.begin_fault("control", fault.kind.value, node.number)
            for node in nodes
        ]
        await partition([node.relay for node in nodes], fault.seconds)
        for span in spans:
            span.ended_at = time.monotonic()

    async def lose_all_power(self, loss: PowerLoss) -> None:
        """Ends all processes at once, once lost disks have been replaced."""
        record = self.fleet.record
        started_at = time.monotonic()
        while not await self._replicas_are_in_sync():
            if time.monotonic() - started_at > REPLACEMENT_SECONDS:
                record.is_unreplaced = True
                loss = msgspec.structs.replace(loss, lost_disk=None)
                break
            await asyncio.sleep(SYNC_CHECK_INTERVAL_SECONDS)
        if self.fleet.size.has_mass_faults:
            # What is acknowledged must not be lost even now.
            await self.operator.change()
        await self.fleet.lose_power(loss)

    async def _replicas_are_in_sync(self) -> bool:
        """Whether all replicas are voters and have the same, committed log.

        Only then may a disk be lost: with a second loss before the first
        replica is restored, acknowledged changes may be gone.
        """
        nodes = self.fleet.replicas
        replies = await asyncio.gather(
            *(
                self.client.call(
                    node.relay.address,
                    paths.STATUS_PATH,
                    Empty(),
                    HostStatus,
                    STATUS_TIMEOUT_SECONDS,
                )
                for node in nodes
            )
        )
        if not all(one.is_ok() for one in replies):
            return False
        hosts: list[HostStatus] = [one.ok_value for one in replies]
        replicas = {host.replica for host in hosts}
        return all(
            set(host.membership.voters) == replicas
            and host.last_index == hosts[0].last_index == host.commit
            for host in hosts
        )


async def delay(links: list[Relay], seconds: float) -> None:
    """Adds latency to the links."""
    for link in links:
        link.delay_seconds = LINK_DELAY_SECONDS
    await asyncio.sleep(seconds)
    for link in links:
        link.delay_seconds = 0.0


async def reset(links: list[Relay], _: float) -> None:
    """Aborts all open connections."""
    for link in links:
        link.break_connections()


async def partition(links: list[Relay], seconds: float) -> None:
    """Drops all traffic in both directions without closing connections."""
    for link in links:
        link.partition()
    await asyncio.sleep(seconds)
    for link in links:
        link.heal()


async def hold_replies(links: list[Relay], seconds: float) -> None:
    """Forwards requests and holds back the replies."""
    for link in links:
        link.replies_allowed.clear()
    await asyncio.sleep(seconds)
    for link in links:
        link.replies_allowed.set()


async def stall_connections(links: list[Relay], _: float) -> None:
    """Stalls all open connections for good; new ones work."""
    for link in links:
        link.stall_connections()


LINK_ACTIONS: dict[
    FaultKind, Callable[[list[Relay], float], Awaitable[None]]
] = {
    FaultKind.DELAY: delay,
    FaultKind.RESET: reset,
    FaultKind.PARTITION: partition,
    FaultKind.HOLD_REPLIES: hold_replies,
    FaultKind.STALL_CONNECTIONS: stall_connections,
}
PROCESS_ACTIONS = {
    FaultKind.KILL: SoakFleet.kill,
    FaultKind.SUSPEND: SoakFleet.suspend,
    FaultKind.LOSE_DISK: SoakFleet.lose_disk,
}
HOST_FAULTS = {
    FaultKind.SLOW_DISK: HostFaults(write_delay_seconds=DISK_DELAY_SECONDS),
    FaultKind.FULL_DISK: HostFaults(is_full=True),
    FaultKind.CLOCK_STEP: HostFaults(clock_offset_seconds=CLOCK_STEP_SECONDS),
}


async def _change(injector: FaultInjector) -> None:
    await injector.operator.change()


async def _revoke_key(injector: FaultInjector) -> None:
    await injector.operator.revoke()


async def _change_in_burst(injector: FaultInjector) -> None:
    async with asyncio.TaskGroup() as tasks:
        for _ in range(BURST_CHANGES):
            tasks.create_task(injector.operator.change())
            await asyncio.sleep(BURST_INTERVAL_SECONDS)


OPERATOR_ACTIONS = {
    FaultKind.CONFIG: _change,
    FaultKind.REVOKE_KEY: _revoke_key,
    FaultKind.CONFIG_BURST: _change_in_burst,
}
