"""What callers send is checked before anything is queued or kept."""

import hashlib
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from marjoramyard.coordination.governance.bundle import BundleView
from marjoramyard.fleet.entry.admission import Admission
from marjoramyard.kernel.errors import FleetError, Kind, failure

KEY_HASH = hashlib.sha256(b"secret-key").hexdigest()
ROWS = {
    "services/chat": {
        "kind": "engine",
        "models": ["chat"],
        "max_body_bytes": 100,
    },
    "services/shop": {"kind": "plain", "max_body_bytes": 200},
    "rules/chat": {"service": "chat", "path": "/v1/", "repeatable": True},
    "workspaces/counter": {
        "share": 1.0,
        "services": ["chat", "shop"],
        "key_hashes": [KEY_HASH],
    },
}


class Body:
    """A body in pieces; what comes with each may change the world."""

    def __init__(self, pieces, on_read=None):
        self.pieces = pieces
        self.on_read = on_read
        self.given = 0

    async def iter_any(self):
        for piece in self.pieces:
            if self.on_read:
                self.on_read()
            self.given += 1
            yield piece


def request(body, path="/v1/chat/completions", method="POST", **headers):
    named = CIMultiDict({"Authorization": "Bearer secret-key"})
    for name, value in headers.items():
        named.add(name.replace("_", "-"), value)
    return SimpleNamespace(
        headers=named,
        path=path,
        query_string="",
        method=method,
        content=body,
        content_length=None,
    )


def make():
    bundle = BundleView(keeps_rows=False)
    bundle.install(1, "c", ROWS)
    membership = SimpleNamespace(bundle=bundle, refusal=lambda: None)
    return Admission(membership, 500), bundle


async def refused(admission, asked):
    with pytest.raises(FleetError) as error:
        await admission.admit(asked)
    return error.value.failure.kind


CHAT = b'{"model":"chat"}'


async def test_a_good_request_is_admitted_with_its_rule():
    admission, _ = make()
    admitted = await admission.admit(request(Body([CHAT])))
    assert admitted.workspace_id == "counter"
    assert admitted.repeatable and admitted.call is None


async def test_what_no_rule_names_must_not_repeat():
    admission, _ = make()
    path = "/services/shop/anything"
    assert await refused(admission, request(Body([]), path)) is (
        Kind.IDEMPOTENCY_KEY_REQUIRED
    )
    asked = request(Body([b"{}"]), path, Idempotency_Key="k")
    admitted = await admission.admit(asked)
    assert admitted.call is not None and not admitted.repeatable


async def test_an_endless_body_is_not_kept():
    """A caller sends on and on, without saying how much."""
    admission, _ = make()
    body = Body([b"x" * 60] * 1000)
    assert await refused(admission, request(body)) is Kind.TOO_LARGE
    assert body.given <= 5


async def test_a_body_over_its_own_services_limit_is_refused():
    admission, _ = make()
    large = CHAT + b" " * 120
    assert await refused(admission, request(Body([large]))) is Kind.TOO_LARGE


async def test_a_workspace_that_is_removed_meanwhile_is_refused():
    """A bundle without the workspace comes into force as it sends."""
    admission, bundle = make()

    def remove():
        bundle.apply({}, ["workspaces/counter"])

    asked = request(Body([CHAT], remove))
    assert await refused(admission, asked) is Kind.UNKNOWN_KEY


async def test_headers_that_two_parties_could_read_two_ways_are_refused():
    admission, _ = make()
    asked = request(Body([CHAT]))
    asked.headers.add("Idempotency-Key", "a")
    asked.headers.add("idempotency-key", "b")
    assert await refused(admission, asked) is Kind.BAD_REQUEST


async def test_a_huge_header_is_refused():
    admission, _ = make()
    asked = request(Body([CHAT]), X_Long="x" * 600)
    assert await refused(admission, asked) is Kind.TOO_LARGE


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [({}, "not-run"), ({"Idempotency_Key": "hold-1"}, "unknown")],
)
async def test_an_entry_without_a_lease_says_what_it_knows(headers, outcome):
    """A booking is placed anew though it was booked.

    Its first try ran through another entry. The resend meets an entry that
    has lost its lease and can't ask the ledger; told "not run", the caller
    would take a new key, and the hold would be there twice.
    """
    admission, _ = make()
    admission.membership.refusal = lambda: failure(Kind.NO_LEASE, "no lease")
    with pytest.raises(FleetError) as error:
        await admission.admit(request(Body([CHAT]), **headers))
    assert error.value.failure.outcome == outcome
