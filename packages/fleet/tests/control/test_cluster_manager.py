"""What a control host knows of the others."""

import time
from types import SimpleNamespace

import pytest

from marjoramyard.fleet.control.cluster_manager import (
    MAX_ANNOUNCEMENT_AGE_SECONDS,
    ClusterManager,
)


@pytest.mark.parametrize(
    ("recent", "lost", "is_isolated"),
    [(5, 0, False), (3, 2, False), (2, 3, True), (0, 5, True), (0, 0, False)],
)
def test_a_host_without_most_others_is_isolated(recent, lost, is_isolated):
    seeds = [f"host-{number}" for number in range(recent + lost)]
    settings = SimpleNamespace(
        seed_addresses=lambda: seeds, advertised_address="self"
    )
    role = SimpleNamespace(
        settings=settings, app=SimpleNamespace(client=None), running_node=None
    )
    manager = ClusterManager(role)
    now = time.monotonic()
    for number, seed in enumerate(seeds):
        age = 0.0 if number < recent else 2 * MAX_ANNOUNCEMENT_AGE_SECONDS
        manager.last_received_at[seed] = now - age
    assert manager.is_isolated() is is_isolated
    manager.last_received_at = {seed: now for seed in seeds[:recent]}
    assert manager.is_isolated() is is_isolated
