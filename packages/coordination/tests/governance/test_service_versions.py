"""The replicated record of the services' software versions."""

from marjoramyard.coordination.governance.commands import ChangeVersions
from marjoramyard.coordination.governance.service_versions import (
    ServiceVersion,
)
from marjoramyard.coordination.governance.state import ControlState

V1 = ServiceVersion("llm", "v1")
V2 = ServiceVersion("llm", "v2")


def test_the_record_outlives_a_snapshot():
    """Guards against versions that are forgotten with the log."""
    state = ControlState()
    state.apply(ChangeVersions([V1, V2]))
    state.apply(ChangeVersions(removed=[V1]))
    restored = ControlState.restore(state.snapshot())
    assert restored.versions.list_recorded() == [V2]
    assert restored.versions.revision == 2


def test_a_change_that_changes_nothing_has_no_revision():
    state = ControlState()
    state.apply(ChangeVersions([V1]))
    state.apply(ChangeVersions([V1], [V2]))
    assert state.versions.revision == 1
