"""Hypothesis profiles; examples are reproducible and have no deadline.

The files of failed tests are kept.
"""

import os

from hypothesis import Phase, settings

pytest_plugins = ["kept_failures"]

settings.register_profile("ci", derandomize=True, deadline=None)
settings.register_profile(
    "safeguards",
    derandomize=True,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
    report_multiple_bugs=False,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
