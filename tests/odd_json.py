"""JSON that no decoder must fail at in an unexpected way."""

import copy
import json
from typing import Any

from hypothesis import strategies as st

MARK = "@odd@"
NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_TOKENS = (
    b"9" * 400,
    b"9" * 5000,
    b"-" + b"9" * 30,
    b"18446744073709551616",
    b"9007199254740993",
    b"1e308",
    b"1e999",
    b"-0.0",
    b"1.5",
    b"NaN",
    b"null",
    b"true",
    b"[]",
    b"{}",
    b"[[]]",
    b'""',
    b'"\\ud800"',
    b'"\\udc00\\ud800"',
    b'"a\\u0000b"',
    b'"\xff"',
    b'"' + b"n" * 60_000 + b'"',
    b'{"x":' * 900 + b"1" + b"}" * 900,
    NESTED,
)


def paths_of(value: Any, path: tuple = ()) -> list[tuple]:
    """Returns the paths of a value and of all values in it."""
    found = [path]
    if isinstance(value, dict):
        members = list(value.items())
    elif isinstance(value, list):
        members = list(enumerate(value))
    else:
        members = []
    for key, member in members:
        found += paths_of(member, (*path, key))
    return found


def value_at(value: Any, path: tuple) -> Any:
    for step in path:
        value = value[step]
    return value


def added_paths(example: Any) -> list[tuple]:
    """Returns the paths of members that its objects don't have."""
    return [
        (*path, "unknown")
        for path in paths_of(example)
        if isinstance(value_at(example, path), dict)
    ]


def with_token(value: Any, path: tuple, token: bytes) -> bytes:
    """Returns a value in JSON, with a token in place of one in it."""
    changed = copy.deepcopy({"": value})
    parent, key = changed, ""
    for step in path:
        parent, key = parent[key], step
    parent[key] = MARK
    text = json.dumps(changed[""]).encode()
    return text.replace(json.dumps(MARK).encode(), token)


def odd_bytes(*examples: Any) -> st.SearchStrategy[bytes]:
    """Draws bytes: any, or sound JSON of some examples with one odd thing."""
    tokens = st.sampled_from(ODD_TOKENS)
    changed = st.one_of(
        st.builds(
            with_token,
            st.just(example),
            st.sampled_from(paths_of(example)),
            tokens,
        )
        for example in examples
    )
    added = st.one_of(
        st.builds(
            with_token,
            st.just(example),
            st.sampled_from(added_paths(example)),
            tokens,
        )
        for example in examples
        if added_paths(example)
    )
    cut = st.builds(
        lambda data, end: data[: end % (len(data) + 1)],
        changed,
        st.integers(0, 5000),
    )
    return st.one_of(st.binary(max_size=64), tokens, changed, added, cut)
