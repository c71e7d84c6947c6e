"""The ledger of calls that must not repeat."""

from enum import Enum

import msgspec

from marjoramyard.kernel.errors import Failure, Kind, Outcome, failure

_FULL_RETRY_SECONDS = 60.0


class CallState(Enum):
    """Where a call stands. `STARTED` never goes back."""

    STARTED = "started"
    DONE = "done"
    CANCELLED = "cancelled"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer that a resend gets; the body is None if it was too large."""

    status: int
    headers: list[tuple[str, str]]
    body: str | None
    digest: str


class LedgerEntry(msgspec.Struct):
    """One call.

    Attributes:
        epoch: How often the call was cancelled; an attempt may start only
            in the epoch in which it was admitted.
    """

    state: CallState
    body_digest: str
    epoch: int
    attempt: str
    answer: StoredAnswer | None = None


class LedgerView(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the ledger says of a call; no state means that it has none.

    Attributes:
        refusal: Why the operation asked for was not done.
    """

    epoch: int = 0
    state: CallState | None = None
    attempt: str = ""
    answer: StoredAnswer | None = None
    refusal: Failure | None = None


class Ledger:
    """Decides, in log order, which attempt of a call may start."""

    def __init__(self, entries: dict[str, LedgerEntry]):
        self.entries = entries

    @staticmethod
    def key(workspace: str, idempotency_key: str) -> str:
        """Returns the entry's key; keys of two workspaces never meet."""
        return f"{len(workspace)}:{workspace}:{idempotency_key}"

    def look_up(self, key: str, body_digest: str) -> LedgerView:
        """Returns what stands, for an entry that is to admit a call."""
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
        """Lets an attempt start, or says why not.

        An attempt that was cancelled carries an old epoch, so it is refused
        even if its agent was frozen for an hour, and even when a resend of
        the call has been cancelled or started since.
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

    def done(self, key: str, attempt: str, answer: StoredAnswer) -> LedgerView:
        """Stores the answer of the attempt that started."""
        entry = self.entries.get(key)
        if entry is None or entry.attempt != attempt:
            return LedgerView(refusal=_cancelled())
        if entry.state is CallState.STARTED:
            entry.state = CallState.DONE
            entry.answer = answer
        return self._view(entry)

    def cancel(
        self,
        key: str,
        body_digest: str,
        attempt: str,
        epoch: int,
        capacity: int,
    ) -> LedgerView:
        """Rules out that an attempt starts later, unless it has started."""
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
        Kind.IDEMPOTENCY_KEY_REUSED,
        "this Idempotency-Key came with another body; use a new key for a "
        "new call",
    )


def _cancelled() -> Failure:
    return failure(
        Kind.CANCELLED,
        "this attempt was given up before it started; send the call again "
        "with the same Idempotency-Key",
    )


def _full() -> Failure:
    return failure(
        Kind.LEDGER_FULL,
        "the ledger of calls is full and forgets none; an operator must "
        "raise policy.ledger_capacity",
        retry_after=_FULL_RETRY_SECONDS,
    )


def verdict(view: LedgerView, attempt: str) -> Outcome:
    """Returns what may be told of an attempt after a cancel."""
    if view.state is CallState.CANCELLED:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
