"""The ledger of calls that must run at most once."""

from enum import Enum

import msgspec

from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure

_FULL_RETRY_SECONDS = 60.0


class CallState(Enum):
    """The state of a call. A started call is never cancelled."""

    STARTED = "started"
    DONE = "done"
    CANCELLED = "cancelled"


class StoredResponse(msgspec.Struct, frozen=True):
    """The response replayed to retries; no body if it was too large."""

    status: int
    headers: list[tuple[str, str]]
    body: str | None
    digest: str


class LedgerEntry(msgspec.Struct):
    """One call.

    Attributes:
        body_digest: The digest of the request body.
        epoch: The number of cancellations. An attempt may start only in the
            epoch in which it was admitted.
        attempt: The attempt that last changed the state.
        answer: The stored response, once the call is done.
    """

    state: CallState
    body_digest: str
    epoch: int
    attempt: str
    answer: StoredResponse | None = None


class LedgerView(msgspec.Struct, frozen=True, omit_defaults=True):
    """The ledger's view of a call, returned by each operation.

    Attributes:
        state: The state of the call, or None if the ledger has no entry.
        refusal: Why the operation was refused, if it was.
    """

    epoch: int = 0
    state: CallState | None = None
    attempt: str = ""
    answer: StoredResponse | None = None
    refusal: Failure | None = None


class Ledger:
    """Decides which attempt of a call may start, in log order."""

    def __init__(self, entries: dict[str, LedgerEntry]):
        self.entries = entries

    @staticmethod
    def key(workspace: str, idempotency_key: str) -> str:
        """Returns the ledger key; it is unique across workspaces."""
        return f"{len(workspace)}:{workspace}:{idempotency_key}"

    def look_up(self, key: str, body_digest: str) -> LedgerView:
        """Returns the current state of a call, for admission."""
        entry = self.entries.get(key)
        if entry is None:
            return LedgerView()
        refusal = None
        if entry.body_digest != body_digest:
            refusal = _reused()
        return self._view(entry, refusal)

    def start(
        self,
        key: str,
        body_digest: str,
        attempt: str,
        epoch: int,
        capacity: int,
    ) -> LedgerView:
        """Starts an attempt, or refuses it.

        A cancelled attempt has an outdated epoch, so it is refused however
        late its start is requested, and whatever happened to later attempts.
        """
        entry = self.entries.get(key)
        if entry is None:
            if epoch != 0:
                return LedgerView(refusal=_cancelled())
            if len(self.entries) >= capacity:
                return LedgerView(refusal=_full())
            entry = LedgerEntry(CallState.STARTED, body_digest, 0, attempt)
            self.entries[key] = entry
            return self._view(entry)
        if entry.body_digest != body_digest:
            return self._view(entry, _reused())
        if entry.attempt == attempt and entry.state is not CallState.CANCELLED:
            return self._view(entry)
        if entry.state is CallState.CANCELLED and entry.epoch == epoch:
            entry.state = CallState.STARTED
            entry.attempt = attempt
            return self._view(entry)
        return self._view(entry, _cancelled())

    def finish(
        self, key: str, attempt: str, response: StoredResponse
    ) -> LedgerView:
        """Stores the response of the started attempt."""
        entry = self.entries.get(key)
        if entry is None or entry.attempt != attempt:
            return LedgerView(refusal=_cancelled())
        if entry.state is CallState.STARTED:
            entry.state = CallState.DONE
            entry.answer = response
        return self._view(entry)

    def cancel(
        self,
        key: str,
        body_digest: str,
        attempt: str,
        epoch: int,
        capacity: int,
    ) -> LedgerView:
        """Prevents an attempt from starting, unless it has started already."""
        entry = self.entries.get(key)
        if entry is None:
            if len(self.entries) >= capacity:
                return LedgerView(refusal=_full(), state=CallState.STARTED)
            entry = LedgerEntry(
                CallState.CANCELLED, body_digest, epoch + 1, attempt
            )
            self.entries[key] = entry
            return self._view(entry)
        if entry.state is CallState.CANCELLED and entry.epoch == epoch:
            entry.epoch = epoch + 1
            entry.attempt = attempt
        return self._view(entry)

    @staticmethod
    def _view(entry: LedgerEntry, refusal: Failure | None = None) -> LedgerView:
        return LedgerView(
            entry.epoch, entry.state, entry.attempt, entry.answer, refusal
        )


def _reused() -> Failure:
    return failure(
        FailureKind.IDEMPOTENCY_KEY_REUSED,
        "this Idempotency-Key came with another body; use a new key for a "
        "new call",
    )


def _cancelled() -> Failure:
    return failure(
        FailureKind.CANCELLED,
        "this attempt was cancelled before it started; send the request "
        "again with the same Idempotency-Key",
    )


def _full() -> Failure:
    return failure(
        FailureKind.LEDGER_FULL,
        "the ledger of calls is full and evicts no entries; an operator must "
        "raise policy.ledger_capacity",
        retry_after=_FULL_RETRY_SECONDS,
    )


def outcome_after_cancel(view: LedgerView, attempt: str) -> Outcome:
    """Returns the outcome of an attempt, given the view after a cancel."""
    if view.state is CallState.CANCELLED:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
