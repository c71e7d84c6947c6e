"""Addresses and processes of local fleets."""

import asyncio
import itertools
import socket
import sys
from pathlib import Path

from marjoramyard.standin import processes
from marjoramyard.standin.processes import PORTS, free_address

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_are_below_the_ephemeral_range():
    """Otherwise an outgoing connection can take the port of a process that
    is being restarted.
    """
    lowest = int(EPHEMERAL_RANGE.read_text(encoding="ascii").split()[0])
    assert max(PORTS) < lowest
    for _ in range(50):
        assert int(free_address().rpartition(":")[2]) in PORTS


def test_ports_in_use_are_skipped(monkeypatch):
    used_port, unused_port = (
        int(free_address().rpartition(":")[2]) for _ in range(2)
    )
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", used_port))
        ports = (used_port, unused_port)
        # Otherwise the second port would not be returned again.
        monkeypatch.setattr(
            "marjoramyard.standin.processes._PORTS_RETURNED", set()
        )
        draws = iter(ports)
        chooser = type("Chooser", (), {"choice": lambda *_: next(draws)})
        monkeypatch.setattr("marjoramyard.standin.processes._RANDOM", chooser())
        assert free_address() == f"127.0.0.1:{unused_port}"


def test_an_address_is_returned_only_once(monkeypatch):
    """Guards against a process that is given one port for two listeners."""
    first = free_address()
    draws = itertools.chain([int(first.rpartition(":")[2])], PORTS)
    chooser = type("Chooser", (), {"choice": lambda *_: next(draws)})
    monkeypatch.setattr("marjoramyard.standin.processes._RANDOM", chooser())
    assert free_address() != first


def test_consecutive_ports_are_reserved():
    """Guards against a process whose second port another one was given."""
    ports = [
        int(free_address(consecutive=2).rpartition(":")[2]) for _ in range(100)
    ]
    ports += [int(free_address().rpartition(":")[2]) for _ in range(200)]
    used = ports + [port + 1 for port in ports[:100]]
    assert len(set(used)) == len(used)


def test_ports_are_found_where_no_consecutive_ones_are_left(monkeypatch):
    """Guards against a run of tests that never ends, as the few ports that are
    left of the claimed ones are apart.
    """
    free_address()
    returned = set(processes._BLOCKS.claimed[::2])
    monkeypatch.setattr(processes, "_PORTS_RETURNED", returned)
    first = int(free_address(consecutive=2).rpartition(":")[2])
    assert {first, first + 1} <= returned


async def test_a_free_address_can_be_bound():
    host, _, port = free_address().rpartition(":")
    server = await asyncio.start_server(lambda *_: None, host, int(port))
    server.close()
    await server.wait_closed()


async def test_parallel_processes_get_different_addresses():
    """Guards against two fleets of parallel test workers that share a port."""
    code = (
        "from marjoramyard.standin.processes import free_address\n"
        "print(*[free_address() for _ in range(400)])\n"
        "input()\n"
    )
    children = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(3)
    ]
    drawn = []
    for child in children:
        drawn += (await child.stdout.readline()).split()
    for child in children:
        await child.communicate(b"\n")
    assert len(drawn) == 1200
    assert len(set(drawn)) == len(drawn)
