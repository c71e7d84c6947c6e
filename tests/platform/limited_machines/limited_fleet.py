"""Starts the processes of a deployment and records how each of them ended."""

import asyncio
import collections
import ctypes
import dataclasses
import json
import os
import pathlib
import resource
import shutil
import signal
import sys
import time

import limited_deploy

FRONTEND_PORT, READY_PORT, CONTROL_PORT = 8783, 8780, 8785
PORT_RANGE = [7400, 7415]
RESTART_SECONDS = 0.5
GRACE_SECONDS = 8.0
LOG_LINES = 60
MEBIBYTE = 1024 * 1024
PR_SET_PDEATHSIG = 1
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_ms": 250,
    "skew_max_ms": 5000,
    "fail_closed": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 128,
    "recovery_s": 12,
    "delivery_ms": 120,
    "reuse_window_s": 6.9,
    "quota_window_s": 4,
}
_LIBC = ctypes.CDLL(None)


@dataclasses.dataclass
class Disturbance:
    """What the runner did to a machine, and when."""

    kind: str
    planned: bool
    since: float
    until: float = float("inf")


@dataclasses.dataclass
class End:
    """The end of a process."""

    name: str
    at: float
    code: int
    asked: bool
    why: str
    log: list


@dataclasses.dataclass
class Machine:
    """A machine of the sheet and the processes on it."""

    name: str
    zone: str
    address: str
    roles: list
    share: float
    memory_mb: int
    descriptors: int
    disk: bool
    folder: pathlib.Path
    processes: dict = dataclasses.field(default_factory=dict)
    expected: set = dataclasses.field(default_factory=set)
    disturbances: list = dataclasses.field(default_factory=list)
    down: bool = False

    def disturb(self, kind, planned=False):
        """Records a disturbance that begins now, and returns it."""
        event = Disturbance(kind, planned, time.monotonic())
        self.disturbances.append(event)
        return event

    def unplanned_during(self, since, until):
        """Returns the unplanned disturbances that overlap a time."""
        return [
            d
            for d in self.disturbances
            if not d.planned and d.since <= until and d.until >= since
        ]


class Process:
    """A started process, its output and its end."""

    def __init__(self, name, child):
        self.name, self.child, self.pid = name, child, child.pid
        self.started_at = time.monotonic()
        self.log = collections.deque(maxlen=LOG_LINES)
        self.asked = ""


