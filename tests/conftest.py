"""Fixtures for tests that run a fleet of separate processes."""

from pathlib import Path

import pytest
import yaml

from marjoramyard.standin.local_fleet import local_fleet

ROOT = Path(__file__).parents[1]


@pytest.fixture
def bundle() -> dict:
    text = (ROOT / "tests/roots/small/bundle.yaml").read_text()
    return yaml.safe_load(text)


@pytest.fixture
async def fleet(tmp_path):
    async with local_fleet(tmp_path / "fleet") as running:
        yield running
