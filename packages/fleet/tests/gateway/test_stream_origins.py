"""What a gateway finds out about a stream that a caller resumes."""

import sys
import time
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from marjoramyard.coordination.governance.service_versions import ServiceVersion
from marjoramyard.coordination.membership.registrations import Registration
from marjoramyard.coordination.routing.config import RequestKind, Workspace
from marjoramyard.coordination.serving.stream_versions import StreamOrigin
from marjoramyard.fleet.gateway import stream_origins
from marjoramyard.fleet.gateway.admission import CallerRequest
from marjoramyard.fleet.gateway.broker_protocol import PlaceGrant, StreamReply
from marjoramyard.fleet.gateway.request_trace import Unplaceable
from marjoramyard.fleet.gateway.stream_origins import StreamOrigins
from marjoramyard.fleet.sync_messages import ConfirmedVersions
from marjoramyard.kernel.errors import FailureKind, FleetError
from marjoramyard.kernel.metrics import Metrics
from marjoramyard.kernel.util.clocks import seconds_since_boot

sys.path.insert(0, str(Path(__file__).parent))
from request_runs import ROUTE, make_run, make_view  # noqa: E402

V1 = ServiceVersion("api", "v1")
V2 = ServiceVersion("api", "v2")
STREAM_ROUTE = msgspec.structs.replace(
    ROUTE, request_kind=RequestKind.STREAM, resumable=True
)


@pytest.fixture
def metrics():
    instance = Metrics("gateway", "g0")
    yield instance
    instance.close()


class BrokersStub:
    """Brokers with prepared replies.

    Attributes:
        replies: The next replies; the last one is repeated.
        told: The streams that were reported.
    """

    def __init__(self, *replies):
        self.replies = list(replies)
        self.told = []

    def report_stream(self, service, stream):
        self.told.append((service, stream.version))

    async def query_stream(self, _service, _key):
        if len(self.replies) > 1:
            return self.replies.pop(0)
        return self.replies[0]


class ConfirmationsStub:
    """Confirms the versions of an up-to-date record, or doesn't.

    Attributes:
        confirmed: What is confirmed; None if there is no leader.
        count: The confirmations so far.
    """

    def __init__(self):
        self.confirmed = ConfirmedVersions(0, 0)
        self.count = 0

    async def confirm(self, _service, _seconds):
        self.count += 1
        return self.confirmed


def resumed(attempt="a2", resumes="a1", workspace="shop"):
    now = time.monotonic()
    return CallerRequest(
        attempt=attempt,
        method="POST",
        target="/",
        headers=[],
        body=b"",
        route=STREAM_ROUTE,
        workspace=Workspace(workspace),
        arrived_at=now,
        deadline_at=now + 5.0,
        last_event="2",
        resumes=resumes,
    )


@pytest.fixture
def origins(metrics):
    return StreamOrigins(
        make_view(),
        BrokersStub(StreamReply(1, is_final=True)),
        ConfirmationsStub(),
        metrics,
    )


async def refusal(origins, caller, services=("api",)):
    with pytest.raises(FleetError) as caught:
        await origins.find(caller, services)
    return caught.value.failure


async def test_a_gateway_knows_the_streams_that_it_has_begun(origins):
    """Guards against asking for, or refusing, a stream of this gateway."""
    begun = msgspec.structs.replace(
        resumed(attempt="a1", resumes=""), last_event=""
    )
    origins.record(begun, "api", "v1")
    found = await origins.find(resumed(), ["api"])
    assert found == StreamOrigin("api", "v1")
    assert origins.brokers.told == [("api", "v1")]


async def test_a_stream_keeps_its_first_attempt_s_id_when_it_is_resumed(
    origins,
):
    """Guards against losing a stream that is resumed at another gateway, whose
    caller names the first attempt again.
    """
    origins.record(resumed(), "api", "v1")
    found = await origins.find(resumed(attempt="a3"), ["api"])
    assert found.version == "v1"


async def test_a_stream_of_another_workspace_is_unknown(origins):
    """Guards against resuming what another workspace has begun."""
    origins.record(resumed(), "api", "v1")
    failure = await refusal(origins, resumed(workspace="other"))
    assert failure.kind is FailureKind.STREAM_UNKNOWN


async def test_a_stream_of_a_service_that_the_route_has_left_is_refused(
    origins,
):
    """Guards against resuming a stream at another service."""
    origins.record(resumed(), "api", "v1")
    failure = await refusal(origins, resumed(), ["api-2"])
    assert failure.kind is FailureKind.STREAM_UNKNOWN


async def test_a_stream_that_the_broker_does_not_know_is_refused_at_once(
    origins, monkeypatch
):
    """Guards against holding a stream that can't be resumed."""

    async def fail(_):
        raise AssertionError("it was held")

    monkeypatch.setattr(stream_origins.asyncio, "sleep", fail)
    failure = await refusal(origins, resumed())
    assert "begin it again" in failure.message
    assert failure.outcome == "not-run"


async def test_an_ambiguous_stream_is_refused(origins):
    """Guards against resuming one of two streams with the same ID."""
    origins.brokers.replies = [StreamReply(1, "v1", is_ambiguous=True)]
    failure = await refusal(origins, resumed())
    assert failure.kind is FailureKind.STREAM_UNKNOWN


