"""IP addresses with ports, as written in settings."""

import ipaddress
from typing import NamedTuple

_MAX_PORT = 65535


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
        number = int(port)
    except ValueError:
        raise ValueError(
            f"{text!r} is not an address; write IP:PORT, such as 127.0.0.1:8080"
        ) from None
    if not 0 <= number <= _MAX_PORT:
        raise ValueError(f"port {number} is out of range; use 0 to {_MAX_PORT}")
    return Address(host.strip("[]"), number)
