"""Finds the route and the workspace of a request."""

import msgspec

from marjoramyard.coordination.routing.config import (
    Destination,
    FleetConfig,
    Route,
    Service,
    Workspace,
)


class RouteTable:
    """Look-ups over one configuration, built once for each version."""

    def __init__(self, config: FleetConfig):
        self.config = config
        self.version = config.version
        self.services: dict[str, Service] = {s.name: s for s in config.services}
        self.routes: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            host = self.routes.setdefault(route.hostname.lower(), {})
            host[route.path_prefix] = route
        self.workspaces_by_key: dict[str, Workspace] = {
            key: workspace
            for workspace in config.workspaces or ()
            for key in workspace.api_keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests carry the key of a workspace."""
        return self.config.workspaces is not None

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path.

        Prefixes end with a slash, so there is one candidate for each slash
        of the path, however many routes the host has.
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
        """Returns the workspace that a key belongs to."""
        return self.workspaces_by_key.get(key)


def pick_destination(split: tuple[Destination, ...], lot: float) -> Destination:
    """Draws a destination by weight.

    Args:
        split: The destinations; their weights add up to more than 0.
        lot: Drawn evenly from 0 to 1, 1 excluded.
    """
    total = sum(destination.weight for destination in split)
    point = lot * total
    for destination in split:
        point -= destination.weight
        if point < 0:
            return destination
    return next(d for d in reversed(split) if d.weight)


class PromptPart(msgspec.Struct, frozen=True):
    """A run of prompt tokens that other requests may share."""

    digest: str
    tokens: int


def parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Reads `ID:TOKENS,ID:TOKENS`; what can't be read ends the list."""
    parts = []
    for item in text.split(","):
        digest, _, tokens = item.strip().partition(":")
        if not digest or not tokens.isdigit():
            break
        parts.append(PromptPart(digest, int(tokens)))
    return tuple(parts)
