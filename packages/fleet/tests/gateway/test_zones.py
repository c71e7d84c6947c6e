"""The evacuated zones that a gateway knows of."""

from marjoramyard.fleet.gateway.zones import EvacuatedZones


def test_an_outdated_report_does_not_revert_a_newer_one():
    """Guards against control hosts that lag behind."""
    zones = EvacuatedZones()
    zones.update(2, ["a"], 0.0)
    zones.update(1, [], 1.0)
    zones.update(0, [], 2.0)
    assert zones.evacuated == {"a"}


def test_a_restored_zone_is_remembered():
    zones = EvacuatedZones()
    zones.update(1, ["a", "b"], 0.0)
    zones.update(2, ["b"], 5.0)
    assert zones.restored_at == {"a": 5.0}
    zones.update(3, ["a", "b"], 6.0)
    assert zones.restored_at == {}
