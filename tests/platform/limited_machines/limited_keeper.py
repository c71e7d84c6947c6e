"""Keeps the limits of machines from outside: memory, processor, suspensions.

Runs as a process of its own, so that load of the runner does not delay it.
Orders come as JSON lines on standard input, reports go to standard output.
"""

import dataclasses
import json
import os
import re
import select
import signal
import sys
import time

PAGE = os.sysconf("SC_PAGE_SIZE")
WINDOW_SECONDS = 0.1
POLL_SECONDS = 0.004
MEMORY_EVERY_SECONDS = 0.03
SOCKETS_EVERY_SECONDS = 0.4
TCP_LISTEN = b"0A"
_LINE = re.compile(
    rb"^ *\d+: ([0-9A-F]{8}):([0-9A-F]{4}) \S+ (\S\S) \S+:([0-9A-F]{8})"
    rb" \S+ \S+ +\d+ +\d+ (\d+)",
    re.MULTILINE,
)
_INODE = re.compile(r"socket:\[(\d+)\]")


@dataclasses.dataclass
class Watched:
    """A process whose limits are kept."""

    name: str
    pid: int
    machine: str
    memory_bytes: int
    pidfd: int
    ports: list
    inodes: set = dataclasses.field(default_factory=set)
    peak: int = 0
    peak_rss: int = 0
    peak_unread: int = 0
    peak_at: float = 0.0
    threads: int = 0
    descriptors: int = 0
    cpu_seconds: float = 0.0
    over: bool = False

    def send(self, number):
        """Sends a signal, if the process still exists."""
        try:
            signal.pidfd_send_signal(self.pidfd, number)
        except ProcessLookupError:
            pass


@dataclasses.dataclass
class Machine:
    """The processor of a machine, shared by its processes."""

    quota_seconds: float
    used_before: float = 0.0
    window: int = -1
    stopped: bool = False
    frozen: bool = False
    windows_throttled: int = 0


def hex_address(address):
    """Returns an IPv4 address as /proc/net/tcp writes it."""
    parts = [int(part) for part in address.split(".")]
    return "".join(f"{part:02X}" for part in reversed(parts)).encode()


def read_running_seconds(pid):
    """Returns the processor time of a process, or None if it ended."""
    total = 0
    try:
        for task in os.listdir(f"/proc/{pid}/task"):
            with open(f"/proc/{pid}/task/{task}/schedstat", "rb") as file:
                total += int(file.read().split()[0])
    except (FileNotFoundError, ProcessLookupError):
        return None
    return total / 1e9


def read_resident(pid):
    """Returns the resident bytes of a process, or 0 if it ended."""
    try:
        with open(f"/proc/{pid}/statm", "rb") as file:
            return int(file.read().split()[1]) * PAGE
    except (FileNotFoundError, ProcessLookupError):
        return 0


def read_highest_resident(pid):
    """Returns the peak that the kernel keeps, which sampling cannot miss."""
    try:
        with open(f"/proc/{pid}/status", "rb") as file:
            for line in file:
                if line.startswith(b"VmHWM:"):
                    return int(line.split()[1]) * 1024
    except (FileNotFoundError, ProcessLookupError):
        pass
    return 0


def read_inodes(pid):
    """Returns the inodes of a process's sockets, and its descriptors' count."""
    inodes, count = set(), 0
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            count += 1
            match = _INODE.match(os.readlink(f"/proc/{pid}/fd/{name}"))
            if match:
                inodes.add(match[1].encode())
    except (FileNotFoundError, ProcessLookupError, PermissionError):
        pass
    return inodes, count


def read_unread():
    """Returns bytes not read: by inode, and by address before accept."""
    by_inode, by_address = {}, {}
    for path in ("/proc/net/tcp", "/proc/net/udp"):
        with open(path, "rb") as file:
            text = file.read()
        for address, port, state, queue, inode in _LINE.findall(text):
            if queue == b"00000000" or state == TCP_LISTEN:
                continue
            if inode == b"0":
                key = (address, int(port, 16))
                by_address[key] = by_address.get(key, 0) + int(queue, 16)
            else:
                by_inode[inode] = int(queue, 16)
    return by_inode, by_address


