"""Effect of the prefix slack on cache hits, throughput and fairness.

`.venv/bin/python bench/prefix_slack.py` simulates both example deployments
with several slacks and engines with a limited prompt cache, prints a table and
writes bench/out/prefix_slack.json.
"""

import dataclasses

from common import save
from fairness import DEPLOYMENTS
from fairness_model import CachingEngines

from marjoramyard.coordination.fairness.scheduler import FairnessPolicy

SLACKS = (0, 50, 500, 2000)
SYNC_INTERVAL_SECONDS = 1.0
RESERVE = 0.5


def measure(scenario, slack: float) -> dict:
    """Returns the measurements of one deployment with one slack."""
    policy = FairnessPolicy(prefix_slack=slack, reserve=RESERVE)
    changed = dataclasses.replace(
        scenario,
        policy=policy,
        sync_interval=SYNC_INTERVAL_SECONDS,
        engine_crash_at=0.0,
    )
    model = CachingEngines(changed)
    outcome = model.run()
    return {
        "slack": slack,
        "hit_rate": model.hits / model.runs,
        "served": sum(model.served.values()),
        "warm_gap": outcome.warm_gap,
        "utilisation": outcome.utilisation,
        "counter_p95": outcome.probe_wait_p95,
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
                f"{row['utilisation']:.4f}, probe p95 "
                f"{row['counter_p95']:.2f} s",
                flush=True,
            )
    save("prefix_slack", out)


if __name__ == "__main__":
    main()
