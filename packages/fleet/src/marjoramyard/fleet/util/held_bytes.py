"""The account of the bytes that a process holds for others.

Whatever a process reads from outside and keeps, such as requests, responses and
incomplete heads, is entered in one account. Without a bound on the sum, limits
on each of them would not keep a process within its memory.
"""

import math
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

from marjoramyard.kernel.logs import get_logger
from marjoramyard.kernel.metrics import Metrics

logger = get_logger(__name__)

DEFAULT_MEMORY_BYTES = 1 << 30
"""What a process without a limit assumes to have."""
OWN_BYTES = 64_000_000
"""What a process needs for itself: interpreter, libraries, tables and
connections."""
COPIES = 2
"""A body exists twice while it is joined, and while it is written."""
MIN_LIMIT_BYTES = 4_000_000
LOG_INTERVAL_SECONDS = 1.0
"""The interval of log lines about refusals of one kind."""
ANNOUNCED_SHARE = 0.5
"""Share of the account for bodies that have not arrived."""
OWNER_FACTOR = 4
"""An owner may hold this many times what is free, so that a single one can use
four fifths of the account and newcomers always find room."""


class HeldKind(Enum):
    """What is held."""

    HEAD = "head"
    """A part of a request's head."""
    UNREAD = "unread"
    """What has arrived of a body and has not been read by its handler."""
    REQUEST = "request"
    """The body of a request."""
    RESPONSE = "response"
    """The body of a response, until it has been written."""
    EVENT = "event"
    """A part of an event of a stream."""
    REPLY = "reply"
    """A reply of another process of the fleet, or of an endpoint."""


def limit_for(memory_mb: float | None, own_bytes: int = OWN_BYTES) -> int:
    """Returns the most bytes that a process may hold for others.

    Args:
        memory_mb: The memory of the process; 0 or None if not limited.
        own_bytes: What the process needs for itself.
    """
    memory = memory_mb * 1e6 if memory_mb else DEFAULT_MEMORY_BYTES
    return max(MIN_LIMIT_BYTES, int((memory - own_bytes) / COPIES))


