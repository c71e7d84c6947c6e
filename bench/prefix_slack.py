"""What the prefix knob buys and costs, on the decision alone.

`.venv/bin/python bench/prefix_slack.py` runs both deployments with several
slacks before engines with a limited prompt cache, prints hits, service and
gap, and writes bench/out/prefix_slack.json.
"""

import dataclasses

from common import save
from fairness import DEPLOYMENTS
from fairness_model import Cached

from marjoramyard.coordination.fairness.scheduler import FairnessPolicy

SLACKS = (0, 50, 500, 2000)
STALENESS = 1.0
RESERVE = 0.5


def measure(scenario, slack: float) -> dict:
    """Returns one row."""
    policy = FairnessPolicy(prefix_slack=slack, reserve=RESERVE)
    changed = dataclasses.replace(
        scenario, policy=policy, staleness=STALENESS, engine_lost_at=0.0
    )
    model = Cached(changed)
    outcome = model.run()
    return {
        "slack": slack,
        "hit_rate": model.hits / model.runs,
        "served": sum(model.served.values()),
        "warm_gap": outcome.warm_gap,
        "utilisation": outcome.utilisation,
        "counter_p95": outcome.counter_p95,
    }


def main() -> None:
    """Prints a row for each deployment and slack."""
    out = {}
    for scenario in DEPLOYMENTS:
        out[scenario.name] = []
        for slack in SLACKS:
            row = measure(scenario, slack)
            out[scenario.name].append(row)
            print(
                f"{scenario.name:<10} slack {slack:5d}: hits "
                f"{row['hit_rate']:.3f}, served {row['served']:9.0f}, gap "
                f"{row['warm_gap']:6.0f}, utilisation "
                f"{row['utilisation']:.4f}, counter p95 "
                f"{row['counter_p95']:.2f} s",
                flush=True,
            )
    save("prefix_slack", out)


if __name__ == "__main__":
    main()
