"""Admission of callers' requests: authentication, routing and limits."""

import asyncio
import hashlib
import time

import aiohttp
import msgspec
from aiohttp import web

from marjoramyard.coordination.governance.bundle import (
    BundleView,
    Service,
    Workspace,
)
from marjoramyard.coordination.governance.ledger import Ledger
from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.fleet.membership import RouterMembership
from marjoramyard.fleet.messages import CallTicket
from marjoramyard.fleet.util.deadlines import timeout_after_input
from marjoramyard.fleet.util.headers import header_text
from marjoramyard.fleet.util.request_body import HOLDING, read_body
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    Outcome,
    raise_failure,
)
from marjoramyard.kernel.ids import ServiceId, WorkspaceId
from marjoramyard.kernel.util.decoding import decode_json
from marjoramyard.kernel.util.numbers import read_number

DEADLINE_HEADER = "X-Request-Deadline-Seconds"
IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200
CHAT_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
_SINGLE_HEADERS = (
    "Authorization",
    "Content-Length",
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    "X-API-Key",
)


class ChatBody(msgspec.Struct):
    """The fields of a chat request that decide its route."""

    model: str = ""
    stream: bool = False


class Admission:
    """Checks HTTP requests and resolves their service and workspace."""

    def __init__(self, membership: RouterMembership, max_header_bytes: int):
        self.membership = membership
        self.max_header_bytes = max_header_bytes

    @property
    def bundle(self) -> BundleView:
        """The bundle in force."""
        return self.membership.bundle

    async def admit(self, request: web.Request) -> CallerRequest:
        """Returns the admitted request.

        Raises:
            FleetError: The request is refused; the failure's kind says why.
        """
        refusal = self.membership.refusal()
        if refusal is not None:
            raise FleetError(_refusal_for_call(request, refusal))
        _check_headers(request, self.max_header_bytes)
        workspace_id = self._authenticate(request)
        request[HOLDING].assign(workspace_id)
        body = await self._read_body(request)
        service_id, path = self._route(request, body)
        workspace = self._authorize(workspace_id, service_id)
        service = self.bundle.services[service_id]
        if len(body) > service.max_body_bytes:
            raise_failure(
                FailureKind.TOO_LARGE,
                f"the body is over {service.max_body_bytes} bytes; send less",
            )
        rule = self.bundle.rule_for(
            service_id, request.method, path.partition("?")[0]
        )
        admitted = CallerRequest(
            request,
            workspace_id,
            workspace,
            service_id,
            service,
            rule,
            path,
            body,
            time.monotonic() + _deadline(request, service),
        )
        if not admitted.repeatable:
            admitted.call = _ticket(request, admitted)
        return admitted

    def _authorize(
        self, workspace_id: WorkspaceId, service_id: ServiceId
    ) -> Workspace:
        workspace = self.bundle.workspaces.get(workspace_id)
        if workspace is None:
            # A new bundle was installed while the body was read.
            raise_failure(FailureKind.UNKNOWN_KEY, "the workspace was removed")
        if service_id not in workspace.services:
            raise_failure(
                FailureKind.FORBIDDEN_SERVICE,
                f"workspace {workspace_id} may not reach {service_id}; ask "
                "an operator to add it to the bundle",
            )
        return workspace

    def _authenticate(self, request: web.Request) -> WorkspaceId:
        key = request.headers.get("X-API-Key", "")
        scheme, _, token = request.headers.get("Authorization", "").partition(
            " "
        )
        if scheme.lower() == "bearer":
            key = token.strip()
        if not key:
            raise_failure(
                FailureKind.MISSING_KEY,
                "no API key; send `Authorization: Bearer KEY`",
            )
        key_hash = hashlib.sha256(key.encode(errors="replace")).hexdigest()
        workspace = self.bundle.workspace_of_key.get(key_hash)
        if workspace is None:
            raise_failure(
                FailureKind.UNKNOWN_KEY,
                "the API key is not known; ask an operator for a new one",
            )
        return WorkspaceId(workspace)

    async def _read_body(self, request: web.Request) -> bytes:
        """Reads the body, up to the largest limit of all services.

        The service may be named in the body, so its own limit is not known
        yet.
        """
        services = self.bundle.services.values()
        limit = max((s.max_body_bytes for s in services), default=0)
        try:
            async with timeout_after_input(self._body_due_at(request)):
                return await read_body(request, limit)
        except (
            aiohttp.ClientPayloadError,
            web.RequestPayloadError,
            ValueError,
        ) as error:
            raise_failure(
                FailureKind.BAD_REQUEST, f"the body is truncated: {error}"
            )
        except TimeoutError:
            raise_failure(
                FailureKind.REQUEST_TIMEOUT,
                "the body did not arrive before the deadline; send it again",
            )

    def _body_due_at(self, request: web.Request) -> float:
        """Returns when a body must have arrived, whatever its service is."""
        services = self.bundle.services.values()
        seconds = read_number(request.headers.get(DEADLINE_HEADER, ""))
        if seconds is None or seconds <= 0:
            seconds = max((s.deadline_seconds for s in services), default=0.0)
        longest = max((s.max_deadline_seconds for s in services), default=0.0)
        return asyncio.get_running_loop().time() + min(seconds, longest)

    def _route(
        self, request: web.Request, body: bytes
    ) -> tuple[ServiceId, str]:
        if request.path in CHAT_PATHS:
            return self._chat_service(body), request.path
        if request.path.startswith(SERVICE_PREFIX):
            rest = request.path[len(SERVICE_PREFIX) :]
            name, _, path = rest.partition("/")
            if name not in self.bundle.services:
                raise_failure(
                    FailureKind.UNKNOWN_SERVICE,
                    f"there is no service {name!r}; see the bundle's list",
                )
            query = f"?{request.query_string}" if request.query_string else ""
            return ServiceId(name), f"/{path}{query}"
        raise_failure(
            FailureKind.UNKNOWN_ROUTE,
            f"no route {request.path}; use {CHAT_PATHS[0]} or "
            f"{SERVICE_PREFIX}NAME/...",
        )
        raise AssertionError

    def _chat_service(self, body: bytes) -> ServiceId:
        try:
            chat = decode_json(body, ChatBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise_failure(
                FailureKind.BAD_REQUEST,
                f"the body is not a chat request: {error}",
            )
        service = self.bundle.service_of_model.get(chat.model)
        if service is None:
            raise_failure(
                FailureKind.UNKNOWN_SERVICE,
                f"no service has model {chat.model!r}; name one of the "
                "bundle's models",
            )
        return ServiceId(service)


def _check_headers(request: web.Request, limit: int) -> None:
    """Refuses headers that are too long or repeated.

    Different parsers could use different values of a repeated header.
    """
    for name, value in request.headers.items():
        if len(name) + len(value) > limit:
            raise_failure(
                FailureKind.TOO_LARGE,
                f"a header is over {limit} bytes; send less",
            )
    for name in _SINGLE_HEADERS:
        if len(request.headers.getall(name, ())) > 1:
            raise_failure(
                FailureKind.BAD_REQUEST,
                f"header {name} is repeated; send it once",
            )


def _refusal_for_call(request: web.Request, refusal: Failure) -> Failure:
    """Returns the refusal for a request that arrives without a lease.

    The outcome of a request with an idempotency key is unknown: an earlier
    request with the key may have run through another entry.
    """
    if not request.headers.get(IDEMPOTENCY_HEADER, "").strip():
        return refusal
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN.value)


def _deadline(request: web.Request, service: Service) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return service.deadline_seconds
    seconds = read_number(text)
    if seconds is None or not 0 < seconds <= service.max_deadline_seconds:
        raise_failure(
            FailureKind.BAD_REQUEST,
            f"{DEADLINE_HEADER}: give seconds above 0 and up to "
            f"{service.max_deadline_seconds:g}",
        )
    return seconds


def _ticket(request: web.Request, admitted: CallerRequest) -> CallTicket:
    key = header_text(request.headers.get(IDEMPOTENCY_HEADER, "")).strip()
    if not key:
        raise_failure(
            FailureKind.IDEMPOTENCY_KEY_REQUIRED,
            "this call runs at most once, so it needs an Idempotency-Key "
            "header: a new value for a new call, the same for a resend",
        )
    if len(key) > MAX_KEY_CHARS:
        raise_failure(
            FailureKind.BAD_REQUEST,
            f"{IDEMPOTENCY_HEADER} is over {MAX_KEY_CHARS} characters",
        )
    full_key = Ledger.key(admitted.workspace_id, key)
    return CallTicket(full_key, admitted.body_digest, 0)