class HeldBytes:
    """The account of one process.

    Attributes:
        limit: The most bytes that are held.
        total: The bytes that are held now.
        highest: The most bytes that were held at once.
        by_kind: Those bytes by kind.
        by_owner: Those bytes by owner: a workspace, or "" for no workspace.
        announced: Bytes by owner of bodies that have room and have not arrived.
        logged_at: When a refusal was last logged, by kind; monotonic time, in
            seconds.
        not_logged: The refusals by kind that were not logged since then.
    """

    def __init__(self, limit: int, metrics: Metrics):
        self.limit = limit
        self.metrics = metrics
        self.total = 0
        self.highest = 0
        self.by_kind: Counter[HeldKind] = Counter()
        self.by_owner: Counter[str] = Counter()
        self.announced: Counter[str] = Counter()
        self.logged_at: dict[HeldKind, float] = {}
        self.not_logged: Counter[HeldKind] = Counter()
        metrics.gauge("held_bytes", self._read_kinds)
        metrics.gauge("held_bytes_limit", lambda: [(self.limit, {})])
        metrics.gauge("held_bytes_highest", lambda: [(self.highest, {})])

    def _read_kinds(self) -> list[tuple[float, dict[str, str]]]:
        return [(self.by_kind[kind], {"kind": kind.value}) for kind in HeldKind]

    def has_room(self, size: int, owner: str = "") -> bool:
        """Returns whether an owner may hold more bytes.

        The bound of an owner shrinks as the account fills, so that owners who
        want more than there is get equal parts.
        """
        free = self.limit - self.total - size
        return free >= 0 and self.by_owner[owner] + size <= OWNER_FACTOR * free

    def can_ever_hold(self, size: int) -> bool:
        """Returns whether an empty account has room for some bytes."""
        return size <= OWNER_FACTOR * (self.limit - size)

    def _may_announce(self, size: int, announced: int, by_owner: int) -> bool:
        free = self.limit * ANNOUNCED_SHARE - announced - size
        return by_owner + size <= OWNER_FACTOR * free

    def can_ever_announce(self, size: int) -> bool:
        """Returns whether room may be taken for a body before it arrives."""
        return self._may_announce(size, 0, 0)

    def may_announce(self, size: int, owner: str) -> bool:
        """Returns whether an owner may take room for a body that is to come.

        Clients that state a length and send nothing can't take all the room.
        """
        announced = self.announced
        return self._may_announce(size, announced.total(), announced[owner])

    @contextmanager
    def announcing(
        self, size: int, owner: str
    ) -> Iterator[Callable[[int], None]]:
        """Counts a body that is to come; yields what to tell of its parts."""
        missing = size

        def on_arrived(part: int) -> None:
            nonlocal missing
            arrived = min(part, missing)
            missing -= arrived
            self.announced[owner] -= arrived

        self.announced[owner] += size
        try:
            yield on_arrived
        finally:
            self.announced[owner] -= missing
            if not self.announced[owner]:
                del self.announced[owner]

    def change(self, kind: HeldKind, owner: str, size: int) -> None:
        """Adds bytes, or removes them if the size is negative."""
        self.total += size
        self.by_kind[kind] += size
        self.by_owner[owner] += size
        if not self.by_owner[owner]:
            del self.by_owner[owner]
        self.highest = max(self.highest, self.total)

    def on_refused(self, kind: HeldKind, holding: "Holding", size: int) -> None:
        """Counts what there was no room for, and logs some of it."""
        self.metrics.count("held_bytes_refused", kind=kind.value)
        now = time.monotonic()
        if now < self.logged_at.get(kind, -math.inf) + LOG_INTERVAL_SECONDS:
            self.not_logged[kind] += 1
            return
        self.logged_at[kind] = now
        logger.warning(
            "no_room_for_bytes",
            kind=kind.value,
            owner=holding.owner,
            source=holding.source,
            bytes=size,
            held_by_owner=self.by_owner[holding.owner],
            held=self.total,
            limit=self.limit,
            not_logged=self.not_logged.pop(kind, 0),
        )

    @contextmanager
    def holding(self, owner: str = "", source: str = "") -> Iterator["Holding"]:
        """Yields an empty holding, whose bytes are released at the end."""
        holding = Holding(self, owner, source)
        try:
            yield holding
        finally:
            holding.close()


class Holding:
    """The bytes that are held for one request, call or connection.

    Attributes:
        account: The account of the process.
        owner: For whom the bytes are held.
        source: Which process they come from, for logs.
        sizes: The bytes by kind.
        is_closed: Whether nothing is held any more, whatever is still added.
    """

    def __init__(self, account: HeldBytes, owner: str = "", source: str = ""):
        self.account = account
        self.owner = owner
        self.source = source
        self.sizes: Counter[HeldKind] = Counter()
        self.is_closed = False

    @property
    def total(self) -> int:
        """The bytes of all kinds."""
        return self.sizes.total()

    def assign(self, owner: str) -> None:
        """Changes for whom the bytes are held."""
        for kind, size in self.sizes.items():
            self.account.change(kind, self.owner, -size)
            self.account.change(kind, owner, size)
        self.owner = owner

    def add(self, kind: HeldKind, size: int) -> bool:
        """Adds bytes if there is room; returns whether there was."""
        if self.is_closed:
            return True
        if size > 0 and not self.account.has_room(size, self.owner):
            self.account.on_refused(kind, self, size)
            return False
        self.force(kind, size)
        return True

    def force(self, kind: HeldKind, size: int) -> None:
        """Adds bytes that can't be refused any more, or removes some."""
        if self.is_closed:
            return
        self.sizes[kind] += size
        self.account.change(kind, self.owner, size)

    def resize(self, kind: HeldKind, size: int) -> bool:
        """Changes the bytes of a kind; returns whether there was room."""
        return self.add(kind, size - self.sizes[kind])

    def release(self) -> None:
        """Removes all bytes."""
        for kind, size in self.sizes.items():
            self.account.change(kind, self.owner, -size)
        self.sizes.clear()

    def close(self) -> None:
        """Removes all bytes for good, also those that are added later."""
        self.release()
        self.is_closed = True
