"""Fairness, utilisation and waits of the decision alone, in one run.

`.venv/bin/python bench/fairness.py` prints a table for both deployments and
writes bench/out/fairness.json.
"""

import dataclasses
import json
import statistics
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from fairness_model import (  # noqa: E402
    EntryFair,
    FirstCome,
    Scenario,
    Shared,
    bound,
)

from marjoramyard.coordination.fairness.scheduler import (  # noqa: E402
    FairnessPolicy,
    FairScheduler,
    OfferRow,
)
from marjoramyard.coordination.fairness.totals import Totals  # noqa: E402

SEEDS = (7, 8)
STALENESS = (0.2, 0.5, 5.0)
DEPLOYMENTS = (
    Scenario("teranga", engines=5, policy=FairnessPolicy(prefix_slack=50)),
    Scenario(
        "luzaberta",
        engines=10,
        policy=FairnessPolicy(prefix_slack=2000, zone_slack=200),
    ),
)


def measure(way, scenario):
    """Returns the worst of the gaps and the mean of the rest."""
    runs = [
        way(dataclasses.replace(scenario, seed=seed)).run() for seed in SEEDS
    ]
    return {
        "worst_gap": max(r.worst_gap for r in runs),
        "warm_gap": max(r.warm_gap for r in runs),
        "utilisation": statistics.mean(r.utilisation for r in runs),
        "counter_p50": statistics.mean(r.counter_p50 for r in runs),
        "counter_p95": statistics.mean(r.counter_p95 for r in runs),
    }


def show(name, way, row):
    """Prints one row."""
    print(
        f"{name:<22} {way:<26} {row['worst_gap']:>10.0f} "
        f"{row['warm_gap']:>10.0f} {row['utilisation']:>8.4f} "
        f"{row['counter_p50']:>8.2f} {row['counter_p95']:>8.2f}"
    )


def compare(scenario):
    """Measures all ways on one deployment."""
    rows = {
        "first come, round robin": measure(FirstCome, scenario),
        "fair by entry": measure(EntryFair, scenario),
    }
    for seconds in STALENESS:
        for reserve in (0.0, 0.5):
            policy = with_reserve(scenario.policy, reserve)
            changed = dataclasses.replace(
                scenario, staleness=seconds, policy=policy
            )
            name = f"shared {seconds:g}s reserve {reserve:g}"
            rows[name] = measure(Shared, changed)
    policy = with_reserve(scenario.policy, 0.5)
    calm = dataclasses.replace(scenario, flood=False, policy=policy)
    rows["shared 0.5s, no flood"] = measure(Shared, calm)
    for way, row in rows.items():
        show(scenario.name, way, row)
    print(f"{scenario.name:<22} bound (0.5 s) {bound(scenario):.0f}")
    return rows


def with_reserve(policy, reserve):
    """Returns the policy with another reserve."""
    return FairnessPolicy(
        policy.prefix_slack, policy.zone_slack, reserve, policy.credit_limit
    )


def choice_cost(workspaces, backlogged, rounds=20_000):
    """Returns microseconds for one choice with its charge."""
    scheduler = FairScheduler(Totals("a"), "z", lambda _: 1.0, FairnessPolicy())
    for n in range(workspaces):
        scheduler.totals.add(f"w{n}", float(n % 97) + 1.0)
    scheduler.record_message("e", "z", 1, 0.0)
    scheduler.update_offers(
        "e", [OfferRow(f"w{n}", 10**9) for n in range(backlogged)]
    )
    started = time.perf_counter()
    for _ in range(rounds):
        choice = scheduler.choose(lambda _: False)
        scheduler.record_grant(choice)
        scheduler.charge(choice.workspace, 40.0)
    return (time.perf_counter() - started) / rounds * 1e6


def main():
    """Prints all tables."""
    print(
        f"{'deployment':<22} {'way':<26} {'worst gap':>10} {'warm gap':>10} "
        f"{'util':>8} {'wait p50':>8} {'wait p95':>8}"
    )
    out = {s.name: compare(s) for s in DEPLOYMENTS}
    print("\nbacklogged  microseconds a choice (24,000 workspaces known)")
    out["choice"] = {}
    for backlogged in (24, 240, 2400, 24000):
        cost = choice_cost(24_000, backlogged)
        out["choice"][backlogged] = cost
        print(f"{backlogged:>10}  {cost:8.1f}")
    path = Path(__file__).parent / "out/fairness.json"
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(out, indent=1))


if __name__ == "__main__":
    main()
