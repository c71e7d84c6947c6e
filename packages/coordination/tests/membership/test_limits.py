"""What a registration may hold."""

import msgspec
import pytest

from marjoramyard.coordination.membership.registrations import Registration

SOUND = {"endpoint": "i-1", "service": "llm", "address": "10.0.0.1:80"}


@pytest.mark.parametrize(
    "address",
    [
        "",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:+1",
        "10.0.0.1:1_0",
        "10.0.0.1: 80",
        "10.0.0.1:080",
        "10.0.0.1:٨٠",
        "10.0.0.1:65536",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:80\n",
        "10.0.0.1:80/x",
        "http://10.0.0.1:80",
        "user@10.0.0.1:80",
        "host:80",
        "10.0.0.256:80",
        "10.0.0:80",
        "::1:80",
        "[::1",
        "[::1]",
        "[::1:80",
        "[10.0.0.1]:80",
        "[fe80::1%lo]:80",
    ],
)
def test_an_address_that_can_t_be_called_is_refused(address):
    """Guards against requests that fail at endpoints nobody can call."""
    with pytest.raises(ValueError, match="address"):
        Registration(**{**SOUND, "address": address})


@pytest.mark.parametrize(
    "address", ["10.0.0.1:1", "255.255.255.255:65535", "[::1]:80", "[2::3]:80"]
)
def test_an_address_that_can_be_called_is_accepted(address):
    assert Registration(**{**SOUND, "address": address}).address == address


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("endpoint", ""),
        ("endpoint", "n" * 257),
        ("service", ""),
        ("service", "a\x00"),
        ("availability_zone", "a\x07"),
        ("software_version", "\x1b[2J"),
        ("software_version", "\ud800"),
        ("slots", -1),
        ("slots", (1 << 20) + 1),
        ("sequence", -1),
        ("sequence", 1 << 53),
        ("born", -1),
        ("born", 10**400),
        ("cold_left_ms", -0.1),
        ("cold_left_ms", 1e308),
        ("cold_left_ms", float("nan")),
    ],
)
def test_a_value_out_of_bounds_is_refused(field, value):
    """Guards against values that no other process can handle."""
    with pytest.raises(ValueError, match=field):
        Registration(**{**SOUND, field: value})


def test_a_registration_with_the_largest_values_is_accepted():
    largest = Registration(
        endpoint="n" * 256,
        service="s" * 256,
        address="10.0.0.1:80",
        slots=1 << 20,
        sequence=(1 << 53) - 1,
        born=(1 << 53) - 1,
        cold_left_ms=24 * 3600 * 1000.0,
    )
    encoded = msgspec.json.encode(largest)
    assert msgspec.json.decode(encoded, type=Registration) == largest
