"""The real programs under random faults, from fixed seeds."""

import pytest

from soak.checks import violations
from soak.run import soak

SHORT_SECONDS = 8.0
SECONDS = 20.0

FAILED_ONCE = {
    # Callers' own connections to a gateway fell silent, and the check took
    # that for the gateway's delay; it never got the requests.
    100: SECONDS,
    105: SECONDS,
}


async def test_promises_hold_under_faults(tmp_path):
    """Callers would see another's answer, a booking twice, a lost change.

    Processes are killed, paused and stopped, links are cut and fall silent,
    disks and clocks go wrong, in series that overlap. All the while callers
    send requests on open connections, and an operator changes the
    configuration.
    """
    record = await soak(7, SHORT_SECONDS, tmp_path)
    assert violations(record) == []


@pytest.mark.parametrize("seed", FAILED_ONCE)
async def test_seeds_that_failed_once(tmp_path, seed):
    record = await soak(seed, FAILED_ONCE[seed], tmp_path)
    assert violations(record) == []
