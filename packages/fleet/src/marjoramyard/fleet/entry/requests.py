"""A caller's request after its admission."""

import time
from dataclasses import dataclass, field

from aiohttp import web

from marjoramyard.coordination.governance.bundle import (
    Rule,
    Service,
    Workspace,
)
from marjoramyard.coordination.serving.fingerprints import (
    body_digest,
    message_fingerprints,
    request_fingerprint,
)
from marjoramyard.coordination.serving.prefixes import prefix_digest
from marjoramyard.coordination.serving.request_queues import RequestClass
from marjoramyard.fleet.messages import CallTicket
from marjoramyard.fleet.util.headers import writable_value
from marjoramyard.kernel.ids import Fingerprint, ServiceId, WorkspaceId

_PRIVATE_HEADERS = frozenset(
    {"authorization", "x-api-key", "host", "accept-encoding", "expect"}
)
"""Not forwarded to endpoints: credentials are the caller's secret, and a
compressed response could not be metered."""


@dataclass(eq=False)
class CallerRequest:
    """An admitted request.

    Attributes:
        http: The caller's HTTP request.
        rule: The bundle's rule that applies to it.
        path: The path and query for the endpoint.
        deadline_at: Monotonic time, in seconds.
        call: The ticket of a call that must not repeat, else None.
        suspect: Whether an endpoint was lost while the request ran.
        may_have_run: Whether an endpoint may have run the request.
        delivered: Whether a part of the response was sent to the caller.
        arrived_at: Monotonic time, in seconds.
    """

    http: web.Request
    workspace_id: WorkspaceId
    workspace: Workspace
    service_id: ServiceId
    service: Service
    rule: Rule
    path: str
    body: bytes
    deadline_at: float
    call: CallTicket | None = None
    suspect: bool = False
    may_have_run: bool = False
    delivered: bool = False
    arrived_at: float = field(default_factory=time.monotonic)

    @property
    def request_class(self) -> RequestClass:
        """The request's class according to the bundle's rules."""
        return RequestClass(self.rule.request_class)

    @property
    def repeatable(self) -> bool:
        """Whether the request may be run more than once."""
        return self.rule.repeatable or self.http.method in ("GET", "HEAD")

    @property
    def prefix(self) -> str:
        """The digest of the beginning of the prompt."""
        return prefix_digest(self.body)

    @property
    def body_digest(self) -> str:
        """The digest of method, service, path and body, for the ledger."""
        return body_digest(
            self.http.method, self.service_id, self.path, self.body
        )

    @property
    def fingerprint(self) -> Fingerprint:
        """Identifies the workspace's request, also when it is resent."""
        return request_fingerprint(self.workspace_id, self.body_digest)

    @property
    def message_fingerprints(self) -> list[Fingerprint]:
        """Identifies the messages of a chat that others may share."""
        return message_fingerprints(self.service_id, self.body)

    def seconds_left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline_at - time.monotonic()

    def forwarded_headers(self) -> list[tuple[str, str]]:
        """Returns the headers that are forwarded to the endpoint.

        Their values can be written, whatever was received.
        """
        return [
            (str(name), writable_value(value))
            for name, value in self.http.headers.items()
            if name.lower() not in _PRIVATE_HEADERS
        ]
