"""Configuration of a fleet whose gateways dispatch directly to endpoints.

Unlike a signed bundle, it is a complete document and needs no review. Its
author chooses the version, and the highest version is in force.
"""

from enum import Enum

import msgspec


class RequestKind(Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Destination(msgspec.Struct, frozen=True):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: int = 1


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Destination and limits of the requests to one hostname and path.

    Attributes:
        name: Name of the route.
        hostname: Value of the `Host` header.
        path_prefix: Prefix that begins and ends with a slash. The longest
            matching prefix wins.
        request_kind: Whether requests may be repeated.
        timeout_ms: Time limit for the complete response.
        objective_ms: Latency objective for the response, or for the first
            event of a stream.
        gap_objective_ms: Objective for the time between events of a stream;
            0 for none.
        priority: Priority of the requests; 0 is the highest.
        service: The destination, if `destinations` is empty.
        destinations: The destinations of a traffic split.
        max_attempts: Maximum number of times that a request is sent, not
            counting failed connections.
        open_access: Whether requests need no API key.
        keeps_prefix: Whether requests state the parts of their prompt.
        resumable: Whether an interrupted stream may be resumed at another
            endpoint.
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
    def match(self) -> tuple[str, str]:
        """What requests are matched by: hostname and path prefix.

        Hostnames have no upper or lower case.
        """
        return self.hostname.lower(), self.path_prefix

    @property
    def weighted_destinations(self) -> tuple[Destination, ...]:
        """The destinations with their weights; at least one."""
        return self.destinations or (Destination(self.service),)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may already have run may be sent again."""
        return (
            self.request_kind is RequestKind.IDEMPOTENT
            or self.is_resumable_stream
        )

    @property
    def is_resumable_stream(self) -> bool:
        """Whether responses are streams that may be resumed."""
        return self.request_kind is RequestKind.STREAM and self.resumable


class EngineProfile(msgspec.Struct, frozen=True):
    """Properties of the model engines of a service.

    Attributes:
        slots: Maximum number of requests in a batch.
        memory_tokens: Cache capacity of an engine in tokens, for running
            requests and cached prompt parts together.
        token_bytes: Size of the cache of one token in a transfer between
            engines, in bytes.
        link_mbps: Rate of such transfers, in megabits per second.
    """

    slots: int = 1
    memory_tokens: int = 0
    token_bytes: float = 0.0
    link_mbps: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A service that routes refer to.

    Attributes:
        cold_start_s: How long an endpoint stays cold, in seconds.
        cold_per_s: Requests per second that a cold endpoint tolerates; 0 for
            no limit.
        engine: Properties of the service's model engines, if it has any.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineProfile | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send.

    Attributes:
        tokens_per_s: Total throughput of all engines, where a prompt token
            counts as 1 and an output token as 2.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    tokens_per_s: float = 0.0


class Workspace(msgspec.Struct, frozen=True):
    """A customer's workspace and its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 1


class FleetConfig(msgspec.Struct, frozen=True):
    """A complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    def problems(self) -> list[str]:
        """Returns the errors of the configuration, each with its remedy."""
        return [
            *self._route_problems(),
            *self._duplicate_route_problems(),
            *self._key_problems(),
        ]

    def _route_problems(self) -> list[str]:
        services = {service.name for service in self.services}
        problems = []
        for route in self.routes:
            label = f"route {route.name!r}"
            named = [d.service for d in route.weighted_destinations]
            if route.service and route.service not in named:
                named.append(route.service)
            problems += [
                f"{label} names the unknown service {service!r}; add it or "
                "correct the name"
                for service in named
                if service not in services
            ]
            weights = [d.weight for d in route.weighted_destinations]
            if sum(weights) <= 0 or min(weights) < 0:
                problems.append(
                    f"{label}: weights must not be negative or all 0"
                )
            if route.timeout_ms <= 0:
                problems.append(f"{label}: the timeout must be greater than 0")
        return problems

    def _duplicate_route_problems(self) -> list[str]:
        problems = []
        first_routes: dict[tuple[str, str], Route] = {}
        for route in self.routes:
            first = first_routes.setdefault(route.match, route)
            if first is not route:
                problems.append(
                    f"routes {first.name!r} and {route.name!r} share hostname "
                    "and path prefix; change one"
                )
        return problems

    def _key_problems(self) -> list[str]:
        problems = []
        owners: dict[str, Workspace] = {}
        for workspace in self.workspaces or ():
            for key in workspace.api_keys:
                owner = owners.setdefault(key, workspace)
                if owner is not workspace:
                    problems.append(
                        f"workspaces {owner.name!r} and {workspace.name!r} "
                        "share a key; give one of them another"
                    )
        return problems
