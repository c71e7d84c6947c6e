"""Operators' calls at a host that doesn't lead."""

from types import SimpleNamespace

import pytest
from result import Err

from marjoramyard.coordination.governance.commands import ConfigDocument
from marjoramyard.fleet.control import leader_calls
from marjoramyard.fleet.control.role import ControlRole
from marjoramyard.fleet.settings import ControlSettings
from marjoramyard.kernel.errors import FailureKind
from marjoramyard.kernel.metrics import Metrics

ADDRESS = "127.0.0.1:9"


@pytest.fixture
def empty_host(monkeypatch):
    monkeypatch.setattr(leader_calls, "LEADER_WAIT_SECONDS", 0.1)
    settings = ControlSettings(
        role="control",
        name="c",
        zone="z",
        internal=ADDRESS,
        operator_listen="127.0.0.1:10",
        self_forming=True,
        losses=0,
    )
    metrics = Metrics("control", "c")
    app = SimpleNamespace(settings=settings, metrics=metrics, client=None)
    yield ControlRole(app, None)
    metrics.close()


async def test_a_leader_that_lost_its_disk_does_not_call_itself(empty_host):
    """Guards against status 500 while the others still name this host."""
    empty_host.cluster_manager.leader_address = ADDRESS
    for call in (
        empty_host.service.read_config(),
        empty_host.service.put_config(ConfigDocument(1, b"one")),
    ):
        result = await call
        assert isinstance(result, Err)
        assert result.err_value.kind is FailureKind.NO_QUORUM
    assert not empty_host.is_ready()
