"""Checks of the fleet's guarantees against the record of a run.

Each check yields one line for each violation.
"""

from soak.checks import (
    configurations,
    connections,
    crashing_requests,
    endpoints,
    memory,
    responses,
    shutdowns,
)
from soak.checks.registry import CHECKS, violations

__all__ = ["CHECKS", "violations"]

# Importing a module registers its checks.
MODULES = (
    configurations,
    connections,
    crashing_requests,
    endpoints,
    memory,
    responses,
    shutdowns,
)
