"""Reads a caller's request: its route, workspace, deadline and prompt."""

from collections.abc import Sequence

import msgspec
from aiohttp import web

from marjoramyard.coordination.routing.config import Route, Workspace
from marjoramyard.coordination.routing.table import (
    MAX_PART_TOKENS,
    PromptPart,
    RouteTable,
    parse_prompt_parts,
)
from marjoramyard.coordination.serving.fingerprints import (
    body_digest,
    request_fingerprint,
)
from marjoramyard.fleet.gateway.dialect import HeaderNames
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.util.headers import Headers, end_to_end, header_text
from marjoramyard.kernel.errors import FailureKind, raise_failure
from marjoramyard.kernel.ids import Fingerprint
from marjoramyard.kernel.util.numbers import read_number, read_whole

NO_CONFIG_RETRY_SECONDS = 0.5
"""`Retry-After` while the gateway has no configuration yet. It gets one within
a few round trips after its start."""
NETWORK_ALLOWANCE_MS = 20.0
"""Subtracted from the caller's deadline for the network, a few ms each way, and
for writing the response."""
NO_LEASE_RETRY_SECONDS = 0.5
"""`Retry-After` while the gateway has no valid lease. About what a poll takes
once there is a leader again."""


class CallerRequest(msgspec.Struct, kw_only=True):
    """One attempt of a caller.

    Attributes:
        attempt: The caller's ID of the attempt.
        method: The HTTP method.
        target: The path with its query, as received.
        headers: The headers that are forwarded to the endpoint.
        arrived_at: When the request arrived, on the monotonic clock in seconds.
        deadline_at: When the response is due, on the monotonic clock in
            seconds.
        api_key: The API key of the request; "" on open routes.
        parts: The prompt parts.
        output_tokens: The maximum number of output tokens.
        last_event: The ID of the last event that the caller has; "" for none.
        resumes: The caller's ID of the attempt that brought the first event
            of the stream; "" if it doesn't say.
        waited_ms: How long the caller has probably waited in earlier attempts.
        known_fingerprint: The fingerprint, once it has been computed.
    """

    attempt: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    workspace: Workspace | None
    arrived_at: float
    deadline_at: float
    api_key: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event: str = ""
    resumes: str = ""
    waited_ms: float = 0.0
    known_fingerprint: Fingerprint | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        return self.route.may_repeat

    @property
    def fingerprint(self) -> Fingerprint:
        """Identifies the workspace's request, also when it is sent again."""
        if self.known_fingerprint is None:
            self.known_fingerprint = request_fingerprint(
                self.workspace.name if self.workspace is not None else "",
                body_digest(
                    self.method, self.route.hostname, self.target, self.body
                ),
            )
        return self.known_fingerprint

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """All prompt parts but the last, which is the request's own."""
        return self.parts[:-1]

    @property
    def unshared_memory_tokens(self) -> float:
        """Tokens of engine memory needed beside shared prompt parts."""
        own = self.parts[-1].tokens if self.parts else 0
        return float(own + self.output_tokens)

    @property
    def is_overdue(self) -> bool:
        """Whether the objective had passed before this attempt."""
        return 0 < self.route.objective_ms <= self.waited_ms

    @property
    def first_due_at(self) -> float:
        """When the first token is due, on the monotonic clock in seconds.

        An overdue request is late anyway, and gets as long as a new one.
        """
        waited_ms = 0.0 if self.is_overdue else self.waited_ms
        return self.arrived_at + (self.route.objective_ms - waited_ms) / 1000

    def seconds_left(self, now: float) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline_at - now


class AdmittedRequest(msgspec.Struct, frozen=True):
    """The route and the workspace of a request.

    Attributes:
        route: The route that matches the request.
        workspace: The workspace of the API key; None on open routes.
        api_key: The API key of the request; "" on open routes.
        arrived_at: When the request arrived, on the monotonic clock in seconds.
    """

    route: Route
    workspace: Workspace | None
    api_key: str
    arrived_at: float


