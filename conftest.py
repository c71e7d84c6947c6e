"""Hypothesis profiles; examples are reproducible and have no deadline."""

import os

from hypothesis import Phase, settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.register_profile(
    "safeguards",
    derandomize=True,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
    report_multiple_bugs=False,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
