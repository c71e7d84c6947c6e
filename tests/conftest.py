"""Fixtures for tests that run a fleet of separate processes."""

from pathlib import Path

import pytest
import yaml

from marjoramyard.standin.local_fleet import local_fleet

ROOT = Path(__file__).parents[1]


def read_small_bundle() -> dict:
    text = (ROOT / "tests/roots/small/bundle.yaml").read_text()
    return yaml.safe_load(text)


@pytest.fixture
def bundle() -> dict:
    return read_small_bundle()


@pytest.fixture(scope="module")
def small_bundle() -> dict:
    """For fleets that several tests share."""
    return read_small_bundle()


@pytest.fixture
async def fleet(tmp_path):
    async with local_fleet(tmp_path / "fleet") as running:
        yield running
