"""How configurations are sent from control hosts to gateways.

A gateway that holds a recent version gets the difference to the newest one,
others the compressed document. Either is checked by a digest.
"""

import hashlib
import zlib
from collections import OrderedDict

import msgspec
from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.util.text_delta import (
    Delta,
    DeltaError,
    apply_delta,
    make_delta,
)

MAX_DOCUMENT_BYTES = 64 << 20
"""Larger documents are not unpacked."""
MAX_HISTORY_BYTES = 4 << 20
"""Total size of the earlier versions that a control host keeps for deltas."""
MAX_LITERAL_FRACTION = 0.2
"""Deltas with more new text than this fraction of the document are not used;
the compressed document is about that long."""
_COMPRESSION_LEVEL = 6


class FetchConfig(msgspec.Struct, frozen=True, omit_defaults=True):
    """A gateway requests the newest configuration.

    Attributes:
        version: The version that it holds; 0 for none.
        digest: The digest of that version's document.
    """

    version: int = 0
    digest: str = ""


class ConfigUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """The newest configuration of a control host.

    Attributes:
        version: Its version; 0 for none.
        digest: The digest of the document.
        delta: The difference to the document that the gateway holds.
        packed: The compressed document, if there is no delta.
    """

    version: int = 0
    digest: str = ""
    delta: Delta | None = None
    packed: bytes = b""


def digest_of(text: bytes) -> str:
    """Returns the digest that identifies a document."""
    return hashlib.blake2b(text, digest_size=16).hexdigest()


class ConfigHistory:
    """The newest documents of a control host, and the updates to send.

    Attributes:
        documents: The documents by digest, oldest first.
        newest: The newest document; None before the first.
        encoded: The encoded updates to `newest`, by the digest that the
            receiver holds; "" for the compressed document.
    """

    def __init__(self):
        self.documents: OrderedDict[str, bytes] = OrderedDict()
        self.newest: ConfigDocument | None = None
        self.encoded: dict[str, bytes] = {}

    def add(self, document: ConfigDocument | None) -> None:
        """Sets the newest document, if it has changed."""
        if document is None or document is self.newest:
            return
        self.newest = document
        self.documents[digest_of(document.text)] = document.text
        self.encoded.clear()
        while len(self.documents) > 1 and (
            sum(map(len, self.documents.values())) > MAX_HISTORY_BYTES
        ):
            self.documents.popitem(last=False)

    def encoded_update(self, request: FetchConfig) -> bytes:
        """Returns the reply to a gateway's request, in JSON."""
        newest = self.newest
        if newest is None or newest.version <= request.version:
            return msgspec.json.encode(ConfigUpdate())
        held = request.digest if request.digest in self.documents else ""
        if held not in self.encoded:
            self.encoded[held] = msgspec.json.encode(self._update(newest, held))
        return self.encoded[held]

    def _update(self, newest: ConfigDocument, held: str) -> ConfigUpdate:
        digest = digest_of(newest.text)
        if held:
            delta = make_delta(self.documents[held], newest.text)
            new_bytes = sum(len(piece.text) for piece in delta)
            if new_bytes <= MAX_LITERAL_FRACTION * len(newest.text):
                return ConfigUpdate(newest.version, digest, delta)
        packed = zlib.compress(newest.text, _COMPRESSION_LEVEL)
        return ConfigUpdate(newest.version, digest, packed=packed)


def apply_update(
    held: bytes, update: ConfigUpdate
) -> Result[ConfigDocument, str]:
    """Returns the document that an update leads to.

    Args:
        held: The document that the update was requested for; empty for none.
        update: The update.

    Returns:
        The document, or an error if the update is damaged, too long, or
        belongs to another document.
    """
    try:
        if update.delta is not None:
            text = apply_delta(held, update.delta, MAX_DOCUMENT_BYTES)
        else:
            text = _unpack(update.packed)
    except (DeltaError, zlib.error) as error:
        return Err(str(error))
    if digest_of(text) != update.digest:
        return Err("the digest does not match")
    return Ok(ConfigDocument(update.version, text))


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(packed, MAX_DOCUMENT_BYTES)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise DeltaError(f"incomplete, or more than {MAX_DOCUMENT_BYTES} bytes")
    return text
