"""The limits of the log that follow from the settings."""

import pytest

from marjoramyard.fleet.control.log_limits import MAX_LOG_BYTES, LogLimits
from marjoramyard.fleet.settings import ControlSettings


def settings(**changed):
    return ControlSettings(
        role="control", name="c", zone="z", internal="127.0.0.1:9", **changed
    )


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"disk_mb": 64, "memory_mb": 300}, 64e6 / 24),
        ({"disk_mb": 64, "memory_mb": 96}, 96e6 / 48),
        ({"disk_mb": 0, "memory_mb": 96}, 96e6 / 48),
        ({}, MAX_LOG_BYTES),
    ],
)
def test_the_smaller_share_counts(changed, expected):
    limits = LogLimits.from_settings(settings(**changed))
    assert limits.log_bytes == int(expected)


def test_a_host_without_a_disk_is_accepted():
    """Guards against hosts that end at once, as they have no disk."""
    found = {value: settings(disk_mb=value).problems() for value in (0, -1)}
    assert [p for p in found[-1] if p not in found[0]] == [
        "disk_mb: must not be negative"
    ]
