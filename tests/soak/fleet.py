"""A fleet of separate processes whose links run through relays."""

import asyncio
import shutil
import sys
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import (
    AsyncExitStack,
    ExitStack,
    asynccontextmanager,
    contextmanager,
)
from pathlib import Path

import yaml

from marjoramyard.standin.processes import ChildProcess, free_address
from marjoramyard.standin.relay import Relay, relay_to
from soak import host_faults
from soak.plan import FleetSize, PowerLoss
from soak.record import FaultSpan, OwnEnd, Record, Shutdown

TESTS = Path(__file__).parents[1]
GRACE_SECONDS = 8.0
MEMORY_MB = 136
"""The memory of each process, the least of a host in use."""
KILL_MARGIN_SECONDS = 0.5
SUPERVISION_INTERVAL_SECONDS = 0.2


class Node:
    """A process of the fleet and the relay to its internal address.

    Attributes:
        lock: Held by a fault that ends or restarts the process.
        turns: Held while the process gets its processor in turns.
        has_waiting_stop: Whether a stop waits for the lock.
        is_stopping: Whether the process has got SIGTERM.
        is_suspended: Whether a fault suspends the process now.
        is_down: Whether a fault ends the process now, or has ended it.
    """

    def __init__(
        self, target: str, number: int, child: ChildProcess, relay: Relay
    ):
        self.target = target
        self.number = number
        self.child = child
        self.relay = relay
        self.lock = asyncio.Lock()
        self.turns = asyncio.Lock()
        self.has_waiting_stop = False
        self.is_stopping = False
        self.is_suspended = False
        self.is_down = False
        self.data_folder: Path | None = None

    @contextmanager
    def being_ended(self) -> Iterator[None]:
        """Marks that a fault ends the process until it is restarted."""
        was_down, self.is_down = self.is_down, True
        try:
            yield
        finally:
            self.is_down = was_down


