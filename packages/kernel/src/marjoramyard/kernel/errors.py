"""Typed failures: error codes, HTTP statuses and request outcomes."""

from enum import Enum

import msgspec


class Outcome(Enum):
    """The outcome of a request, as reported to its caller.

    `NOT_RUN` guarantees that nothing was executed; after `UNKNOWN` the
    request may have been executed.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FailureKind(Enum):
    """The kinds of failure: the error code and the HTTP status of each."""

    MISSING_KEY = ("missing_api_key", 401)
    UNKNOWN_KEY = ("unknown_api_key", 401)
    FORBIDDEN_SERVICE = ("service_not_allowed", 403)
    UNKNOWN_SERVICE = ("unknown_service", 404)
    UNKNOWN_ROUTE = ("unknown_route", 404)
    BAD_REQUEST = ("bad_request", 400)
    REQUEST_TIMEOUT = ("request_timeout", 408)
    TOO_LARGE = ("request_too_large", 413)
    HEAD_TOO_LARGE = ("request_head_too_large", 431)
    IDEMPOTENCY_KEY_REQUIRED = ("idempotency_key_required", 400)
    IDEMPOTENCY_KEY_REUSED = ("idempotency_key_reused", 422)
    CALL_IN_PROGRESS = ("call_in_progress", 409)
    CALL_OUTCOME_UNKNOWN = ("call_outcome_unknown", 409)
    WORKSPACE_FULL = ("workspace_queue_full", 429)
    DEADLINE = ("deadline_passed", 504)
    NO_LEASE = ("no_bundle_lease", 503)
    LEAVING = ("leaving", 503)
    BUSY = ("busy", 503)
    OVERLOADED = ("overloaded", 503)
    NO_ENDPOINT = ("no_endpoint", 503)
    STREAM_UNKNOWN = ("stream_unknown", 503)
    STREAM_VERSION_GONE = ("stream_version_gone", 503)
    LEDGER_FULL = ("ledger_full", 503)
    NO_QUORUM = ("no_quorum", 503)
    STORAGE_FULL = ("storage_full", 503)
    NOT_LEADER = ("not_leader", 421)
    QUARANTINED = ("request_quarantined", 503)
    SUSPECT_HELD = ("suspect_held_apart", 503)
    RETRY_BUDGET_EXHAUSTED = ("retry_budget_spent", 503)
    ENDPOINT_LOST = ("endpoint_lost", 502)
    ENDPOINT_STALLED = ("endpoint_stalled", 504)
    STOPPED = ("stopped", 502)
    RESPONSE_TRUNCATED = ("answer_cut", 502)
    CANCELLED = ("cancelled", 409)
    UNAUTHENTICATED = ("unauthenticated", 401)
    CONFLICT = ("version_conflict", 409)
    INVALID_BUNDLE = ("invalid_bundle", 422)
    INVALID_SIGNATURE = ("invalid_signature", 403)
    NOT_FOUND = ("not_found", 404)
    STALE_FENCING_NUMBER = ("stale_fencing_number", 409)
    UNINITIALISED = ("uninitialised", 503)
    INTERNAL = ("internal", 500)

    @property
    def code(self) -> str:
        """The error code in responses."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self.value[1]


FAILURE_KIND_BY_CODE = {kind.code: kind for kind in FailureKind}


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """A failure as it is sent between processes and to callers.

    Attributes:
        code: The `FailureKind.code`.
        message: What happened and what to do about it.
        outcome: The `Outcome` value of the request.
        retry_after: Seconds to wait before a retry; None if a retry won't
            help.
        leader: The address of the control leader, if the request was
            refused because this host is not the leader.
    """

    code: str
    message: str
    outcome: str
    retry_after: float | None = None
    leader: str | None = None

    @property
    def kind(self) -> FailureKind:
        """The kind; `INTERNAL` for a code that this release doesn't know."""
        return FAILURE_KIND_BY_CODE.get(self.code, FailureKind.INTERNAL)


def failure(
    kind: FailureKind,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after: float | None = None,
) -> Failure:
    """Builds a `Failure` of the given kind."""
    return Failure(kind.code, message, outcome.value, retry_after)


class FleetError(Exception):
    """An exception that carries a `Failure`."""

    def __init__(self, reason: Failure):
        super().__init__(f"{reason.code}: {reason.message}")
        self.failure = reason


def raise_failure(
    kind: FailureKind,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after: float | None = None,
) -> None:
    """Raises a `FleetError` of the given kind."""
    raise FleetError(failure(kind, message, outcome, retry_after))
