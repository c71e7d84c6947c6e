"""IP addresses with ports, as written in settings."""

import functools
import ipaddress
import re
from typing import NamedTuple

from marjoramyard.kernel.util.numbers import read_whole

_MAX_PORT = 65535
_MAX_CHARS = 64
_CALLABLE_ADDRESS = re.compile(
    r"(?:\[(?P<v6>[0-9A-Fa-f:.]+)\]|(?P<v4>[0-9.]+)):(?P<port>[1-9][0-9]{0,4})"
)
_CACHED_ADDRESSES = 32768
"""More than a large fleet has: all are looked up in turn, so a smaller cache
would hold none of those that come next."""


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses `IP:PORT`.

    Raises:
        ValueError: The text is not an IP address and a port in range; the
            message says what to write.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = read_whole(port)
    except ValueError:
        number = None
    if number is None:
        raise ValueError(
            f"{text!r} is not an address; write IP:PORT, such as 127.0.0.1:8080"
        )
    if number > _MAX_PORT:
        raise ValueError(f"port {number} is out of range; use 0 to {_MAX_PORT}")
    return Address(host.strip("[]"), number)


@functools.lru_cache(_CACHED_ADDRESSES)
def parse_callable_address(text: str) -> Address:
    """Parses the address of another process, `IP:PORT` or `[IPv6]:PORT`.

    Unlike in settings, there is one way to write it, which can be part of a
    URL, and a port that can be connected to.

    Raises:
        ValueError: Nothing can be called at such an address.
    """
    match = None
    if len(text) <= _MAX_CHARS:
        match = _CALLABLE_ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError(
            f"{text[:_MAX_CHARS]!r} is not an address; write IP:PORT or "
            "[IPv6]:PORT"
        )
    if match["v6"]:
        host = str(ipaddress.IPv6Address(match["v6"]))
    else:
        host = str(ipaddress.IPv4Address(match["v4"]))
    port = int(match["port"])
    if port > _MAX_PORT:
        raise ValueError(f"port {port} is out of range; use 1 to {_MAX_PORT}")
    return Address(host, port)
