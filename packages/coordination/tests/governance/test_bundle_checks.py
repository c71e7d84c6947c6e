"""Which bundles are valid, field by field."""

import copy

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from odd_json import ODD_TOKENS, paths_of, with_token

from marjoramyard.coordination.governance.bundle import (
    parse_bundle,
    to_rows,
    value_problems,
)
from marjoramyard.coordination.governance.lifecycle import (
    BundleLifecycle,
    Change,
    LifecycleState,
)
from marjoramyard.kernel.util.decoding import decode_json
from marjoramyard.kernel.util.field_checks import MAX_NAME_CHARS

BUNDLE = {
    "operators": {
        "awa": {"public_key": "0" * 64, "roles": ["author", "approver"]},
        "bento": {"public_key": "1" * 64},
    },
    "services": {
        "chat": {
            "kind": "engine",
            "models": ["m"],
            "stall_seconds": 20.0,
            "deadline_seconds": 60,
            "max_deadline_seconds": 900,
            "max_body_bytes": 4194304,
        }
    },
    "workspaces": {
        "shop": {
            "share": 1.5,
            "services": ["chat"],
            "key_hashes": ["a" * 64],
            "max_waiting": 100,
            "max_waiting_bytes": 65536,
        }
    },
    "rules": {"r-1": {"service": "chat", "path": "/v1/", "methods": ["POST"]}},
    "policy": {
        "prefix_slack": 0.0,
        "zone_slack": 0.0,
        "reserve": 0.5,
        "totals_step": 0.0,
        "credit_limit": 1e6,
        "retry_ratio": 0.1,
        "retry_burst": 10.0,
        "quarantine_seconds": 600.0,
        "ledger_capacity": 100000,
    },
}
LIMIT = 2**53 - 1
POSITIVE = (
    "services/chat/stall_seconds",
    "services/chat/deadline_seconds",
    "services/chat/max_deadline_seconds",
    "workspaces/shop/share",
    "workspaces/shop/max_waiting",
    "workspaces/shop/max_waiting_bytes",
    "policy/ledger_capacity",
)
ZERO_HAS_A_MEANING = (
    "services/chat/max_body_bytes",
    "policy/prefix_slack",
    "policy/zone_slack",
    "policy/reserve",
    "policy/totals_step",
    "policy/credit_limit",
    "policy/retry_ratio",
    "policy/retry_burst",
    "policy/quarantine_seconds",
)
NUMBERS = POSITIVE + ZERO_HAS_A_MEANING


def changed(path, value):
    bundle = copy.deepcopy(BUNDLE)
    *parents, name = path.split("/")
    parent = bundle
    for step in parents:
        parent = parent[step]
    parent[name] = value
    return bundle


def renamed(section, name):
    """Returns a bundle whose only or first row of a section has a name."""
    bundle = copy.deepcopy(BUNDLE)
    rows = bundle[section]
    rows[name] = rows.pop(next(iter(rows)))
    return bundle


def refusal(bundle):
    return parse_bundle(bundle).err() or ""


def rows_of(bundle):
    """Returns a bundle's rows as an operator's tool would send them."""
    return {
        "policy": bundle["policy"],
        **{
            f"{section}/{name}": row
            for section in ("operators", "services", "workspaces", "rules")
            for name, row in bundle[section].items()
        },
    }


def propose(rows):
    """Proposes rows to a control host that has no bundle."""
    lifecycle = BundleLifecycle(LifecycleState())
    change = Change("change-1", 0, "awa", rows)
    return lifecycle, lifecycle.propose(change, "sig", 1.0)


def test_the_example_is_valid():
    assert refusal(BUNDLE) == ""
    assert propose(rows_of(BUNDLE))[1].is_ok()
    assert propose(to_rows(parse_bundle(BUNDLE).ok_value))[1].is_ok()


@pytest.mark.parametrize("path", NUMBERS)
@pytest.mark.parametrize(
    "value",
    [-1, LIMIT + 1, 10**400, float("nan"), float("inf"), "7", True, None],
    ids=lambda value: str(value)[:20],
)
def test_a_number_out_of_range_is_refused_by_name(path, value):
    """Guards against a bundle in force that means nothing."""
    name = path.rpartition("/")[2]
    bundle = changed(path, value)
    assert name in refusal(bundle)
    assert any(name in problem for problem in value_problems(rows_of(bundle)))