class Keeper:
    """Samples and enforces in turns."""

    def __init__(self):
        self._watched = {}
        self._machines = {}
        self._started = time.monotonic()
        self._next_memory = 0.0
        self._next_sockets = 0.0
        self._late_samples = 0
        self._last_memory = None

    def run(self):
        """Obeys orders and keeps the limits until standard input ends."""
        buffer = b""
        while True:
            ready, _, _ = select.select([0], [], [], POLL_SECONDS)
            if ready:
                data = os.read(0, 65536)
                if not data:
                    break
                buffer += data
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    self._obey(json.loads(line))
            self._keep_processor()
            now = time.monotonic()
            if now >= self._next_sockets:
                self._next_sockets = now + SOCKETS_EVERY_SECONDS
                for entry in self._watched.values():
                    entry.inodes, count = read_inodes(entry.pid)
                    entry.descriptors = max(entry.descriptors, count)
                    self._keep_highest(entry, now)
            if now >= self._next_memory:
                self._next_memory = now + MEMORY_EVERY_SECONDS
                self._keep_memory(now)
        for entry in self._watched.values():
            entry.send(signal.SIGCONT)

    def _obey(self, order):
        kind = order["op"]
        if kind == "machine":
            self._machines[order["machine"]] = Machine(
                order["quota"] * WINDOW_SECONDS
            )
        elif kind == "watch":
            self._watch(order)
        elif kind == "unwatch":
            entry = self._watched.pop(order["name"], None)
            if entry:
                self._report_peak(entry)
                os.close(entry.pidfd)
        elif kind == "freeze":
            self._freeze(order["machine"], order["on"])
        elif kind == "peaks":
            for entry in self._watched.values():
                self._report_peak(entry)
            self._report(op="done", late_samples=self._late_samples)

    def _watch(self, order):
        try:
            pidfd = os.pidfd_open(order["pid"])
        except ProcessLookupError:
            return
        entry = Watched(
            order["name"],
            order["pid"],
            order["machine"],
            order["memory_bytes"],
            pidfd,
            [(hex_address(order["address"]), port) for port in order["ports"]],
        )
        self._watched[entry.name] = entry
        if self._machines[entry.machine].frozen:
            entry.send(signal.SIGSTOP)

    def _freeze(self, name, on):
        machine = self._machines[name]
        machine.frozen = on
        for entry in self._of(name):
            entry.send(signal.SIGSTOP if on else signal.SIGCONT)
        if not on:
            machine.stopped = False

    def _of(self, machine):
        return [
            entry
            for entry in self._watched.values()
            if entry.machine == machine
        ]

    def _keep_processor(self):
        used = dict.fromkeys(self._machines, 0.0)
        for entry in self._watched.values():
            seconds = read_running_seconds(entry.pid)
            if seconds is not None:
                entry.cpu_seconds = seconds
            used[entry.machine] += entry.cpu_seconds
        window = int(time.monotonic() / WINDOW_SECONDS)
        for name, machine in self._machines.items():
            if window != machine.window:
                machine.window = window
                machine.used_before = used[name]
                if machine.stopped and not machine.frozen:
                    machine.stopped = False
                    for entry in self._of(name):
                        entry.send(signal.SIGCONT)
            elif (
                not machine.stopped
                and not machine.frozen
                and used[name] - machine.used_before >= machine.quota_seconds
            ):
                machine.stopped = True
                machine.windows_throttled += 1
                for entry in self._of(name):
                    entry.send(signal.SIGSTOP)

    def _keep_memory(self, now):
        if (
            self._last_memory
            and now - self._last_memory > 2 * MEMORY_EVERY_SECONDS
        ):
            self._late_samples += 1
        self._last_memory = now
        by_inode, by_address = read_unread()
        for entry in self._watched.values():
            resident = read_resident(entry.pid)
            unread = sum(
                by_inode.get(inode, 0)
                for inode in entry.inodes & by_inode.keys()
            )
            unread += sum(by_address.get(key, 0) for key in entry.ports)
            total = resident + unread
            if total > entry.peak:
                entry.peak, entry.peak_rss, entry.peak_unread = (
                    total,
                    resident,
                    unread,
                )
                entry.peak_at = now
            self._kill_over(entry, now, resident, unread)

    def _keep_highest(self, entry, now):
        resident = read_highest_resident(entry.pid)
        if resident > entry.peak:
            entry.peak, entry.peak_rss, entry.peak_unread = (
                resident,
                resident,
                0,
            )
            entry.peak_at = now
        self._kill_over(entry, now, resident, 0)

    def _kill_over(self, entry, now, resident, unread):
        if resident + unread <= entry.memory_bytes or entry.over:
            return
        entry.over = True
        entry.send(signal.SIGKILL)
        self._report(
            op="over",
            name=entry.name,
            pid=entry.pid,
            at=now,
            rss=resident,
            unread=unread,
        )

    def _report_peak(self, entry):
        machine = self._machines[entry.machine]
        self._report(
            op="peak",
            name=entry.name,
            pid=entry.pid,
            peak=entry.peak,
            rss=entry.peak_rss,
            unread=entry.peak_unread,
            at=entry.peak_at,
            descriptors=entry.descriptors,
            cpu=round(entry.cpu_seconds, 2),
            throttled=machine.windows_throttled,
        )

    @staticmethod
    def _report(**fields):
        sys.stdout.write(json.dumps(fields) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    Keeper().run()
