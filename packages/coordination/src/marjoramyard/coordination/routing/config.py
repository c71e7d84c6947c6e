"""Configuration of a fleet whose gateways dispatch directly to endpoints.

Unlike a signed bundle, it is a complete document and needs no review. Its
author chooses the version, and the highest version is in force.
"""

import re
from collections.abc import Iterator
from enum import Enum

import msgspec

from marjoramyard.kernel.util.decoding import shorten
from marjoramyard.kernel.util.field_checks import (
    MAX_NAME_CHARS,
    number_problems,
    text_problems,
)

MAX_VERSION = 10**300
"""Greater ones have no floating-point number for metrics."""
MAX_PROBLEMS_SHOWN = 20
_NOT_IN_HOSTNAMES = re.compile(r"[\s/]")


class RequestKind(Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Destination(msgspec.Struct, frozen=True):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: int = 1

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of this destination, found at a path."""
        yield from number_problems(f"{path}.weight", self.weight)


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

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of this route by itself, found at a path."""
        yield from text_problems(f"{path}.name", self.name)
        yield from self._hostname_problems(f"{path}.hostname")
        yield from self._prefix_problems(f"{path}.path_prefix")
        yield from self._number_problems(path)
        yield from self._split_problems(f"{path}.destinations")

    def _hostname_problems(self, path: str) -> Iterator[str]:
        yield from text_problems(path, self.hostname, is_required=True)
        if _NOT_IN_HOSTNAMES.search(self.hostname):
            yield f"{path}: must be a host without scheme, path and spaces"

    def _prefix_problems(self, path: str) -> Iterator[str]:
        yield from text_problems(path, self.path_prefix)
        if not (
            self.path_prefix.startswith("/") and self.path_prefix.endswith("/")
        ):
            yield f"{path}: must begin and end with a slash"

    def _number_problems(self, path: str) -> Iterator[str]:
        for field in ("timeout_ms", "max_attempts"):
            yield from number_problems(
                f"{path}.{field}", getattr(self, field), is_zero_valid=False
            )
        for field in ("objective_ms", "gap_objective_ms", "priority"):
            yield from number_problems(f"{path}.{field}", getattr(self, field))

    def _split_problems(self, path: str) -> Iterator[str]:
        for number, destination in enumerate(self.destinations):
            yield from destination.problems(f"{path}[{number}]")
        if not any(d.weight for d in self.weighted_destinations):
            yield f"{path}: the weights must not be all 0"


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

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of this profile, found at a path."""
        for field in self.__struct_fields__:
            yield from number_problems(f"{path}.{field}", getattr(self, field))


class Service(msgspec.Struct, frozen=True):
    """A service that routes refer to.

    Attributes:
        max_connections: Maximum number of connections to an endpoint; 0 if it
            isn't stated.
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

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of this service by itself, found at a path."""
        yield from text_problems(
            f"{path}.name", self.name, is_required=True, limit=MAX_NAME_CHARS
        )
        yield from text_problems(f"{path}.health_path", self.health_path)
        for field in ("max_connections", "cold_start_s", "cold_per_s"):
            yield from number_problems(f"{path}.{field}", getattr(self, field))
        if self.engine is not None:
            yield from self.engine.problems(f"{path}.engine")


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on what callers send.

    Attributes:
        max_body_bytes: Maximum size of a body; 0 if there may be none.
        tokens_per_s: Total throughput of all engines, where a prompt token
            counts as 1 and an output token as 2; 0 if it isn't known.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0
    tokens_per_s: float = 0.0

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of these limits, found at a path."""
        for field in self.__struct_fields__:
            yield from number_problems(
                f"{path}.{field}",
                getattr(self, field),
                is_zero_valid=field in ("max_body_bytes", "tokens_per_s"),
            )


class Workspace(msgspec.Struct, frozen=True):
    """A customer's workspace and its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 1

    def problems(self, path: str) -> Iterator[str]:
        """Yields the errors of this workspace by itself, found at a path."""
        yield from text_problems(f"{path}.name", self.name)
        yield from number_problems(f"{path}.priority", self.priority)
        for number, key in enumerate(self.api_keys):
            yield from text_problems(
                f"{path}.api_keys[{number}]", key, is_required=True
            )


class FleetConfig(msgspec.Struct, frozen=True):
    """A complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] | None = None

    def problems(self) -> list[str]:
        """Returns the errors of the configuration, each with its remedy.

        This is for a configuration that an operator sends. One that is stored
        already stays in force, as an earlier release may have accepted more.
        """
        return [
            *self._version_problems(),
            *self._route_problems(),
            *self._duplicate_route_problems(),
            *self._service_problems(),
            *self.limits.problems("limits"),
            *self._workspace_problems(),
            *self._key_problems(),
        ]

    def refusal(self) -> str:
        """Returns why the configuration is invalid, or an empty text."""
        problems = self.problems()
        shown = problems[:MAX_PROBLEMS_SHOWN]
        if len(problems) > len(shown):
            shown.append(f"and {len(problems) - len(shown)} more")
        return "; ".join(shown)

    def _version_problems(self) -> Iterator[str]:
        if not -MAX_VERSION <= self.version <= MAX_VERSION:
            yield f"version: must be at most {MAX_VERSION:.0e}, or its negative"

    def _route_problems(self) -> Iterator[str]:
        services = {service.name for service in self.services}
        for number, route in enumerate(self.routes):
            path = f"routes[{number}]"
            label = f"(route {shorten(route.name)!r})"
            for problem in route.problems(path):
                yield f"{problem} {label}"
            for field, service in _services_of(route):
                if service not in services:
                    yield (
                        f"{path}.{field}: unknown service "
                        f"{shorten(service)!r}; add it or correct the name "
                        f"{label}"
                    )

    def _duplicate_route_problems(self) -> Iterator[str]:
        first_numbers: dict[tuple[str, str], int] = {}
        for number, route in enumerate(self.routes):
            first = first_numbers.setdefault(route.match, number)
            if first != number:
                yield (
                    f"routes[{number}].path_prefix: routes[{first}] and "
                    f"routes[{number}] share hostname and path prefix; change "
                    "one"
                )

    def _service_problems(self) -> Iterator[str]:
        first_services: dict[str, Service] = {}
        for number, service in enumerate(self.services):
            path = f"services[{number}]"
            yield from service.problems(path)
            if first_services.setdefault(service.name, service) != service:
                yield f"{path}.name: another service has this name; change one"

    def _workspace_problems(self) -> Iterator[str]:
        for number, workspace in enumerate(self.workspaces or ()):
            yield from workspace.problems(f"workspaces[{number}]")

    def _key_problems(self) -> Iterator[str]:
        owners: dict[str, int] = {}
        for number, workspace in enumerate(self.workspaces or ()):
            for position, key in enumerate(workspace.api_keys):
                owner = owners.setdefault(key, number)
                if owner != number:
                    yield (
                        f"workspaces[{number}].api_keys[{position}]: "
                        f"workspaces[{owner}] and workspaces[{number}] share "
                        "a key; give one of them another"
                    )


def _services_of(route: Route) -> Iterator[tuple[str, str]]:
    """Yields the services that a route names, each with its field."""
    for number, destination in enumerate(route.destinations):
        yield f"destinations[{number}].service", destination.service
    if route.service or not route.destinations:
        yield "service", route.service
