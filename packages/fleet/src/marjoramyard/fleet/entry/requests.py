"""A caller's request once it was checked."""

import hashlib
import time
from dataclasses import dataclass, field

from aiohttp import web

from marjoramyard.coordination.governance.bundle import (
    Rule,
    Service,
    Workspace,
)
from marjoramyard.coordination.serving.prefixes import prefix_digest
from marjoramyard.coordination.serving.request_queues import RequestClass
from marjoramyard.fleet.messages import CallTicket
from marjoramyard.kernel.ids import Fingerprint, ServiceId, WorkspaceId

_PRIVATE_HEADERS = frozenset(
    {"authorization", "x-api-key", "host", "accept-encoding", "expect"}
)
"""Kept from endpoints: keys are the callers' secrets, and an answer that
the endpoint compressed could not be metered."""


@dataclass(eq=False)
class CallerRequest:
    """One request with all that decides how it is served.

    Attributes:
        deadline_at: On the monotonic clock.
        call: Set if it must not repeat.
        suspect: An endpoint was lost while it ran.
        delivered: A part of an answer has gone to the caller.
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
    delivered: bool = False
    arrived_at: float = field(default_factory=time.monotonic)

    @property
    def request_class(self) -> RequestClass:
        """Its class, by the bundle's rules."""
        return RequestClass(self.rule.request_class)

    @property
    def repeatable(self) -> bool:
        """Whether the system may run it again."""
        return self.rule.repeatable or self.http.method in ("GET", "HEAD")

    @property
    def prefix(self) -> str:
        """Names its prompt's beginning."""
        return prefix_digest(self.body)

    @property
    def body_digest(self) -> str:
        """Names its route and body, for the ledger."""
        state = hashlib.sha256()
        for part in (self.http.method, self.service_id, self.path):
            state.update(part.encode() + b"\0")
        state.update(self.body)
        return state.hexdigest()

    @property
    def fingerprint(self) -> Fingerprint:
        """Names the request, whoever resends it through whichever entry."""
        text = f"{self.workspace_id}\0{self.body_digest}"
        return Fingerprint(hashlib.sha256(text.encode()).hexdigest()[:32])

    def seconds_left(self) -> float:
        """Returns what is left of the deadline."""
        return self.deadline_at - time.monotonic()

    def forwarded_headers(self) -> list[tuple[str, str]]:
        """Returns the headers that the endpoint may see."""
        return [
            (str(name), value)
            for name, value in self.http.headers.items()
            if name.lower() not in _PRIVATE_HEADERS
        ]
