"""The configuration of a fleet whose endpoints are dispatched to directly.

Unlike a signed bundle, which goes through review, this one is a complete
document under a version of its author's choosing: the highest version rules.
"""

from enum import Enum

import msgspec


class RequestKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Destination(msgspec.Struct, frozen=True):
    """A service that gets a part of a route's requests."""

    service: str
    weight: int = 1


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where requests of one host and path go, and on which terms.

    Attributes:
        hostname: The requests' `Host`.
        path_prefix: Begins and ends with a slash; the longest match wins.
        request_kind: What may be repeated.
        timeout_ms: When a caller gets its final answer at the latest.
        objective_ms: Within this a response is on time; a stream's first
            event counts.
        gap_objective_ms: The longest pause between events on time; 0 if
            the route has no such aim.
        priority: 0 comes first.
        service: The one destination, if there is no split.
        destinations: The split, by weight.
        max_attempts: The most endpoints that one attempt may be sent to.
        open_access: No key is needed.
        keeps_prefix: Requests name the parts of their prompt.
        resumable: A broken stream may go on at another endpoint.
    """

    name: str
    hostname: str
    path_prefix: str
    request_kind: RequestKind
    timeout_ms: float
    objective_ms: float = 0.0
    gap_objective_ms: float = 0.0
    priority: int = 1
    service: str = ""
    destinations: tuple[Destination, ...] = ()
    max_attempts: int = 1
    open_access: bool = False
    keeps_prefix: bool = False
    resumable: bool = False

    @property
    def weighted_destinations(self) -> tuple[Destination, ...]:
        """The destinations, also where there is only one."""
        return self.destinations or (Destination(self.service),)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.request_kind is RequestKind.IDEMPOTENT or (
            self.request_kind is RequestKind.STREAM and self.resumable
        )


class EngineProfile(msgspec.Struct, frozen=True):
    """What all model engines of a service share.

    Attributes:
        slots: Requests in a batch.
        memory_tokens: Tokens that running requests and kept parts share.
        token_bytes: Memory of one token, as it travels between engines.
        link_mbps: The rate of such transfers, in megabits a second.
    """

    slots: int = 1
    memory_tokens: int = 0
    token_bytes: float = 0.0
    link_mbps: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """What stands behind a route."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how slowly.

    Attributes:
        tokens_per_s: What all engines make together, a token that is read
            counted once and one that is written twice.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    tokens_per_s: float = 0.0


class Workspace(msgspec.Struct, frozen=True):
    """A customer and its keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 1


class FleetConfig(msgspec.Struct, frozen=True):
    """One complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    def problems(self) -> list[str]:
        """Returns what makes it invalid, each with its remedy."""
        return [
            *self._route_problems(),
            *self._place_problems(),
            *self._key_problems(),
        ]

    def _route_problems(self) -> list[str]:
        known = {service.name for service in self.services}
        found = []
        for route in self.routes:
            where = f"route {route.name!r}"
            for destination in route.weighted_destinations:
                if destination.service not in known:
                    found.append(
                        f"{where} names the unknown service "
                        f"{destination.service!r}; add it or mend the name"
                    )
            weights = [d.weight for d in route.weighted_destinations]
            if sum(weights) <= 0 or min(weights) < 0:
                found.append(f"{where}: weights must add up to more than 0")
            if route.timeout_ms <= 0:
                found.append(f"{where}: its timeout must be above 0")
        return found

    def _place_problems(self) -> list[str]:
        found = []
        taken: dict[tuple[str, str], str] = {}
        for route in self.routes:
            place = (route.hostname, route.path_prefix)
            other = taken.setdefault(place, route.name)
            if other is not route.name:
                found.append(
                    f"routes {other!r} and {route.name!r} share host and "
                    "prefix; change one"
                )
        return found

    def _key_problems(self) -> list[str]:
        found = []
        holders: dict[str, str] = {}
        for workspace in self.workspaces or ():
            for key in workspace.api_keys:
                holder = holders.setdefault(key, workspace.name)
                if holder != workspace.name:
                    found.append(
                        f"workspaces {holder!r} and {workspace.name!r} share "
                        "a key; give one of them another"
                    )
        return found
