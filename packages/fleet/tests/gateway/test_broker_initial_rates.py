"""The prefill rates with which a broker begins."""

from types import SimpleNamespace

import pytest

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
)
from marjoramyard.coordination.routing.config import (
    CallerLimits,
    EngineProfile,
    FleetConfig,
    Service,
)
from marjoramyard.coordination.routing.table import RouteTable
from marjoramyard.fleet.gateway.broker_server import BrokerServer
from marjoramyard.fleet.gateway.cold_starts import ColdStarts
from marjoramyard.fleet.gateway.dialect import GATEWAY_DIALECTS
from marjoramyard.fleet.gateway.engine_load import PREFILL_RATE_FACTOR
from marjoramyard.fleet.gateway.view import FleetView

TOKENS_PER_SECOND = 650_000


def register(view, numbers, state=EndpointState.READY, sequence=0):
    for number in numbers:
        view.registrations.merge(
            Registration(
                endpoint=f"e{number}",
                service="llm",
                address=f"127.0.0.1:{number + 1}",
                state=state,
                sequence=sequence,
            ),
            0.0,
        )


@pytest.fixture
def view():
    view = FleetView(GATEWAY_DIALECTS.get("native"), 5.0)
    view.table = RouteTable(
        FleetConfig(
            1,
            services=(Service("llm", engine=EngineProfile(slots=64)),),
            limits=CallerLimits(tokens_per_s=TOKENS_PER_SECOND),
        )
    )
    return view


@pytest.fixture
def server(view):
    cache_lists = SimpleNamespace(request=lambda *_: None)
    return BrokerServer(view, ColdStarts(view, 1.5, 5.0), cache_lists)


@pytest.mark.parametrize("known_count", [0, 10])
def test_a_broker_that_began_before_most_engines_knows_their_rate(
    view, server, known_count
):
    """Guards against a successor that was once asked while the fleet started,
    and later accepts prompts at a multiple of the engines' rate.
    """
    register(view, range(known_count))
    server._refresh_broker("llm")
    register(view, range(known_count, 26))
    broker = server._refresh_broker("llm")
    assert len(broker.engines) == 26
    assert broker.total_prefill_rate == pytest.approx(
        PREFILL_RATE_FACTOR * TOKENS_PER_SECOND / 1000
    )


def test_engines_that_fail_do_not_change_the_rate_of_the_others(view, server):
    """Guards against a rate that rises while engines are down."""
    register(view, range(26))
    rate = server._refresh_broker("llm").rate
    register(view, range(7), EndpointState.DRAINING, sequence=1)
    broker = server._refresh_broker("llm")
    assert broker.total_prefill_rate == pytest.approx(19 * rate)
