"""Typed failures: each kind has an outcome, a status and a remedy."""

from enum import Enum

import msgspec


class Outcome(Enum):
    """What a caller is told about its request; there are exactly three."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Kind(Enum):
    """The kinds of failure, with the HTTP status that carries each."""

    MISSING_KEY = ("missing_api_key", 401)
    UNKNOWN_KEY = ("unknown_api_key", 401)
    FORBIDDEN_SERVICE = ("service_not_allowed", 403)
    UNKNOWN_SERVICE = ("unknown_service", 404)
    UNKNOWN_ROUTE = ("unknown_route", 404)
    BAD_REQUEST = ("bad_request", 400)
    TOO_LARGE = ("request_too_large", 413)
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
    LEDGER_FULL = ("ledger_full", 503)
    NO_QUORUM = ("no_quorum", 503)
    NOT_LEADER = ("not_leader", 421)
    QUARANTINED = ("request_quarantined", 422)
    SUSPECT_HELD = ("suspect_held_apart", 503)
    RETRY_BUDGET_EXHAUSTED = ("retry_budget_spent", 503)
    ENDPOINT_LOST = ("endpoint_lost", 502)
    ENDPOINT_STALLED = ("endpoint_stalled", 504)
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
        """The name that callers see."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[1]


KIND_BY_CODE = {kind.code: kind for kind in Kind}


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """One failure as it travels: between processes and to callers.

    Attributes:
        code: The `Kind.code`.
        message: What happened and what to do about it.
        outcome: The `Outcome` value of the request it ended.
        retry_after: Seconds after which coming back helps, if it does.
        leader: Where the control leader listens, if the failure is that
            this host is not it.
    """

    code: str
    message: str
    outcome: str
    retry_after: float | None = None
    leader: str | None = None

    @property
    def kind(self) -> Kind:
        """The typed kind; a code of a newer release reads as internal."""
        return KIND_BY_CODE.get(self.code, Kind.INTERNAL)


def failure(
    kind: Kind,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after: float | None = None,
) -> Failure:
    """Builds a failure of a typed kind."""
    return Failure(kind.code, message, outcome.value, retry_after)


class FleetError(Exception):
    """A failure raised through layers that have nothing to add to it."""

    def __init__(self, reason: Failure):
        super().__init__(f"{reason.code}: {reason.message}")
        self.failure = reason


def raise_failure(
    kind: Kind,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after: float | None = None,
) -> None:
    """Raises a `FleetError` of the given kind."""
    raise FleetError(failure(kind, message, outcome, retry_after))
