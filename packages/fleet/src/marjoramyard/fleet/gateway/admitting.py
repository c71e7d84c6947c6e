"""Reads a caller's request: its route, workspace, deadline and prompt."""

import time
from collections.abc import Sequence

import msgspec
from aiohttp import web

from marjoramyard.coordination.routing.config import Route, Workspace
from marjoramyard.coordination.routing.table import (
    PromptPart,
    RouteTable,
    parse_prompt_parts,
)
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.headers import Headers, end_to_end
from marjoramyard.kernel.errors import Kind, raise_failure

NO_CONFIG_RETRY_SECONDS = 0.5
"""A gateway that starts gets its configuration within a few round trips."""
PATH_MS = 20.0
"""A caller's patience began when it sent the request, and ends when the
answer is there: a few ms each way, and what both sides take to write."""
NO_LEASE_RETRY_SECONDS = 0.5
"""About what a poll takes once a leader is there again."""


class CallerRequest(msgspec.Struct, kw_only=True):
    """One attempt of a caller.

    Attributes:
        attempt: The caller's id of it.
        method: As it came, like `target`: the path with its query.
        headers: Those that are passed on.
        give_up_at: Loop clock; no answer after this is of use.
        arrived_at: Loop clock.
        keyed_by: The key it came with; "" on open routes.
        output_tokens: The most tokens that the answer may have.
    """

    attempt: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    workspace: Workspace | None
    arrived_at: float
    give_up_at: float
    keyed_by: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event: str = ""

    @property
    def may_repeat(self) -> bool:
        """Whether it may run again after it may have run."""
        return self.route.may_repeat

    @property
    def own_memory(self) -> float:
        """What its run takes of an engine's memory beside shared parts."""
        own = self.parts[-1].tokens if self.parts else 0
        return float(own + self.output_tokens)

    def left(self, now: float) -> float:
        """Returns how many seconds are left."""
        return self.give_up_at - now


class Claim(msgspec.Struct, frozen=True):
    """What a request asks for, and in whose name.

    Attributes:
        keyed_by: The key it came with; "" on open routes.
        arrived_at: Loop clock.
    """

    route: Route
    workspace: Workspace | None
    keyed_by: str
    arrived_at: float


def check_claim(
    request: web.Request, view: FleetView, names: HeaderNames
) -> Claim:
    """Finds a request's route and workspace.

    Raises:
        FleetError: It can't be served; it has not run.
    """
    table = view.table
    if table is None:
        raise_failure(
            Kind.NO_LEASE,
            "no configuration here yet; come back in a moment",
            retry_after=NO_CONFIG_RETRY_SECONDS,
        )
    arrived_at = time.monotonic()
    route = table.route(request.host, request.path)
    if route is None:
        raise_failure(
            Kind.UNKNOWN_ROUTE,
            "no route has this host and path; compare with the configuration",
        )
    key, workspace = _workspace(request, route, table, names)
    if workspace is not None and not view.lease_holds():
        raise_failure(
            Kind.NO_LEASE,
            "cut off from the control hosts, so keys can't be checked; come "
            "back in a moment",
            retry_after=NO_LEASE_RETRY_SECONDS,
        )
    return Claim(route, workspace, key, arrived_at)


def read_head(
    request: web.Request, claim: Claim, names: HeaderNames
) -> CallerRequest:
    """Reads the rest of a request's head; its body is not read yet.

    Raises:
        FleetError: It can't be understood; it has not run.
    """
    route = claim.route
    give_up_at = claim.arrived_at + _patience(request, route, names)
    return CallerRequest(
        attempt=request.headers.get(names.attempt, ""),
        method=request.method,
        target=request.raw_path,
        headers=_passed_on(request, names),
        body=b"",
        route=route,
        workspace=claim.workspace,
        arrived_at=claim.arrived_at,
        give_up_at=give_up_at,
        keyed_by=claim.keyed_by,
        parts=parse_prompt_parts(request.headers.get(names.prompt_parts, "")),
        output_tokens=_output_tokens(request, names),
        last_event=request.headers.get(names.last_event, ""),
    )


def _workspace(
    request: web.Request, route: Route, table: RouteTable, names: HeaderNames
) -> tuple[str, Workspace | None]:
    if route.open_access or not table.needs_keys:
        return "", None
    key = request.headers.get(names.api_key, "")
    workspace = table.workspace_of_key(key)
    if workspace is None:
        raise_failure(
            Kind.UNKNOWN_KEY if key else Kind.MISSING_KEY,
            f"send a valid key in {names.api_key}",
        )
    return key, workspace


def _patience(request: web.Request, route: Route, names: HeaderNames) -> float:
    """Returns the seconds until the final answer is due."""
    allowed = route.timeout_ms
    text = request.headers.get(names.deadline_ms, "")
    try:
        if text:
            allowed = min(allowed, float(text) - PATH_MS)
    except ValueError:
        raise_failure(Kind.BAD_REQUEST, f"{names.deadline_ms} must be a number")
    return max(0.0, allowed / 1000)


def _output_tokens(request: web.Request, names: HeaderNames) -> int:
    _, _, text = request.headers.get(names.token_counts, "").partition(",")
    return int(text) if text.strip().isdigit() else 0


def _passed_on(request: web.Request, names: HeaderNames) -> Headers:
    """Returns the headers for the endpoint.

    Whatever steers an endpoint's memory, or says who calls, is the fleet's
    to set: a caller could read another one's prompt or take its place.
    """
    dropped = names.not_passed_on | _named_by_connection(request)
    return [
        (name, value)
        for name, value in end_to_end(list(request.headers.items()))
        if name.lower() not in dropped
    ]


def _named_by_connection(request: web.Request) -> set[str]:
    values: Sequence[str] = request.headers.getall("Connection", [])
    return {name.strip().lower() for v in values for name in v.split(",")}
