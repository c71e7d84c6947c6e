"""Tests of bundle versions: races, retries, restores, the audit chain."""

import copy

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramyard.coordination.governance.audit import verify_chain
from marjoramyard.coordination.governance.bundle import (
    BundleView,
    parse_bundle,
    to_rows,
)
from marjoramyard.coordination.governance.lifecycle import (
    BundleLifecycle,
    Change,
    LifecycleState,
    rows_at,
)
from marjoramyard.kernel.errors import FailureKind

OPERATORS = {
    "operators/awa": {"public_key": "0" * 64},
    "operators/bento": {"public_key": "1" * 64},
}
SERVICE = {"services/chat": {"kind": "engine", "models": ["chat"]}}
FIRST = {**OPERATORS, **SERVICE}


def workspace(share=1.0, key="a"):
    return {"share": share, "services": ["chat"], "key_hashes": [key * 64]}


class History:
    """A bundle lifecycle with helpers that propose and roll changes."""

    def __init__(self):
        self.bundles = BundleLifecycle(LifecycleState())
        self.proposed = 0
        self.roll(FIRST)

    @property
    def version(self):
        return self.bundles.state.version

    def change(self, put, remove=(), base=None, restores=None):
        self.proposed += 1
        base = self.version if base is None else base
        name = f"change-{self.proposed}"
        return Change(name, base, "awa", put, list(remove), restores)

    def propose(self, change):
        return self.bundles.propose(change, "sig", float(self.proposed))

    def approve(self, change):
        return self.bundles.approve(change.change_id, "bento", "sig", 1.0)

    def roll(self, put, remove=(), restores=None):
        change = self.change(put, remove, restores=restores)
        assert self.propose(change).is_ok(), self.propose(change)
        assert self.approve(change).is_ok()
        done = self.bundles.roll(change.change_id, "awa", "sig", 1.0)
        assert done.is_ok(), done
        return change


def test_only_one_of_two_concurrent_changes_is_rolled():
    """Guards against: a roll that overwrites a concurrent change."""
    history = History()
    one = history.change({"workspaces/a": workspace(key="a")})
    two = history.change({"workspaces/b": workspace(key="b")})
    for change in (one, two):
        assert history.propose(change).is_ok()
        assert history.approve(change).is_ok()
    assert history.bundles.roll(one.change_id, "awa", "s", 1.0).is_ok()
    conflict = history.bundles.roll(two.change_id, "awa", "s", 1.0).err()
    assert conflict.kind is FailureKind.CONFLICT
    assert "version 2 by awa is in force" in conflict.message
    assert "workspaces/b" not in history.bundles.view.rows


def test_a_retry_returns_its_first_outcome_also_after_a_snapshot():
    """Guards against: a retried action that is applied twice."""
    history = History()
    change = history.roll({"workspaces/a": workspace()})
    history.roll({"workspaces/a": workspace(2.0)})
    stored = msgspec.json.encode(history.bundles.state)
    again = BundleLifecycle(msgspec.json.decode(stored, type=LifecycleState))
    for outcome in (
        again.propose(change, "sig", 9.0),
        again.approve(change.change_id, "bento", "sig", 9.0),
        again.roll(change.change_id, "awa", "sig", 9.0),
    ):
        assert outcome.ok().version == 2
    assert again.state.version == 3


def test_a_change_id_cannot_be_reused_for_another_change():
    history = History()
    change = history.roll({"workspaces/a": workspace()})
    other = msgspec.structs.replace(change, note="another")
    assert history.propose(other).err().kind is FailureKind.CONFLICT


def test_an_old_bundle_is_refused_unless_it_is_restored_explicitly():
    """Guards against: an outdated bundle sent again under a new change ID."""
    history = History()
    history.roll({"workspaces/a": workspace(1.0)})
    history.roll({"workspaces/a": workspace(5.0)})
    old = history.change({"workspaces/a": workspace(1.0)})
    refused = history.propose(old).err()
    assert refused.kind is FailureKind.CONFLICT
    assert "restore 2" in refused.message
    history.roll({"workspaces/a": workspace(1.0)}, restores=2)
    assert history.version == 4


def test_a_restore_must_have_the_content_of_its_version():
    history = History()
    history.roll({"workspaces/a": workspace(1.0)})
    wrong = history.change({"workspaces/a": workspace(7.0)}, restores=1)
    assert history.propose(wrong).err().kind is FailureKind.INVALID_BUNDLE