class SoakFleet:
    """Control hosts and gateways, to be created with `soak_fleet`."""

    def __init__(self, folder: Path, size: FleetSize, record: Record):
        self.folder = folder
        self.size = size
        self.record = record
        self.controls: list[Node] = []
        self.gateways: list[Node] = []
        self.peer_port = _port(free_address())
        operator_port = _port(free_address())
        hosts = [f"127.0.0.{2 + n}" for n in range(size.control_hosts)]
        self.operator_addresses = [f"{host}:{operator_port}" for host in hosts]
        self.caller_relays: list[Relay] = []
        self.gateway_addresses: list[str] = []
        self.ready_addresses: list[str] = []

    @property
    def replicas(self) -> list[Node]:
        """The control hosts with a disk."""
        return self.controls[: self.size.controls]

    @property
    def all_nodes(self) -> list[Node]:
        """All control hosts and gateways."""
        return [*self.controls, *self.gateways]

    def nodes(self, target: str) -> list[Node]:
        """Returns the nodes of a role, "control" or "gateway"."""
        return self.controls if target == "control" else self.gateways

    async def build(self, stack: AsyncExitStack) -> None:
        """Writes the settings and opens the relays, but starts no process."""
        for number, operator in enumerate(self.operator_addresses):
            await self._add_control(stack, number, operator)
        for number in range(self.size.gateways):
            await self._add_gateway(stack, number)

    async def _add_control(self, stack, number: int, operator: str) -> None:
        host = operator.partition(":")[0]
        listen = f"{host}:{_port(free_address())}"
        link = relay_to(listen, f"{host}:{self.peer_port}")
        relay = await stack.enter_async_context(link)
        name = f"control-{number}"
        has_disk = number < self.size.controls
        folder = self.folder / f"data-{number}" if has_disk else None
        node = Node("control", number, self._child(name), relay)
        node.data_folder = folder
        self.controls.append(node)
        self._write(
            name,
            role="control",
            internal=listen,
            advertised=relay.address,
            operator_listen=operator,
            zone=self._zone(number),
            data_folder=str(folder or ""),
            self_forming=True,
            first_start=True,
            losses=(self.size.controls - 1) // 2,
            snapshot_every=20,
            extensions=["soak.host_faults"] if has_disk else [],
        )

    async def _add_gateway(self, stack, number: int) -> None:
        internal, listen = free_address(), free_address()
        relay = await stack.enter_async_context(relay_to(internal))
        callers = await stack.enter_async_context(relay_to(listen))
        self.caller_relays.append(callers)
        self.gateway_addresses.append(listen)
        ready = free_address()
        self.ready_addresses.append(ready)
        name = f"gateway-{number}"
        node = Node("gateway", number, self._child(name), relay)
        self.gateways.append(node)
        self._write(
            name,
            role="gateway",
            zone=self._zone(number),
            internal=internal,
            advertised=relay.address,
            listen=listen,
            ready_listen=ready,
            grace_seconds=GRACE_SECONDS,
            startup_wait_seconds=1.0,
        )

    def _zone(self, number: int) -> str:
        return f"zone-{number % (self.size.zones or number + 1)}"

    def _child(self, name: str) -> ChildProcess:
        command = [sys.executable, "-m", "marjoramyard.fleet", "run"]
        command.append(str(self.folder / f"{name}.yaml"))
        env = {"PYTHONPATH": str(TESTS)}
        return ChildProcess(name, command, self.folder / f"{name}.log", env)

    def _write(self, name: str, **settings) -> None:
        settings |= {
            "name": name,
            "seeds": self.operator_addresses[:3],
            "peer_port": self.peer_port,
            "trust_network": True,
            "memory_mb": MEMORY_MB,
            "log": {"format": "json"},
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))

    def mark_bootstrapped(self) -> None:
        """Marks in the settings that the cluster has been bootstrapped."""
        for node in self.controls:
            path = self.folder / f"{node.child.name}.yaml"
            settings = yaml.safe_load(path.read_text())
            settings["first_start"] = False
            path.write_text(yaml.safe_dump(settings))

    async def start(self) -> None:
        """Starts all processes concurrently."""
        await asyncio.gather(*(node.child.start() for node in self.all_nodes))

    async def supervise(self) -> None:
        """Records and restarts processes that end by themselves."""
        while True:
            await asyncio.sleep(SUPERVISION_INTERVAL_SECONDS)
            for node in self.all_nodes:
                if not node.is_down and not node.child.is_running:
                    self.record.own_ends.append(
                        OwnEnd(
                            target=node.target,
                            number=node.number,
                            exit_code=node.child.process.returncode,
                            at=time.monotonic(),
                            had_started=has_logged_its_start(
                                node, node.child.pid
                            ),
                        )
                    )
                    await node.child.start()

    async def close(self) -> None:
        """Kills all processes that are still running."""
        for node in self.all_nodes:
            if node.child.is_running:
                node.child.resume()
                await node.child.kill()

    # Faults of processes.

    async def kill(self, node: Node, seconds: float) -> None:
        """Kills a process and restarts it after `seconds`."""
        if not node.child.is_running:
            return
        with node.being_ended():
            await node.child.kill()
            await asyncio.sleep(seconds)
            await node.child.start()

    async def suspend(self, node: Node, seconds: float) -> None:
        """Suspends a process for `seconds`."""
        node.is_suspended = True
        node.child.suspend()
        await asyncio.sleep(seconds)
        node.is_suspended = False
        node.child.resume()

    async def terminate(self, node: Node, seconds: float) -> None:
        """Sends SIGTERM to a process and restarts it after `seconds`.

        A process that outlives its grace period is killed.
        """
        if not node.child.is_running:
            return
        with node.being_ended():
            await self._terminate(node, seconds)

    async def _terminate(self, node: Node, seconds: float) -> None:
        signalled_at = time.monotonic()
        pid = node.child.pid
        node.is_stopping = True
        try:
            limit = GRACE_SECONDS + KILL_MARGIN_SECONDS
            code = await node.child.terminate(limit)
        except TimeoutError:
            await node.child.kill()
            code = node.child.process.returncode
        finally:
            node.is_stopping = False
        self.record.shutdowns.append(
            Shutdown(
                target=node.target,
                number=node.number,
                signalled_at=signalled_at,
                ended_at=time.monotonic(),
                exit_code=code,
                had_started=has_logged_its_start(node, pid),
            )
        )
        await asyncio.sleep(seconds)
        await node.child.start()

    async def lose_disk(self, node: Node, seconds: float) -> None:
        """Kills a control host, deletes its data and restarts it."""
        with node.being_ended():
            await node.child.kill()
            shutil.rmtree(node.data_folder, ignore_errors=True)
            await asyncio.sleep(seconds)
            await node.child.start()

    async def lose_power(self, loss: PowerLoss) -> None:
        """Ends all processes at once, and starts them again."""
        with ExitStack() as stack:
            for node in self.all_nodes:
                stack.enter_context(node.being_ended())
            await self._lose_power(loss, self.all_nodes)

    async def _lose_power(self, loss: PowerLoss, nodes: list[Node]) -> None:
        spans = [
            self.begin_fault(node.target, "power", node.number)
            for node in nodes
        ]
        await asyncio.gather(*(node.child.kill() for node in nodes))
        if loss.lost_disk is not None:
            folder = self.controls[loss.lost_disk].data_folder
            shutil.rmtree(folder, ignore_errors=True)
        await asyncio.sleep(loss.seconds)
        await asyncio.gather(*(node.child.start() for node in nodes))
        for span in spans:
            span.ended_at = time.monotonic()

    def set_host_faults(
        self, node: Node, faults: host_faults.HostFaults
    ) -> None:
        """Sets the faults of a control host's disk and clock."""
        host_faults.write(node.data_folder, faults)

    def begin_fault(self, target: str, kind: str, number: int) -> FaultSpan:
        """Records the start of a fault and returns its span."""
        span = FaultSpan(
            target=target, kind=kind, number=number, started_at=time.monotonic()
        )
        self.record.fault_spans.append(span)
        return span


def has_logged_its_start(node: Node, pid: int) -> bool:
    """Whether a process was ready to handle signals when it was started."""
    with node.child.log.open(encoding="utf-8") as lines:
        return any(
            '"event": "started"' in line and f'"pid": {pid},' in line
            for line in lines
        )


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


@asynccontextmanager
async def soak_fleet(
    folder: Path, size: FleetSize, record: Record
) -> AsyncIterator[SoakFleet]:
    """Runs the processes and relays of a fleet."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet = SoakFleet(folder, size, record)
    async with AsyncExitStack() as stack:
        await fleet.build(stack)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.close()