class Fleet:
    """All machines of the deployment."""

    def __init__(self, root, folder, slot, controls, python_folder, keeper):
        self._root, self._folder = root, folder
        self._python_folder, self._keeper = python_folder, keeper
        self._roles = limited_deploy.read_roles(root)
        self._wire = limited_deploy.Wire(root)
        self._starts = 0
        self._waits = set()
        self.ends, self.over, self.peaks = [], [], []
        self.bootstrap = True
        self.file_limit = 64 * MEBIBYTE
        self.closing = False
        self.machines = self._make_machines(slot, controls)

    def _make_machines(self, slot, controls):
        machines = []
        for zone_number, (zone, small) in enumerate(
            (("dkr-plateau", 4), ("dkr-almadies", 4), ("dkr-diamniadio", 2))
        ):
            for number in range(small + 1):
                disk = number == 0
                has_control = number < (2 if controls == 6 else 1)
                name = f"edge-{zone}-{number + 1}"
                machines.append(
                    Machine(
                        name,
                        zone,
                        f"127.{slot}.{zone_number + 1}.{number + 10}",
                        ["gateway", "control"] if has_control else ["gateway"],
                        1.936 if disk else 0.559,
                        150 if disk else 136,
                        4100 if disk else 1535,
                        disk,
                        self._folder / name,
                    )
                )
        return machines

    @property
    def control_machines(self):
        """The machines that run a control process."""
        return [m for m in self.machines if "control" in m.roles]

    @property
    def core(self):
        """The machines with a disk."""
        return [m for m in self.machines if m.disk]

    def control_addresses(self):
        """Returns the addresses of all control processes."""
        return [f"{m.address}:{CONTROL_PORT}" for m in self.control_machines]

    def _settings(self, machine, role):
        listen = {
            "frontend": f"{machine.address}:{FRONTEND_PORT}",
            "ready": f"{machine.address}:{READY_PORT}",
        }
        if role == "control":
            listen = {"control": f"{machine.address}:{CONTROL_PORT}"}
        data = machine.folder / "data" / role
        return {
            "node_name": machine.name,
            "role": role,
            "machine_class": "edge",
            "serves": self._roles[role]["serves"],
            "ip": machine.address,
            "zone": machine.zone,
            "region": "dkr",
            "zones": {
                z: "dkr"
                for z in ("dkr-plateau", "dkr-almadies", "dkr-diamniadio")
            },
            "listen": listen,
            "port_range": PORT_RANGE,
            "seeds": [f"{m.address}:{CONTROL_PORT}" for m in self.core],
            "bootstrap": self.bootstrap,
            "in_tolerance": machine.disk,
            "limits": {
                "cpu_share": 0.968 if machine.disk else 0.559,
                "cores": 2 if machine.disk else 1,
                "memory_mb": machine.memory_mb,
                "max_fds": machine.descriptors,
                "link_mbps": 1000.0,
                "disk_mb": 64 if machine.disk else 0,
            },
            "data_dir": str(data) if machine.disk else None,
            "discovery": "self_register",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
            ],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }

    def write_settings(self, machine, role):
        """Writes the settings of a role on a machine; returns the path."""
        machine.folder.mkdir(parents=True, exist_ok=True)
        if machine.disk:
            (machine.folder / "data" / role).mkdir(parents=True, exist_ok=True)
        text = (self._root / self._roles[role]["template"]).read_text()
        settings = self._wire.body(self._settings(machine, role))
        path = machine.folder / f"{role}-settings"
        path.write_text(limited_deploy.render(text, [("", settings)]))
        return path

    async def start_all(self):
        """Tells the keeper the machines' shares and starts all processes."""
        for machine in self.machines:
            self._keeper.order(
                op="machine", machine=machine.name, quota=machine.share
            )
        await asyncio.gather(
            *(self.start(machine) for machine in self.machines)
        )

    async def start(self, machine):
        """Starts the processes of a machine that do not run."""
        machine.down = False
        for role in machine.roles:
            if role not in machine.processes:
                await self._start_process(machine, role)

    async def _start_process(self, machine, role):
        self._starts += 1
        if self._starts > 600:
            raise RuntimeError("too many starts")
        path = self.write_settings(machine, role)
        program, *arguments = self._roles[role]["run"].split(" ")
        temporary = machine.folder / f"{role}-tmp"
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir()
        environment = {
            "PATH": f"{self._python_folder}:/usr/bin:/bin",
            "HOME": str(temporary),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(self._root / "target/deps"),
            "MARJORAMYARD_CONFIG": str(path),
        }

        file_limit = self.file_limit

        def limit():
            _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
            resource.setrlimit(
                resource.RLIMIT_NOFILE,
                (machine.descriptors, machine.descriptors),
            )
            resource.setrlimit(
                resource.RLIMIT_FSIZE, (file_limit, 64 * MEBIBYTE)
            )
            resource.setrlimit(resource.RLIMIT_CORE, (0, 0))

        child = await asyncio.create_subprocess_exec(
            program,
            *arguments,
            cwd=self._root,
            env=environment,
            preexec_fn=limit,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
        )
        name = f"{machine.name}/{role}"
        process = Process(name, child)
        machine.processes[role] = process
        ports = (
            [FRONTEND_PORT, READY_PORT, PORT_RANGE[1], PORT_RANGE[1] - 1]
            if role == "gateway"
            else [CONTROL_PORT, PORT_RANGE[0]]
        )
        self._keeper.order(
            op="watch",
            name=name,
            pid=process.pid,
            machine=machine.name,
            memory_bytes=machine.memory_mb * MEBIBYTE,
            address=machine.address,
            ports=ports,
        )
        task = asyncio.create_task(self._follow(machine, role, process))
        self._waits.add(task)
        task.add_done_callback(self._waits.discard)

    async def _follow(self, machine, role, process):
        log_path = machine.folder / f"{role}.log"
        with open(log_path, "ab") as log:
            while True:
                data = await process.child.stdout.read(65536)
                if not data:
                    break
                log.write(data)
                process.log.extend(data.decode("utf-8", "replace").splitlines())
        code = await process.child.wait()
        now = time.monotonic()
        self._keeper.order(op="unwatch", name=process.name)
        if machine.processes.get(role) is process:
            del machine.processes[role]
        over = any(entry["pid"] == process.pid for entry in self.over)
        asked = bool(process.asked) and not over
        why = "memory" if over else process.asked or "by itself"
        if not self.closing:
            self.ends.append(
                End(process.name, now, code, asked, why, list(process.log))
            )
        if not asked and not self.closing:
            await asyncio.sleep(RESTART_SECONDS)
        if (
            not asked
            and not machine.down
            and not self.closing
            and (role not in machine.processes)
        ):
            await self._start_process(machine, role)

    def kill(self, machine, why, roles=None):
        """Sends SIGKILL to processes of a machine.

        Args:
            machine: The machine.
            why: The reason that their ends record.
            roles: The roles to kill; all if None.
        """
        for role, process in list(machine.processes.items()):
            if roles is None or role in roles:
                process.asked = why
                if process.child.returncode is None:
                    process.child.kill()

    async def power_off(self, machines, why):
        """Kills all processes of machines and waits for their ends.

        Returns:
            The disturbances, which last until `power_on`.
        """
        events = [machine.disturb(why) for machine in machines]
        for machine in machines:
            machine.down = True
            self.kill(machine, why)
        while any(machine.processes for machine in machines):
            await asyncio.sleep(0.01)
        return events

    async def power_on(self, machines, events, wipe=False):
        """Starts machines and ends their disturbances.

        Args:
            machines: The machines to start.
            events: The disturbances that `power_off` returned.
            wipe: Whether the machines lose their data before.
        """
        for machine in machines:
            if wipe:
                shutil.rmtree(machine.folder / "data", ignore_errors=True)
        await asyncio.gather(*(self.start(machine) for machine in machines))
        for event in events:
            event.until = time.monotonic()

    async def restart(self, machine):
        """SIGTERM, SIGKILL after the grace period, and a new start."""
        event = machine.disturb("sigterm", planned=True)
        machine.down = True
        for process in machine.processes.values():
            process.asked = "sigterm"
            process.child.send_signal(signal.SIGTERM)
        kill_at = time.monotonic() + GRACE_SECONDS
        while machine.processes:
            await asyncio.sleep(0.02)
            if time.monotonic() > kill_at:
                self.kill(machine, "sigkill after grace")
        await asyncio.sleep(RESTART_SECONDS)
        await self.start(machine)
        event.until = time.monotonic()

    def hang_up(self, machine):
        """Writes the settings of a machine anew and sends SIGHUP."""
        event = machine.disturb("sighup", planned=True)
        event.until = event.since + 2.0
        for role, process in machine.processes.items():
            self.write_settings(machine, role)
            process.child.send_signal(signal.SIGHUP)

    async def freeze(self, machine, seconds):
        """Suspends all processes of a machine for some seconds."""
        event = machine.disturb("freeze")
        self._keeper.order(op="freeze", machine=machine.name, on=True)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._keeper.order(op="freeze", machine=machine.name, on=False)
        event.until = time.monotonic()

    async def fill_disk(self, machine, seconds):
        """Limits the files of a control process as a full disk would."""
        event = machine.disturb("disk_full")
        process = machine.processes.get("control")
        if process:
            resource.prlimit(
                process.pid, resource.RLIMIT_FSIZE, (4096, 64 * MEBIBYTE)
            )
        await asyncio.sleep(seconds)
        if process and process.child.returncode is None:
            resource.prlimit(
                process.pid,
                resource.RLIMIT_FSIZE,
                (64 * MEBIBYTE, 64 * MEBIBYTE),
            )
        event.until = time.monotonic()

    def disk_bytes(self, machine):
        """Returns the size of all files in a machine's data folder."""
        data = machine.folder / "data"
        total = 0
        for path, _, names in os.walk(data):
            for name in names:
                try:
                    total += os.stat(os.path.join(path, name)).st_size
                except FileNotFoundError:
                    pass
        return total

    async def stop(self):
        """Kills all processes and waits for their ends."""
        self.closing = True
        for machine in self.machines:
            machine.down = True
            self.kill(machine, "end of the run")
        deadline = time.monotonic() + 5
        while self._waits and time.monotonic() < deadline:
            await asyncio.sleep(0.05)


