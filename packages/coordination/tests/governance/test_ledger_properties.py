"""At most once, and "not run" is true, over every interleaving."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marjoramyard.coordination.governance.ledger import (
    CallState,
    Ledger,
    StoredAnswer,
    verdict,
)
from marjoramyard.kernel.errors import Kind, Outcome

KEY, DIGEST = "1:w:key", "digest"
_pick = st.integers(0, 20)
ANSWER = StoredAnswer(201, [], None, "x")


class LedgerMachine(RuleBasedStateMachine):
    """Callers resend through many entries; agents freeze and thaw.

    An attempt is admitted, asks to start, is sent some time after (a
    freeze may lie between) and may be given up by its entry at any point.
    The endpoint must see the call at most once, and never an attempt of
    which a caller was told "not run".
    """

    def __init__(self):
        super().__init__()
        self.ledger = Ledger({})
        self.epochs = {}
        self.allowed = []
        self.sent = []
        self.told_not_run = set()

    def attempt(self, pick):
        names = sorted(self.epochs)
        return names[pick % len(names)] if names else None

    @rule()
    def caller_sends_through_an_entry(self):
        view = self.ledger.look_up(KEY, DIGEST)
        if view.state in (None, CallState.CANCELLED):
            self.epochs[f"attempt-{len(self.epochs):03d}"] = view.epoch

    @rule(pick=_pick)
    def agent_asks_to_start(self, pick):
        name = self.attempt(pick)
        if name is None:
            return
        view = self.ledger.start(KEY, DIGEST, name, self.epochs[name], 10)
        is_mine = view.state is CallState.STARTED and view.attempt == name
        if view.refusal is None and is_mine and name not in self.allowed:
            self.allowed.append(name)

    @rule(pick=_pick)
    def agent_sends_after_any_pause(self, pick):
        if self.allowed:
            name = self.allowed[pick % len(self.allowed)]
            if name not in self.sent:
                self.sent.append(name)

    @rule(pick=_pick)
    def agent_has_the_answer(self, pick):
        if self.sent:
            name = self.sent[pick % len(self.sent)]
            self.ledger.done(KEY, name, ANSWER)

    @rule(pick=_pick)
    def entry_gives_up(self, pick):
        name = self.attempt(pick)
        if name is None:
            return
        view = self.ledger.cancel(KEY, DIGEST, name, self.epochs[name], 10)
        if verdict(view, name) is Outcome.NOT_RUN:
            self.told_not_run.add(name)

    @invariant()
    def the_endpoint_sees_the_call_at_most_once(self):
        assert len(self.allowed) <= 1
        assert len(self.sent) <= 1

    @invariant()
    def not_run_is_true(self):
        assert not self.told_not_run.intersection(self.allowed)


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(max_examples=300, stateful_step_count=40)


def test_a_thawed_agent_cannot_start_an_attempt_that_was_cancelled():
    """The entry gives up, tells "not run", and the caller sends again.

    The second attempt is given up too. An hour later the first agent
    thaws and asks to start: its epoch is old, so it is refused.
    """
    ledger = Ledger({})
    ledger.cancel(KEY, DIGEST, "first", 0, 10)
    ledger.cancel(KEY, DIGEST, "second", 1, 10)
    view = ledger.start(KEY, DIGEST, "first", 0, 10)
    assert view.refusal.kind is Kind.CANCELLED


def test_the_same_key_with_another_body_is_an_error():
    ledger = Ledger({})
    ledger.start(KEY, DIGEST, "a", 0, 10)
    assert (
        ledger.look_up(KEY, "other").refusal.kind is Kind.IDEMPOTENCY_KEY_REUSED
    )
    view = ledger.start(KEY, "other", "b", 0, 10)
    assert view.refusal.kind is Kind.IDEMPOTENCY_KEY_REUSED


def test_a_full_ledger_refuses_new_calls_and_forgets_none():
    """Forgetting an old call would let its resend book a second time."""
    ledger = Ledger({})
    ledger.start("old", DIGEST, "a", 0, 1)
    view = ledger.start("new", DIGEST, "b", 0, 1)
    assert view.refusal.kind is Kind.LEDGER_FULL
    assert ledger.look_up("old", DIGEST).state is CallState.STARTED


def test_keys_of_two_workspaces_never_meet():
    assert Ledger.key("a", "b:c") != Ledger.key("a:b", "c")
