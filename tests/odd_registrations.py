"""Bodies of heartbeats that name no usable endpoint."""

import json

MAX_INTEGER = (1 << 53) - 1
LONG_NUMBER = "9" * 400
TOO_LONG_NUMBER = "9" * 5000
DEEP = 900
TOO_DEEP = 100_000
LONG_NAME = "n" * 60_000

ODD_ADDRESSES = (
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:" + TOO_LONG_NUMBER,
    "127.0.0.1:+80",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:٨٠",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:80\u0000",
    "127.0.0.1:80/x",
    "http://127.0.0.1:80",
    "user@127.0.0.1:80",
    "localhost:80",
    "999.0.0.1:80",
    "[::1",
    "[::1]",
    "::1]:80",
    "::1:80",
    "[127.0.0.1]:80",
    "[fe80::1%a]:80",
    ":80",
    "",
)
ODD_VALUES = {
    "slots": (LONG_NUMBER, TOO_LONG_NUMBER, "-1", "1.5", '"x"', "null", "{}"),
    "sequence": (LONG_NUMBER, TOO_LONG_NUMBER, str(2**64), "-1", "[]"),
    "born": (LONG_NUMBER, TOO_LONG_NUMBER, str(2**64), "-1", "1e999", "true"),
    "cold_left_ms": ("1e308", "1e999", LONG_NUMBER, '"cold"'),
    "service": ('""', '"a\\u0000b"', '"\\ud800"', '"a\\nb"', "7"),
    "availability_zone": ('"a\\u0007"', "[]"),
    "software_version": ('"\\u001b[2J"', "1"),
    "state": ('"resting"', "null", "1"),
}


def nested(levels: int) -> str:
    return "[" * levels + "]" * levels


def odd_values() -> list[tuple[str, str]]:
    """Returns pairs of a registration's field and an odd value in JSON."""
    found = [("address", json.dumps(address)) for address in ODD_ADDRESSES]
    for name, values in ODD_VALUES.items():
        found += [(name, value) for value in values]
    for name in ("service", "availability_zone", "software_version", "address"):
        found.append((name, json.dumps(LONG_NAME)))
        found.append((name, nested(DEEP)))
    found.append(("slots", nested(TOO_DEEP)))
    return found


def odd_documents(sound: dict) -> list[bytes]:
    """Returns a sound registration in JSON, each with one odd thing."""
    text = {name: json.dumps(value) for name, value in sound.items()}
    documents = [
        encode_object(text | {name: odd}) for name, odd in odd_values()
    ]
    documents += [
        encode_object(text | {"born": str(MAX_INTEGER)}),
        encode_object(text | {"sequence": str(MAX_INTEGER)}),
        encode_object(text | {"unknown": nested(TOO_DEEP)}),
    ]
    documents.append(encode_object(text | {"service": None}))
    documents += [b"", b"\xff", b"{", b"null", b"[]", b"7", b"{}"]
    return documents


def encode_object(fields: dict[str, str | None]) -> bytes:
    """Returns an object of values in JSON, without those that are None."""
    members = (
        f"{json.dumps(name)}:{value}"
        for name, value in fields.items()
        if value is not None
    )
    return ("{" + ",".join(members) + "}").encode("utf-8", "surrogatepass")
