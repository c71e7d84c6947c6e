"""Property tests of the call ledger: at most once, truthful outcomes."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramyard.coordination.governance.ledger import (
    CallState,
    Ledger,
    StoredResponse,
    outcome_after_cancel,
)
from marjoramyard.kernel.errors import FailureKind, Outcome

KEY, DIGEST = "1:w:key", "digest"
_pick = st.integers(0, 20)
RESPONSE = StoredResponse(201, [], None, "x")


class LedgerMachine(RuleBasedStateMachine):
    """Interleaves admission, start, sending and cancellation of attempts.

    Guards against a call that reaches the endpoint twice, and against a
    "not run" outcome for an attempt that was allowed to start.
    """

    def __init__(self):
        super().__init__()
        self.ledger = Ledger({})
        self.epochs = {}
        self.allowed = []
        self.sent = []
        self.reported_not_run = set()

    def attempt(self, pick):
        names = sorted(self.epochs)
        return names[pick % len(names)] if names else None

    @rule()
    def entry_admits_an_attempt(self):
        view = self.ledger.look_up(KEY, DIGEST)
        if view.state in (None, CallState.CANCELLED):
            self.epochs[f"attempt-{len(self.epochs):03d}"] = view.epoch

    @rule(pick=_pick)
    def agent_starts_an_attempt(self, pick):
        name = self.attempt(pick)
        if name is None:
            return
        view = self.ledger.start(KEY, DIGEST, name, self.epochs[name], 10)
        is_mine = view.state is CallState.STARTED and view.attempt == name
        if view.refusal is None and is_mine and name not in self.allowed:
            self.allowed.append(name)

    @rule(pick=_pick)
    def agent_sends_an_attempt(self, pick):
        if self.allowed:
            name = self.allowed[pick % len(self.allowed)]
            if name not in self.sent:
                self.sent.append(name)

    @rule(pick=_pick)
    def agent_stores_the_response(self, pick):
        if self.sent:
            name = self.sent[pick % len(self.sent)]
            self.ledger.finish(KEY, name, RESPONSE)

    @rule(pick=_pick)
    def entry_cancels_an_attempt(self, pick):
        name = self.attempt(pick)
        if name is None:
            return
        view = self.ledger.cancel(KEY, DIGEST, name, self.epochs[name], 10)
        if outcome_after_cancel(view, name) is Outcome.NOT_RUN:
            self.reported_not_run.add(name)

    @invariant()
    def call_reaches_the_endpoint_at_most_once(self):
        assert len(self.allowed) <= 1
        assert len(self.sent) <= 1

    @invariant()
    def not_run_attempts_were_not_allowed(self):
        assert not self.reported_not_run.intersection(self.allowed)


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(max_examples=300, stateful_step_count=40)


def test_a_cancelled_attempt_cannot_start_after_a_retry():
    """Guards against: a suspended agent that starts a cancelled attempt."""
    ledger = Ledger({})
    ledger.cancel(KEY, DIGEST, "first", 0, 10)
    ledger.cancel(KEY, DIGEST, "second", 1, 10)
    view = ledger.start(KEY, DIGEST, "first", 0, 10)
    assert view.refusal.kind is FailureKind.CANCELLED


def test_reusing_a_key_with_another_body_is_refused():
    ledger = Ledger({})
    ledger.start(KEY, DIGEST, "a", 0, 10)
    assert (
        ledger.look_up(KEY, "other").refusal.kind
        is FailureKind.IDEMPOTENCY_KEY_REUSED
    )
    view = ledger.start(KEY, "other", "b", 0, 10)
    assert view.refusal.kind is FailureKind.IDEMPOTENCY_KEY_REUSED


def test_a_full_ledger_refuses_new_calls_and_evicts_none():
    """Guards against: a retry of an evicted call that runs again."""
    ledger = Ledger({})
    ledger.start("old", DIGEST, "a", 0, 1)
    view = ledger.start("new", DIGEST, "b", 0, 1)
    assert view.refusal.kind is FailureKind.LEDGER_FULL
    assert ledger.look_up("old", DIGEST).state is CallState.STARTED


def test_ledger_keys_are_unique_across_workspaces():
    assert Ledger.key("a", "b:c") != Ledger.key("a:b", "c")
