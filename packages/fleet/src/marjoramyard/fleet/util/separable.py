"""Decoding of messages with lists whose entries don't depend on each other.

A process of another release may pass on an entry that this one can't use. The
rest of the message must not be lost with it.
"""

import functools
import types
import typing
from collections import Counter
from typing import Any, TypeVar

import msgspec

from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.util.decoding import decode_json, shorten

logger = get_logger(__name__)

T = TypeVar("T")
refused_entries: Counter[str] = Counter()
"""The entries refused by this process, by the type of their message."""


def decode_message(data: bytes, kind: type[T]) -> T:
    """Decodes a message without the entries that can't be decoded.

    Only the fields named in the class attribute `separable` of its type may
    lack entries. They are lists, or objects whose values are the entries.

    Raises:
        msgspec.DecodeError: It is no message of this kind.
    """
    try:
        return decode_json(data, kind)
    except msgspec.ValidationError:
        if not getattr(kind, "separable", ()):
            raise
    message = decode_json(data, _undecoded(kind))
    fields = {
        field.name: getattr(message, field.name)
        for field in msgspec.structs.fields(kind)
    }
    entry_types = _entry_types(kind)
    for name, entries in fields.items():
        if name in entry_types and entries is not None:
            fields[name] = decode_entries(
                kind.__name__, entries, entry_types[name]
            )
    return kind(**fields)


class EntriesDecoder:
    """Decodes lists of messages that don't depend on each other."""

    def __init__(self, name: str, kind: Any):
        self.name = name
        self.kind = kind
        self.decoder = msgspec.json.Decoder(list[kind])

    def decode(self, data: str | bytes) -> list[Any]:
        """Decodes a list without the entries that can't be decoded.

        Raises:
            msgspec.DecodeError: It is no list.
        """
        try:
            return self.decoder.decode(data)
        except msgspec.ValidationError:
            entries = decode_json(data, list[msgspec.Raw])
            return decode_entries(self.name, entries, self.kind)
        except (RecursionError, ValueError) as error:
            raise msgspec.DecodeError(repr(error)) from error


def decode_entries(message: str, entries: Any, kind: Any) -> Any:
    """Returns a list or an object of those entries that can be decoded."""
    is_object = isinstance(entries, dict)
    found = []
    for key, entry in entries.items() if is_object else enumerate(entries):
        try:
            found.append((key, decode_json(entry, kind)))
        except msgspec.DecodeError as error:
            refused_entries[message] += 1
            logger.warning(
                "entry_refused",
                message=message,
                entry=shorten(str(key)),
                why=shorten(str(error)),
            )
    return dict(found) if is_object else [entry for _, entry in found]


@functools.cache
def _entry_types(kind: type) -> dict[str, Any]:
    """Returns the types of the entries of a message's separable fields."""
    hints = typing.get_type_hints(kind, include_extras=True)
    return {
        name: typing.get_args(_without_none(hints[name]))[-1]
        for name in kind.separable
    }


@functools.cache
def _undecoded(kind: type) -> type:
    """Returns the type of a message whose entries are not decoded."""
    fields = []
    for field in msgspec.structs.fields(kind):
        default = field.default
        if field.default_factory is not msgspec.NODEFAULT:
            default = msgspec.field(default_factory=field.default_factory)
        field_type = field.type
        if field.name in kind.separable:
            field_type = _of_raw_entries(field.type)
        if default is msgspec.NODEFAULT:
            fields.append((field.name, field_type))
        else:
            fields.append((field.name, field_type, default))
    return msgspec.defstruct(kind.__name__, fields)


def _of_raw_entries(field_type: Any) -> Any:
    container = typing.get_origin(_without_none(field_type))
    raw: Any = list[msgspec.Raw]
    if container is dict:
        raw = dict[str, msgspec.Raw]
    return raw | None


def _without_none(field_type: Any) -> Any:
    """Returns the list or dict type of a field that may be None."""
    if typing.get_origin(field_type) in (typing.Union, types.UnionType):
        (field_type,) = (
            each
            for each in typing.get_args(field_type)
            if each is not type(None)
        )
    return field_type
