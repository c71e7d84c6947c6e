"""When a gateway knows that a service has had one software version only."""

import pytest

from marjoramyard.coordination.governance.service_versions import (
    VERSION_RETENTION_SECONDS,
    ServiceVersion,
)
from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.fleet.gateway.recorded_versions import (
    RECORD_WAIT_SECONDS,
    RecordedVersions,
)

LIMIT_SECONDS = 10.0
"""The longest time limit of a stream."""
NOW = 1000.0
V1 = ServiceVersion("llm", "v1")
V2 = ServiceVersion("llm", "v2")


def registration(name, version, **changes):
    fields = {"address": f"10.0.0.1:{len(name)}", "born": 1, "sequence": 1}
    return Registration(
        endpoint=name,
        service="llm",
        software_version=version,
        **(fields | changes),
    )


@pytest.fixture
def versions():
    versions = RecordedVersions(Registrations())
    versions.registrations.merge(registration("e", "v1"), NOW - 500.0)
    versions.update(1, [V1])
    return versions


def test_one_recorded_version_is_the_only_one(versions):
    assert versions.sole("llm", NOW, LIMIT_SECONDS) == "v1"
    assert versions.sole("other", NOW, LIMIT_SECONDS) is None


def test_without_a_record_nothing_is_known():
    """Guards against gateways that conclude from what is registered now."""
    versions = RecordedVersions(Registrations())
    versions.registrations.merge(registration("e", "v1"), NOW - 500.0)
    assert versions.sole("llm", NOW, LIMIT_SECONDS) is None


def test_a_version_that_is_gone_counts_as_long_as_it_is_recorded(versions):
    """Guards against resuming streams of a version that has been replaced, by
    a gateway that has not seen any of its endpoints.
    """
    versions.update(2, [V1, V2])
    versions.registrations.merge(
        registration("e", "v2", sequence=2, born=2), NOW
    )
    assert versions.sole("llm", NOW + 500.0, LIMIT_SECONDS) is None
    versions.update(3, [V2])
    assert versions.sole("llm", NOW + 500.0, LIMIT_SECONDS) == "v2"


def test_an_outdated_record_is_ignored(versions):
    """Guards against a control host that lags behind."""
    versions.update(3, [V1, V2])
    versions.update(2, [V1])
    assert versions.sole("llm", NOW, LIMIT_SECONDS) is None


@pytest.mark.parametrize("name", ["e", "e-2"])
def test_a_version_that_is_registered_and_not_recorded_counts(versions, name):
    """Guards against forgetting the version of an endpoint that starts again
    under its name, or of one that crashed and whose address is used again,
    while versions can't be recorded.
    """
    restarted = registration(name, "v2", born=2, address="10.0.0.1:1")
    versions.registrations.merge(restarted, NOW)
    assert versions.sole("llm", NOW, LIMIT_SECONDS) is None


def test_a_former_version_that_was_not_recorded_counts(versions):
    """Guards against forgetting what an endpoint was before it started again
    under its name, while versions could not be recorded.
    """
    versions.registrations.merge(
        registration("e", "v2", sequence=2, born=2), NOW
    )
    versions.update(2, [V2])
    assert versions.sole("llm", NOW + 1.0, LIMIT_SECONDS) is None


def test_a_version_that_departed_unrecorded_counts(versions):
    versions.registrations.merge(registration("e2", "v2"), NOW)
    versions.registrations.merge(
        registration("e2", "v2", sequence=2, state=EndpointState.DEPARTED),
        NOW,
    )
    assert versions.sole("llm", NOW + 1.0, LIMIT_SECONDS) is None


def test_streams_that_outlast_the_record(versions):
    """Guards against a conclusion on streams that may be older than what is
    recorded of former versions.
    """
    assert versions.sole("llm", NOW, VERSION_RETENTION_SECONDS) is None


def test_an_endpoint_is_used_when_its_version_is_recorded(versions):
    """Guards against streams of a version that nobody knows of once all
    processes were lost, and against a service that stops since no disk has
    room for its new version.
    """
    endpoint = registration("e2", "v2")
    assert versions.may_begin_streams(registration("e", "v1"), NOW)
    assert not versions.may_begin_streams(endpoint, NOW)
    assert not versions.may_begin_streams(endpoint, NOW + RECORD_WAIT_SECONDS)
    assert versions.may_begin_streams(endpoint, NOW + RECORD_WAIT_SECONDS + 0.1)
    versions.update(2, [V1, V2])
    assert versions.may_begin_streams(endpoint, NOW)


def test_a_version_is_awaited_while_it_has_an_endpoint(versions):
    """Guards against a leader that is told for ever of a version that left."""
    endpoint = registration("e2", "v2")
    versions.registrations.merge(endpoint, NOW)
    assert not versions.may_begin_streams(endpoint, NOW)
    assert versions.list_awaited() == [V2]
    versions.registrations.mark_departed("e2", NOW)
    assert versions.list_awaited() == []
