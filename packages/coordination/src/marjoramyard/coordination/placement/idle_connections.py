"""Connections that are probably idle, so that the next request can use them.

A guess: either side may close an idle connection at any time. The next request
then opens a new one.
"""

from collections import deque

REUSABLE_MS = 2500.0
"""How long a connection counts as idle after a response. Routers close it soon
after that."""


class IdleConnections:
    """The idle connections between one party and several others.

    All times are in ms of one clock.

    Attributes:
        idle_since: Since when each connection to a peer is idle, the oldest
            first.
        ends: The same times of all peers in order; may contain connections
            that are in use again.
    """

    def __init__(self):
        self.idle_since: dict[str, list[float]] = {}
        self.ends: deque[tuple[float, str]] = deque()

    def record(self, peer: str, now: float) -> None:
        """Records that a response has ended and its connection is idle."""
        self._expire(now)
        self.idle_since.setdefault(peer, []).append(now)
        self.ends.append((now, peer))

    def take(self, peer: str, now: float) -> bool:
        """Records that a request is sent, on the oldest idle connection.

        Returns:
            Whether there probably was one.
        """
        self._expire(now)
        connections = self.idle_since.get(peer)
        if not connections:
            return False
        self._remove_oldest(peer, connections)
        return True

    def has_one(self, peer: str, now: float) -> bool:
        """Returns whether there is probably an idle connection to a peer."""
        connections = self.idle_since.get(peer)
        return bool(connections) and now - connections[-1] <= REUSABLE_MS

    def forget(self, peer: str) -> None:
        """Removes the connections to a peer that has gone."""
        self.idle_since.pop(peer, None)

    def clear(self) -> None:
        """Removes all connections."""
        self.idle_since.clear()
        self.ends.clear()

    def _expire(self, now: float) -> None:
        oldest = now - REUSABLE_MS
        while self.ends and self.ends[0][0] < oldest:
            _, peer = self.ends.popleft()
            connections = self.idle_since.get(peer)
            if connections and connections[0] < oldest:
                self._remove_oldest(peer, connections)

    def _remove_oldest(self, peer: str, connections: list[float]) -> None:
        del connections[0]
        if not connections:
            del self.idle_since[peer]