class KeeperLink:
    """The process that keeps the limits."""

    def __init__(self):
        self.fleet = None
        self._done = asyncio.Event()
        self.late_samples = 0

    async def start(self):
        """Starts the keeper and reads its reports."""
        path = pathlib.Path(__file__).with_name("limited_keeper.py")
        self._child = await asyncio.create_subprocess_exec(
            sys.executable,
            str(path),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._task = asyncio.create_task(self._read())

    def order(self, **fields):
        """Sends an order, unless the keeper has ended."""
        if self._child.returncode is None:
            self._child.stdin.write(json.dumps(fields).encode() + b"\n")

    async def _read(self):
        while line := await self._child.stdout.readline():
            report = json.loads(line)
            if report["op"] == "over":
                self.fleet.over.append(report)
            elif report["op"] == "peak":
                self.fleet.peaks.append(report)
            else:
                self.late_samples = report["late_samples"]
                self._done.set()

    async def collect(self):
        """Asks for the peaks of all processes and waits for them."""
        self._done.clear()
        self.order(op="peaks")
        await asyncio.wait_for(self._done.wait(), 5)

    async def stop(self):
        """Ends the keeper and waits until all reports are read."""
        self._child.stdin.close()
        await asyncio.wait_for(self._child.wait(), 5)
        await self._task
