"""Tests of the checks of callers' requests."""

import asyncio
import hashlib
from types import SimpleNamespace

import msgspec
import pytest
from held import new_holding
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict

from marjoramyard.coordination.governance.bundle import BundleView
from marjoramyard.fleet.entry.admission import Admission
from marjoramyard.fleet.util.held_bytes import HeldKind, Holding
from marjoramyard.kernel.errors import FailureKind, FleetError, failure

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
    """A body in chunks; `on_read` is called before each."""

    def __init__(self, chunks, on_read=None):
        self.chunks = chunks
        self.on_read = on_read
        self.chunks_read = 0

    async def readany(self):
        if self.chunks_read == len(self.chunks):
            return b""
        if self.on_read:
            self.on_read()
        self.chunks_read += 1
        return self.chunks[self.chunks_read - 1]


class Request(SimpleNamespace):
    """A request with the holding that its listener sets."""

    def __getitem__(self, _):
        return self.holding

    def get(self, _):
        return self.holding


def request(body, path="/v1/chat/completions", method="POST", **headers):
    named = CIMultiDict({"Authorization": "Bearer secret-key"})
    for name, value in headers.items():
        named.add(name.replace("_", "-"), value)
    return Request(
        holding=new_holding(),
        protocol=None,
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


async def refused(admission, incoming):
    with pytest.raises(FleetError) as error:
        await admission.admit(incoming)
    return error.value.failure.kind


CHAT = b'{"model":"chat"}'


async def test_a_valid_request_is_admitted_with_its_rule():
    admission, _ = make()
    admitted = await admission.admit(request(Body([CHAT])))
    assert admitted.workspace_id == "counter"
    assert admitted.repeatable and admitted.call is None


async def test_a_request_without_a_rule_must_not_repeat():
    admission, _ = make()
    path = "/services/shop/anything"
    assert await refused(admission, request(Body([]), path)) is (
        FailureKind.IDEMPOTENCY_KEY_REQUIRED
    )
    incoming = request(Body([b"{}"]), path, Idempotency_Key="k")
    admitted = await admission.admit(incoming)
    assert admitted.call is not None and not admitted.repeatable


async def test_an_endless_body_is_not_read_to_its_end():
    """A body without a declared length must not fill the memory."""
    admission, _ = make()
    body = Body([b"x" * 60] * 1000)
    assert await refused(admission, request(body)) is FailureKind.TOO_LARGE
    assert body.chunks_read <= 5


async def test_a_body_over_its_own_services_limit_is_refused():
    admission, _ = make()
    large = CHAT + b" " * 120
    assert (
        await refused(admission, request(Body([large])))
        is FailureKind.TOO_LARGE
    )


async def test_a_workspace_that_is_removed_meanwhile_is_refused():
    """A bundle without the workspace is installed while the body is read."""
    admission, bundle = make()

    def remove():
        bundle.apply({}, ["workspaces/counter"])

    incoming = request(Body([CHAT], remove))
    assert await refused(admission, incoming) is FailureKind.UNKNOWN_KEY


async def test_a_repeated_header_is_refused():
    admission, _ = make()
    incoming = request(Body([CHAT]))
    incoming.headers.add("Idempotency-Key", "a")
    incoming.headers.add("idempotency-key", "b")
    assert await refused(admission, incoming) is FailureKind.BAD_REQUEST


async def test_a_huge_header_is_refused():
    admission, _ = make()
    incoming = request(Body([CHAT]), X_Long="x" * 600)
    assert await refused(admission, incoming) is FailureKind.TOO_LARGE


@pytest.mark.parametrize(
    ("headers", "outcome"),
    [({}, "not-run"), ({"Idempotency_Key": "hold-1"}, "unknown")],
)
async def test_an_entry_without_a_lease_does_not_deny_an_earlier_call(
    headers, outcome
):
    """An earlier request with the key may have run through another entry.

    With the outcome "not run" the caller would place the call with a new
    key, and it would run twice.
    """
    admission, _ = make()
    admission.membership.refusal = lambda: failure(
        FailureKind.NO_LEASE, "no lease"
    )
    with pytest.raises(FleetError) as error:
        await admission.admit(request(Body([CHAT]), **headers))
    assert error.value.failure.outcome == outcome


@given(value=st.binary(max_size=40))
@example(value=b"\xb2")
def test_any_headers_can_be_passed_on(value):
    """Guards against 500 for callers whose headers are not UTF-8."""
    text = value.decode("utf-8", "surrogateescape")
    admission, _ = make()
    incoming = request(
        Body([]), "/services/shop/x", Idempotency_Key=f"k{text}", Cookie=text
    )
    admitted = asyncio.run(admission.admit(incoming))
    headers = admitted.forwarded_headers()
    dict(headers)["Cookie"].encode()
    assert msgspec.json.encode([headers, admitted.call])


async def test_a_body_that_does_not_arrive_in_time_is_refused():
    """Guards against callers that keep room for bodies they never send."""
    admission, _ = make()

    class LateBody:
        async def readany(self):
            await asyncio.sleep(60.0)

    incoming = request(LateBody(), X_Request_Deadline_Seconds="0.05")
    incoming.content_length = 90
    assert await refused(admission, incoming) is FailureKind.REQUEST_TIMEOUT


async def test_a_body_without_room_is_refused_and_can_be_sent_again():
    """Guards against entries that callers' bodies fill."""
    admission, _ = make()
    incoming = request(Body([CHAT]))
    account = incoming.holding.account
    Holding(account, "counter").force(HeldKind.REQUEST, account.limit)
    assert await refused(admission, incoming) is FailureKind.BUSY