@pytest.mark.parametrize("path", POSITIVE)
def test_a_zero_under_which_nothing_is_served_is_refused_by_name(path):
    """Guards against a bundle that serves nobody."""
    assert path.rpartition("/")[2] in refusal(changed(path, 0))


@pytest.mark.parametrize("path", ZERO_HAS_A_MEANING)
def test_a_zero_that_has_a_meaning_is_valid(path):
    """Guards against refusing a valid bundle."""
    assert refusal(changed(path, 0)) == ""


@pytest.mark.parametrize("path", NUMBERS)
@pytest.mark.parametrize("value", [1, LIMIT])
def test_the_ends_of_the_range_are_valid(path, value):
    """Guards against refusing a valid bundle."""
    assert refusal(changed(path, value)) == ""


@pytest.mark.parametrize("section", ["workspaces", "rules"])
@pytest.mark.parametrize(
    "name", ["a\r\nX: 1", "\x00", "n" * (MAX_NAME_CHARS + 1)], ids=ascii
)
def test_a_row_with_an_odd_name_is_refused(section, name):
    """Guards against names that break the headers that they are sent in."""
    assert section in refusal(renamed(section, name))
    assert refusal(renamed(section, "n" * MAX_NAME_CHARS)) == ""


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("workspaces/shop/key_hashes", ["g" * 64]),
        ("workspaces/shop/key_hashes", [" " + "a" * 63]),
        ("workspaces/shop/key_hashes", ["a" * 63]),
        ("services/chat/models", ["m\x00"]),
        ("services/chat/models", ["m" * 60_000]),
        ("rules/r-1/path", "v1/"),
        ("rules/r-1/path", "/v1\n"),
        ("rules/r-1/path", "/" + "p" * 60_000),
        ("rules/r-1/methods", ["PO\nST"]),
    ],
    ids=lambda each: str(each)[:30],
)
def test_an_odd_text_is_refused_by_name(path, value):
    """Guards against rows that no request can match."""
    problem = refusal(changed(path, value))
    assert path.rpartition("/")[2] in problem
    assert len(problem) < 1000


@pytest.mark.parametrize("raw", [None, [], "x", 7, {"workspaces": None}])
def test_a_file_without_a_bundle_is_refused(raw):
    """Guards against a tool that fails at an empty file."""
    assert parse_bundle(raw).is_err()


ROWS = rows_of(BUNDLE)


@given(
    path=st.sampled_from([path for path in paths_of(ROWS) if path]),
    token=st.sampled_from(ODD_TOKENS),
)
def test_an_odd_change_is_refused_or_can_be_rolled(path, token):
    """Guards against a change that fails the hosts that apply it."""
    try:
        rows = decode_json(with_token(ROWS, path, token), dict)
    except msgspec.DecodeError:
        return
    lifecycle, proposed = propose(rows)
    if proposed.is_err():
        assert lifecycle.state.changes == {}
        assert lifecycle.view.rows == {}
        return
    assert all(map(str, value_problems(rows)))
    lifecycle.approve("change-1", "bento", "sig", 2.0)
    assert lifecycle.roll("change-1", "awa", "sig", 3.0).is_ok()
    assert lifecycle.state.version == 1


def test_a_logged_change_is_not_validated_again():
    """Guards against an upgrade that loses what is in force."""
    rows = rows_of(changed("services/chat/max_body_bytes", -1))
    rows["services/chat"]["max_deadline_seconds"] = 0
    rows["policy"]["credit_limit"] = 1e300
    rows["rules/r-\n"] = {"service": "chat", "path": "/\n"}
    assert list(value_problems(rows))
    lifecycle, proposed = propose(rows)
    assert proposed.is_ok()
    lifecycle.approve("change-1", "bento", "sig", 2.0)
    assert lifecycle.roll("change-1", "awa", "sig", 3.0).is_ok()
    restored = BundleLifecycle(lifecycle.state)
    assert restored.view.version == 1
    assert restored.view.services["chat"].max_body_bytes == -1
