"""Looks up the route and the workspace of a request."""

import msgspec

from marjoramyard.coordination.membership.limits import check_number
from marjoramyard.coordination.routing.config import (
    Destination,
    FleetConfig,
    Route,
    Service,
    Workspace,
)
from marjoramyard.kernel.util.numbers import read_whole


class RouteTable:
    """Lookup tables of one version of the configuration."""

    def __init__(self, config: FleetConfig):
        self.config = config
        self.version = config.version
        self.services: dict[str, Service] = {s.name: s for s in config.services}
        self.routes: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            hostname, prefix = route.match
            self.routes.setdefault(hostname, {})[prefix] = route
        self.resumable_services = {
            destination.service
            for route in config.routes
            if route.is_resumable_stream
            for destination in route.weighted_destinations
        }
        self.longest_stream_seconds = max(
            (
                r.timeout_ms / 1000
                for r in config.routes
                if r.is_resumable_stream
            ),
            default=0.0,
        )
        self.workspaces_by_key: dict[str, Workspace] = {
            key: workspace
            for workspace in config.workspaces or ()
            for key in workspace.api_keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests must have the API key of a workspace."""
        return self.config.workspaces is not None

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, or None.

        Prefixes end with a slash, so the number of lookups is at most the
        number of slashes in the path.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Path of the request.
        """
        name = host.lower()
        prefixes = self.routes.get(name)
        if prefixes is None:
            prefixes = self.routes.get(name.partition(":")[0])
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end) if end else -1
        return None

    def workspace_of_key(self, key: str) -> Workspace | None:
        """Returns the workspace that an API key belongs to, or None."""
        return self.workspaces_by_key.get(key)


def pick_destination(
    destinations: tuple[Destination, ...], fraction: float
) -> Destination:
    """Returns a random destination, by weight.

    Args:
        destinations: The destinations; the sum of their weights is positive.
        fraction: Uniform random number from 0 (included) to 1 (excluded).
    """
    total = sum(destination.weight for destination in destinations)
    point = fraction * total
    for destination in destinations:
        point -= destination.weight
        if point < 0:
            return destination
    return next(d for d in reversed(destinations) if d.weight)


MAX_PART_TOKENS = 10**9


class PromptPart(msgspec.Struct, frozen=True):
    """A sequence of prompt tokens that requests may have in common."""

    digest: str
    tokens: int

    def __post_init__(self):
        """Checks the number of tokens, by which brokers estimate times.

        Raises:
            ValueError: No prompt has so many.
        """
        check_number("tokens", self.tokens, MAX_PART_TOKENS)


def parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parses `ID:TOKENS,ID:TOKENS`, up to the first invalid item."""
    parts = []
    for item in text.split(","):
        digest, _, count = item.strip().partition(":")
        tokens = read_whole(count)
        if not digest or tokens is None or tokens > MAX_PART_TOKENS:
            break
        parts.append(PromptPart(digest, tokens))
    return tuple(parts)
