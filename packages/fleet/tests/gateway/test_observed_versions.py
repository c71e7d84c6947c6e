"""When a gateway knows that a service has had one software version only."""

import pytest

from marjoramyard.coordination.membership.registrations import (
    DEPARTED_RETENTION_SECONDS,
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.coordination.serving.stream_versions import RETENTION_SECONDS
from marjoramyard.fleet.gateway.observed_versions import ObservedVersions

LIMIT_SECONDS = 10.0
"""The longest time limit of a stream."""
NEEDED = RETENTION_SECONDS + LIMIT_SECONDS
LONG = NEEDED + 1.0
NOW = 1000.0


def registration(name, version, **changes):
    fields = {"address": f"10.0.0.1:{len(name)}", "born": 1, "sequence": 1}
    return Registration(
        endpoint=name,
        service="llm",
        software_version=version,
        **(fields | changes),
    )


@pytest.fixture
def observed():
    observed = ObservedVersions(Registrations())
    observed.registrations.merge(registration("e", "v1"), NOW - 500.0)
    observed.record("control-0", LONG, NOW)
    return observed


def test_one_version_that_was_watched_for_long_is_the_only_one(observed):
    assert observed.sole("llm", NOW, LIMIT_SECONDS) == "v1"
    assert observed.sole("other", NOW, LIMIT_SECONDS) is None


@pytest.mark.parametrize(
    ("seconds", "age"), [(LONG, 10.0), (NEEDED - 1.0, 0.0)]
)
def test_what_was_not_watched_for_long_is_not_known(seconds, age):
    """Guards against gateways that conclude from their control hosts' first
    seconds, or from a host that is gone.
    """
    observed = ObservedVersions(Registrations())
    observed.registrations.merge(registration("e", "v1"), NOW - 500.0)
    observed.record("control-0", seconds, NOW - age)
    assert observed.sole("llm", NOW, LIMIT_SECONDS) is None


def test_a_version_that_is_gone_counts_as_long_as_its_streams(observed):
    """Guards against resuming streams of a version that has just been
    replaced.
    """
    table = observed.registrations
    table.merge(registration("e2", "v2"), NOW)
    table.merge(
        registration("e", "v1", sequence=2, state=EndpointState.DEPARTED), NOW
    )
    assert observed.sole("llm", NOW, LIMIT_SECONDS) is None
    later = NOW + LONG
    observed.record("control-0", 2 * LONG, later)
    assert observed.sole("llm", later, LIMIT_SECONDS) == "v2"


@pytest.mark.parametrize("name", ["e", "e-2"])
def test_a_restart_at_another_version_counts_as_two(observed, name):
    """Guards against forgetting the version of an endpoint that starts again
    under its name, or of one that crashed and whose address is used again.
    """
    restarted = registration(name, "v2", born=2, address="10.0.0.1:1")
    observed.registrations.merge(restarted, NOW)
    assert observed.sole("llm", NOW, LIMIT_SECONDS) is None


def test_streams_that_outlast_the_memory_of_departed_endpoints(observed):
    """Guards against a conclusion on streams that may be older than what is
    known of former endpoints.
    """
    assert observed.sole("llm", NOW, DEPARTED_RETENTION_SECONDS) is None