def admit(
    request: web.Request,
    view: FleetView,
    names: HeaderNames,
    arrived_at: float,
) -> AdmittedRequest:
    """Finds the route and the workspace of a request.

    Args:
        request: The request.
        view: The gateway's view of the fleet.
        names: The header names of the dialect.
        arrived_at: When the request arrived, on the monotonic clock in seconds.

    Raises:
        FleetError: The request can't be served; it has not run.
    """
    table = view.table
    if table is None or not view.is_confirmed:
        raise_failure(
            FailureKind.NO_LEASE,
            "this gateway has no confirmed configuration yet; retry shortly",
            retry_after=NO_CONFIG_RETRY_SECONDS,
        )
    route = table.route(request.host, request.path)
    if route is None:
        _check_lease(view)
        raise_failure(
            FailureKind.UNKNOWN_ROUTE,
            "no route matches this host and path; check the configuration",
        )
    if route.open_access or not table.needs_keys:
        return AdmittedRequest(route, None, "", arrived_at)
    _check_lease(view)
    key, workspace = _workspace(request, table, names)
    return AdmittedRequest(route, workspace, key, arrived_at)


def _check_lease(view: FleetView) -> None:
    """Refuses a request unless the configuration in force is the newest.

    Without a lease, a newer one may have removed the caller's key, or have
    added the route or the key that this gateway doesn't know.
    """
    if not view.has_valid_lease():
        raise_failure(
            FailureKind.NO_LEASE,
            "the gateway can't reach the control hosts to verify routes and "
            "keys; retry shortly",
            retry_after=NO_LEASE_RETRY_SECONDS,
        )


def read_caller_request(
    request: web.Request, admitted: AdmittedRequest, names: HeaderNames
) -> CallerRequest:
    """Reads the rest of a request's head; leaves the body empty.

    Raises:
        FleetError: The head is invalid; the request has not run.
    """
    route = admitted.route
    deadline_at = admitted.arrived_at + _seconds_allowed(request, route, names)
    return CallerRequest(
        attempt=_text(request, names.attempt),
        method=request.method,
        target=header_text(request.raw_path),
        headers=_forwarded_headers(request, names),
        body=b"",
        route=route,
        workspace=admitted.workspace,
        arrived_at=admitted.arrived_at,
        deadline_at=deadline_at,
        api_key=admitted.api_key,
        parts=parse_prompt_parts(_text(request, names.prompt_parts)),
        output_tokens=_output_tokens(request, names),
        last_event=_text(request, names.last_event),
        resumes=_text(request, names.resumes),
    )


def _text(request: web.Request, name: str) -> str:
    """Returns a header value that can be part of a message; "" if missing."""
    return header_text(request.headers.get(name, ""))


def _workspace(
    request: web.Request, table: RouteTable, names: HeaderNames
) -> tuple[str, Workspace]:
    key = request.headers.get(names.api_key, "")
    workspace = table.workspace_of_key(key)
    if workspace is None:
        raise_failure(
            FailureKind.UNKNOWN_KEY if key else FailureKind.MISSING_KEY,
            f"send a valid key in {names.api_key}",
        )
    return key, workspace


def _seconds_allowed(
    request: web.Request, route: Route, names: HeaderNames
) -> float:
    """Returns the seconds from arrival until the response is due."""
    allowed_ms = route.timeout_ms
    text = request.headers.get(names.deadline_ms, "")
    if text:
        stated_ms = read_number(text)
        if stated_ms is None:
            raise_failure(
                FailureKind.BAD_REQUEST, f"{names.deadline_ms} must be a number"
            )
        allowed_ms = min(allowed_ms, stated_ms - NETWORK_ALLOWANCE_MS)
    return max(0.0, allowed_ms / 1000)


def stated_seconds(request: web.Request, names: HeaderNames) -> float:
    """Returns how long a caller says that it waits; 0.0 if it doesn't say."""
    stated_ms = read_number(request.headers.get(names.deadline_ms, ""))
    return max(0.0, stated_ms / 1000) if stated_ms is not None else 0.0


def _output_tokens(request: web.Request, names: HeaderNames) -> int:
    _, _, text = request.headers.get(names.token_counts, "").partition(",")
    return min(read_whole(text.strip()) or 0, MAX_PART_TOKENS)


def _forwarded_headers(request: web.Request, names: HeaderNames) -> Headers:
    """Returns the headers for the endpoint.

    Headers that identify the caller or control an endpoint's cache are dropped.
    Only the fleet may set them: a caller could otherwise read another
    workspace's prompt or impersonate it.
    """
    dropped = names.not_forwarded | _named_by_connection(request)
    return [
        (name, value)
        for name, value in end_to_end(list(request.headers.items()))
        if name.lower() not in dropped
    ]


def _named_by_connection(request: web.Request) -> set[str]:
    values: Sequence[str] = request.headers.getall("Connection", [])
    return {name.strip().lower() for v in values for name in v.split(",")}