async def test_a_stream_waits_for_the_successor_of_a_lost_broker(origins):
    """Guards against refusing streams in the moment in which a broker that was
    lost is replaced and told of them.
    """
    origins.brokers.replies = [None, StreamReply(1), StreamReply(1, "v2")]
    found = await origins.find(resumed(), ["api"])
    assert found == StreamOrigin("api", "v2")


async def test_without_a_broker_a_stream_is_refused_for_now(
    origins, monkeypatch
):
    """Guards against streams that wait until their deadline."""
    monkeypatch.setattr(stream_origins, "MAX_WAIT_SECONDS", 0.1)
    origins.brokers.replies = [None]
    failure = await refusal(origins, resumed())
    assert failure.kind is FailureKind.STREAM_UNKNOWN
    assert "retry shortly" in failure.message
    assert failure.retry_after > 0


@pytest.mark.parametrize("resumes", ["a1", ""])
async def test_an_unknown_stream_goes_on_while_there_is_one_version(
    origins, resumes
):
    """Guards against refusing streams of a service that has one version."""
    origins.brokers.replies = [None]
    origins.view.sole_version = lambda *_: "v1"
    found = await origins.find(resumed(resumes=resumes), ["api"])
    assert found == StreamOrigin("api", "v1")
    assert origins.confirmations.count == 1


@pytest.mark.parametrize("resumes", ["a1", ""])
async def test_what_has_joined_unnoticed_is_asked_for(origins, resumes):
    """Guards against an unknown stream that goes on at the only version that
    this gateway has heard of, as another one joined while it was suspended.
    """
    origins.view.registrations.by_endpoint.clear()
    origins.view.versions.update(1, [V1])
    origins.view.lease.renew(seconds_since_boot(), 60.0)
    assert origins.view.sole_version("api") == "v1"
    origins.confirmations.confirmed = ConfirmedVersions(0, 1, None, [V1, V2])
    failure = await refusal(origins, resumed(resumes=resumes))
    assert failure.kind is FailureKind.STREAM_UNKNOWN
    assert "begin it again" in failure.message


@pytest.mark.parametrize("resumes", ["a1", ""])
async def test_without_a_leader_an_unknown_stream_is_refused_for_now(
    origins, monkeypatch, resumes
):
    """Guards against an unknown stream that goes on, or is told to begin again,
    while no control host can say which versions there are.
    """
    monkeypatch.setattr(stream_origins, "MAX_WAIT_SECONDS", 0.1)
    origins.view.sole_version = lambda *_: "v1"
    origins.confirmations.confirmed = None
    failure = await refusal(origins, resumed(resumes=resumes))
    assert failure.kind is FailureKind.STREAM_UNKNOWN
    assert "retry shortly" in failure.message
    assert failure.retry_after > 0


async def test_an_unknown_stream_waits_for_a_newer_configuration(origins):
    """Guards against a stream that goes on at the service that its route had
    when this gateway was suspended.
    """
    origins.view.sole_version = lambda *_: "v1"
    newer = ConfirmedVersions(origins.view.version + 1, 0)
    origins.confirmations.confirmed = newer
    failure = await refusal(origins, resumed(resumes=""))
    assert "retry shortly" in failure.message


def versioned_run(metrics, *versions):
    """A run of a stream of `v1`, and endpoints of these versions."""
    view = make_view()
    view.registrations.by_endpoint.clear()
    for number, version in enumerate(versions):
        registration = Registration(
            endpoint=f"e{number}",
            service="api",
            address=f"127.0.0.1:{number + 1}",
            software_version=version,
        )
        view.registrations.merge(registration, 0.0)
    run = make_run(view, metrics, False)
    run.progress.version = "v1"
    return run


async def test_a_stream_is_sent_to_endpoints_of_its_version_only(metrics):
    """Guards against choosing a less loaded endpoint of another version."""
    run = versioned_run(metrics, "v1", "v2", "v1", "v2")
    chosen = {(await run.planner.plan()).endpoint.endpoint for _ in range(20)}
    assert chosen == {"e0", "e2"}
    run.progress.tried.add("e0")
    assert (await run.planner.plan()).endpoint.endpoint == "e2"


async def test_a_stream_whose_version_is_gone_is_told_so(metrics):
    """Guards against holding a stream whose version is gone."""
    run = versioned_run(metrics, "v2", "v2")
    with pytest.raises(FleetError) as caught:
        await run.planner.plan()
    assert caught.value.failure.kind is FailureKind.STREAM_VERSION_GONE
    assert "begin it again" in caught.value.failure.message
    assert run.trace.unplaceable is Unplaceable.VERSION_GONE


def test_a_grant_for_an_endpoint_of_another_version_is_returned(metrics):
    """Guards against a broker that grants an endpoint which was registered
    after the request was queued.
    """
    run = versioned_run(metrics, "v1", "v2")
    returned = []
    run.context.brokers.client_for = lambda _: SimpleNamespace(
        return_grant=returned.append
    )
    run.planner._plan_locally = lambda found, _: found
    assert [
        registration.endpoint
        for registration in run.planner.plan_granted(
            PlaceGrant(1, "e1"), 7, 1.0
        )
    ] == ["e0"]
    assert returned == [7]
