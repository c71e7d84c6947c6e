"""Addresses and processes of local fleets."""

import asyncio
import itertools
import socket
from pathlib import Path

from marjoramyard.standin.processes import PORTS, free_address

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_a_port_is_never_one_that_a_connection_may_take():
    """A control host that was killed never comes back.

    While it is down, somebody's outgoing connection gets its port. It can't
    listen and ends; a test waits for it until its time is over.
    """
    lowest = int(RANGE.read_text(encoding="ascii").split()[0])
    assert max(PORTS) < lowest
    for _ in range(50):
        assert int(free_address().rpartition(":")[2]) in PORTS


def test_a_port_that_is_in_use_is_not_given(monkeypatch):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        busy = taken.getsockname()[1]
        ports = (busy, int(free_address().rpartition(":")[2]))
        # Otherwise the second port would not be returned again.
        monkeypatch.setattr(
            "marjoramyard.standin.processes._PORTS_RETURNED", set()
        )
        draws = iter(ports)
        chooser = type("Chooser", (), {"choice": lambda *_: next(draws)})
        monkeypatch.setattr("marjoramyard.standin.processes._RANDOM", chooser())
        assert free_address() == f"127.0.0.1:{ports[1]}"


def test_an_address_is_returned_only_once(monkeypatch):
    """Guards against a process that is given one port for two listeners."""
    first = free_address()
    draws = itertools.chain([int(first.rpartition(":")[2])], PORTS)
    chooser = type("Chooser", (), {"choice": lambda *_: next(draws)})
    monkeypatch.setattr("marjoramyard.standin.processes._RANDOM", chooser())
    assert free_address() != first


async def test_an_address_can_be_listened_on():
    host, _, port = free_address().rpartition(":")
    server = await asyncio.start_server(lambda *_: None, host, int(port))
    server.close()
    await server.wait_closed()
