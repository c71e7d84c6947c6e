"""Differences between two versions of a JSON document.

A delta refers to runs of unchanged chunks of the old version by their position.
Chunks end after the objects of lists, so that a change of one object leaves all
other chunks as they are.
"""

from typing import NamedTuple

SEPARATOR = b"},"


class Piece(NamedTuple):
    """A run of chunks of the old version, followed by new text.

    Attributes:
        start: The position of the first chunk of the run.
        count: The number of chunks; 0 for none.
        text: The new text; empty for none.
    """

    start: int
    count: int
    text: bytes


Delta = list[Piece]


class DeltaError(ValueError):
    """A delta that does not belong to the old version."""


def split_chunks(text: bytes) -> list[bytes]:
    """Splits a document into chunks, which joined are the document."""
    chunks = text.split(SEPARATOR)
    return [*(chunk + SEPARATOR for chunk in chunks[:-1]), chunks[-1]]


def make_delta(old: bytes, new: bytes) -> Delta:
    """Returns the delta that turns one version into another."""
    positions = {chunk: n for n, chunk in enumerate(split_chunks(old))}
    delta: Delta = []
    run_start, run_end, text = 0, 0, []
    for chunk in split_chunks(new):
        position = positions.get(chunk)
        if position is None:
            text.append(chunk)
        elif position == run_end and run_end > run_start and not text:
            run_end += 1
        else:
            _add_piece(delta, run_start, run_end, text)
            run_start, run_end, text = position, position + 1, []
    _add_piece(delta, run_start, run_end, text)
    return delta


def _add_piece(delta: Delta, start: int, end: int, text: list[bytes]) -> None:
    if end > start or text:
        delta.append(Piece(start, end - start, b"".join(text)))


def apply_delta(old: bytes, delta: Delta, max_bytes: int) -> bytes:
    """Returns the version that a delta leads to.

    Raises:
        DeltaError: The delta refers to chunks that the old version does not
            have, or the result is longer than `max_bytes`.
    """
    chunks = split_chunks(old)
    result: list[bytes] = []
    size = 0
    for start, count, text in delta:
        if start < 0 or count < 0 or start + count > len(chunks):
            raise DeltaError("the delta belongs to another version")
        run = chunks[start : start + count]
        size += sum(map(len, run)) + len(text)
        if size > max_bytes:
            raise DeltaError(f"more than {max_bytes} bytes")
        result += [*run, text]
    return b"".join(result)
