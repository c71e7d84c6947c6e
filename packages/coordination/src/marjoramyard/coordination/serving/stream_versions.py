"""The software versions that began streams.

Events of two software versions don't fit together, so a stream may only be
resumed at an endpoint of the version that began it.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from marjoramyard.kernel.ids import StreamKey

RETENTION_SECONDS = 15.0
"""How long a stream is remembered after the time limit of its response. Callers
take streams up again within their deadlines."""
MAX_STREAMS = 50_000
"""The streams that a router remembers; some 15 MB."""
_KEY_DIGITS = 16


def stream_key(workspace: str, attempt: str) -> StreamKey:
    """Returns the key of the stream that an attempt of a workspace began.

    Attempt IDs are the callers' own, so two workspaces may use the same one.
    """
    state = hashlib.blake2b(
        f"{workspace}\0{attempt}".encode(), digest_size=_KEY_DIGITS // 2
    )
    return StreamKey(state.hexdigest())


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream.

    Attributes:
        service: The service.
        version: The software version of its endpoint.
        is_ambiguous: Whether streams of several versions were begun under one
            key, so that it doesn't tell the version.
    """

    service: str
    version: str
    is_ambiguous: bool = False


class StreamVersions:
    """The origins of recent streams.

    Times are in seconds on a monotonic clock. The oldest are forgotten first;
    a stream that is not known must not be resumed at just any version.

    Attributes:
        capacity: The maximum number of streams.
        known: The origin and the time of expiry of each stream, the oldest
            first.
    """

    def __init__(self, capacity: int = MAX_STREAMS):
        self.capacity = capacity
        self.known: OrderedDict[StreamKey, tuple[StreamOrigin, float]] = (
            OrderedDict()
        )

    def record(
        self,
        key: StreamKey,
        origin: StreamOrigin,
        now: float,
        seconds: float,
    ) -> None:
        """Records what began a stream.

        Args:
            key: The stream.
            origin: What began it.
            now: The current time.
            seconds: How long to remember it.
        """
        expires_at = now + seconds
        before = self.known.pop(key, None)
        if before is not None:
            origin = _combined(before[0], origin)
            expires_at = max(expires_at, before[1])
        self.known[key] = (origin, expires_at)
        self._expire(now)

    def find(self, key: StreamKey, now: float) -> StreamOrigin | None:
        """Returns what began a stream; None if that is not known."""
        found = self.known.get(key)
        if found is None or found[1] <= now:
            return None
        return found[0]

    def streams_of(
        self, service: str, now: float
    ) -> Iterator[tuple[StreamKey, StreamOrigin, float]]:
        """Yields the streams of a service.

        Args:
            service: The service.
            now: The current time.

        Yields:
            The stream, its origin, and for how many seconds it is remembered.
        """
        for key, (origin, expires_at) in self.known.items():
            if origin.service == service and expires_at > now:
                yield key, origin, expires_at - now

    def _expire(self, now: float) -> None:
        """Forgets the oldest streams that have expired or are too many."""
        while self.known:
            _, expires_at = next(iter(self.known.values()))
            if expires_at > now and len(self.known) <= self.capacity:
                return
            self.known.popitem(last=False)


def _combined(before: StreamOrigin, after: StreamOrigin) -> StreamOrigin:
    is_same = (before.service, before.version) == (after.service, after.version)
    return StreamOrigin(
        after.service,
        after.version,
        before.is_ambiguous or after.is_ambiguous or not is_same,
    )