def test_an_author_cannot_approve_their_own_change():
    history = History()
    change = history.change({"workspaces/a": workspace()})
    history.propose(change)
    own = history.bundles.approve(change.change_id, "awa", "sig", 1.0)
    assert own.err().kind is FailureKind.INVALID_SIGNATURE
    early = history.bundles.roll(change.change_id, "awa", "sig", 1.0)
    assert early.err().kind is FailureKind.CONFLICT


@pytest.mark.parametrize(
    ("put", "remove", "fragment"),
    [
        ({"workspaces/b": workspace(0)}, (), "share"),
        ({"workspaces/b": workspace(key="a")}, (), "same key"),
        (
            {"workspaces/b": {**workspace(key="b"), "services": ["nope"]}},
            (),
            "unknown",
        ),
        ({"rules/r": {"service": "nope"}}, (), "unknown"),
        ({"rules/r": {"service": "chat", "path": "x"}}, (), "begin with /"),
        ({"services/s": {"kind": "odd"}}, (), "engine or plain"),
        ({"odd/s": {}}, (), "no such section"),
        ({"workspaces/b": {"shares": 1}}, (), "correct the value"),
        ({}, ("services/chat",), "is removed"),
        ({}, ("services/none",), "not in force"),
        ({}, ("operators/bento",), "approver"),
        ({"policy": {"retry_ratio": -1}}, (), "negative"),
    ],
)
def test_an_invalid_change_is_refused_and_reverted(put, remove, fragment):
    history = History()
    history.roll({"workspaces/a": workspace()})
    before = copy.deepcopy(history.bundles.view.rows)
    refused = history.propose(history.change(put, remove)).err()
    assert refused.kind is FailureKind.INVALID_BUNDLE
    assert fragment in refused.message
    assert history.bundles.view.rows == before
    assert history.bundles.view.workspace_of_key.get("a" * 64) == "a"


_puts = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.one_of(st.none(), st.floats(0.5, 9.0)),
    ),
    max_size=12,
)


@given(_puts)
def test_deltas_and_snapshots_give_the_same_bundle(puts):
    """Guards against: routers whose bundle differs after applying deltas."""
    history = History()
    router = BundleView()
    router.install(
        1, history.bundles.state.chain, dict(history.bundles.view.rows)
    )
    for name, share in puts:
        path = f"workspaces/{name}"
        known = path in history.bundles.view.rows
        put, remove = {}, ()
        if share is None and known:
            remove = (path,)
        elif share is not None:
            put = {path: workspace(share, name)}
        change = history.change(put, remove)
        if not history.propose(change).is_ok():
            continue
        history.approve(change)
        history.bundles.roll(change.change_id, "awa", "sig", 1.0)
    deltas = history.bundles.deltas_after(1, router.chain)
    for delta in deltas:
        router.apply(delta.put, delta.remove)
        router.chain = delta.chain
    assert router.rows == history.bundles.view.rows
    assert router.content_digest == history.bundles.view.content_digest
    assert router.chain == history.bundles.state.chain
    assert rows_at(history.bundles.state.audit, history.version) == router.rows


def test_a_router_with_a_different_history_gets_a_snapshot():
    history = History()
    history.roll({"workspaces/a": workspace()})
    assert history.bundles.deltas_after(1, "another chain digest") is None


@given(st.integers(0, 100), st.sampled_from(["who", "version", "previous"]))
def test_an_altered_audit_record_is_detected(position, field):
    history = History()
    history.roll({"workspaces/a": workspace()})
    records = list(history.bundles.state.audit)
    assert verify_chain(records).is_ok()
    position %= len(records)
    altered = 99 if field == "version" else "x" * 64
    records[position] = msgspec.structs.replace(
        records[position], **{field: altered}
    )
    assert f"record {position + 1}" in verify_chain(records).err()
    assert verify_chain(records[:-1]).is_err() or position == len(records) - 1


def test_a_complete_bundle_file_is_validated():
    good = {
        "operators": {
            "awa": {"public_key": "0" * 64},
            "bento": {"public_key": "1" * 64},
        },
        "services": {"chat": {"kind": "engine"}},
        "workspaces": {"a": workspace()},
    }
    bundle = parse_bundle(good).ok()
    assert "workspaces/a" in to_rows(bundle)
    good["workspaces"]["a"]["share"] = -1
    assert "share" in parse_bundle(good).err()
