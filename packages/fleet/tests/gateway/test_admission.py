"""Which requests a gateway takes, by its configuration and its lease."""

from types import SimpleNamespace

import msgspec
import pytest

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.coordination.routing.config import (
    FleetConfig,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from marjoramyard.fleet.gateway.admission import admit
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.view import FleetView
from marjoramyard.fleet.sync_messages import SyncReply
from marjoramyard.kernel.errors import FleetError
from marjoramyard.kernel.util.clocks import seconds_since_boot

LEASE_SECONDS = 4.5


def route(name, **changes):
    return Route(
        name=name,
        hostname="shop.example",
        path_prefix=f"/{name}/",
        request_kind=RequestKind.IDEMPOTENT,
        timeout_ms=1000.0,
        service="api",
        **changes,
    )


CONFIG = FleetConfig(
    7,
    (route("keyed"), route("open", open_access=True)),
    (Service("api"),),
    workspaces=(Workspace("shop", ("key-1",)),),
)


@pytest.fixture
def view():
    dialect = GATEWAY_DIALECTS.get("native")
    found = FleetView(dialect, LEASE_SECONDS)
    found.install(ConfigDocument(7, msgspec.json.encode(CONFIG)))
    return found


def confirm(view, version, seconds_ago=0.0):
    """Applies the reply of a leader to a poll that was sent some time ago."""
    reply = SyncReply("epoch", 1, True, version)
    view.apply("leader", reply, seconds_since_boot() - seconds_ago)


def code_of(view, name, key="key-1"):
    """Returns the failure code of a request; "" if it is admitted."""
    names = view.dialect.headers
    request = SimpleNamespace(
        host="shop.example", path=f"/{name}/x", headers={names.api_key: key}
    )
    try:
        admit(request, view, names, 0.0)
    except FleetError as error:
        return error.failure.code
    return ""


@pytest.mark.parametrize("name", ["open", "keyed", "unknown"])
def test_nothing_is_decided_by_an_unconfirmed_version(view, name):
    """Guards against a gateway that obeys the version of a stale snapshot."""
    assert code_of(view, name) == "no_bundle_lease"


@pytest.mark.parametrize("name", ["open", "keyed", "unknown"])
def test_nothing_is_decided_before_the_confirmed_version_is_in_force(
    view, name
):
    """Guards against an older version beside the lease for a newer one."""
    confirm(view, 8)
    assert code_of(view, name) == "no_bundle_lease"


def test_a_confirmed_version_is_in_force(view):
    confirm(view, 7)
    assert code_of(view, "open") == code_of(view, "keyed") == ""
    assert code_of(view, "unknown") == "unknown_route"
    assert code_of(view, "keyed", key="key-2") == "unknown_api_key"


def test_a_gateway_without_a_lease_does_not_say_what_is_unknown(view):
    """Guards against 404 and 401 for what a newer version has added."""
    confirm(view, 7, seconds_ago=2 * LEASE_SECONDS)
    assert code_of(view, "open") == ""
    assert code_of(view, "unknown") == "no_bundle_lease"
    assert code_of(view, "keyed", key="key-2") == "no_bundle_lease"
