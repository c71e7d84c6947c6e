"""Fairness gap, utilisation and waits of the scheduler and two baselines.

`.venv/bin/python bench/fairness.py` simulates both example deployments in one
process, prints a table and writes bench/out/fairness.json.
"""

import dataclasses
import json
import statistics
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from fairness_model import (  # noqa: E402
    FirstComeFirstServed,
    PerEntryFair,
    Scenario,
    SharedTotals,
    gap_bound,
)

from marjoramyard.coordination.fairness.scheduler import (  # noqa: E402
    FairnessPolicy,
    FairScheduler,
    OfferRow,
)
from marjoramyard.coordination.fairness.totals import Totals  # noqa: E402

SEEDS = (7, 8)
SYNC_INTERVALS_SECONDS = (0.2, 0.5, 5.0)
DEPLOYMENTS = (
    Scenario("teranga", engines=5, policy=FairnessPolicy(prefix_slack=50)),
    Scenario(
        "luzaberta",
        engines=10,
        policy=FairnessPolicy(prefix_slack=2000, zone_slack=200),
    ),
)


def measure(model, scenario):
    """Returns the worst gaps and the means of the rest over all seeds."""
    runs = [
        model(dataclasses.replace(scenario, seed=seed)).run() for seed in SEEDS
    ]
    return {
        "worst_gap": max(r.worst_gap for r in runs),
        "warm_gap": max(r.warm_gap for r in runs),
        "utilisation": statistics.mean(r.utilisation for r in runs),
        "counter_p50": statistics.mean(r.probe_wait_p50 for r in runs),
        "counter_p95": statistics.mean(r.probe_wait_p95 for r in runs),
    }


def show(name, model, row):
    """Prints one row of the table."""
    print(
        f"{name:<22} {model:<26} {row['worst_gap']:>10.0f} "
        f"{row['warm_gap']:>10.0f} {row['utilisation']:>8.4f} "
        f"{row['counter_p50']:>8.2f} {row['counter_p95']:>8.2f}"
    )


def compare(scenario):
    """Measures the scheduler and the baselines on one deployment."""
    rows = {
        "first come, round robin": measure(FirstComeFirstServed, scenario),
        "fair by entry": measure(PerEntryFair, scenario),
    }
    for interval in SYNC_INTERVALS_SECONDS:
        for reserve in (0.0, 0.5):
            policy = with_reserve(scenario.policy, reserve)
            changed = dataclasses.replace(
                scenario, sync_interval=interval, policy=policy
            )
            name = f"shared {interval:g}s reserve {reserve:g}"
            rows[name] = measure(SharedTotals, changed)
    policy = with_reserve(scenario.policy, 0.5)
    no_overload = dataclasses.replace(scenario, overload=False, policy=policy)
    rows["shared 0.5s, no flood"] = measure(SharedTotals, no_overload)
    for model, row in rows.items():
        show(scenario.name, model, row)
    print(f"{scenario.name:<22} bound (0.5 s) {gap_bound(scenario):.0f}")
    return rows


def with_reserve(policy, reserve):
    """Returns a copy of the policy with another reserve."""
    return FairnessPolicy(
        policy.prefix_slack, policy.zone_slack, reserve, policy.credit_limit
    )


def choice_cost(workspaces, backlogged, rounds=20_000):
    """Returns the microseconds per choice, including its charge.

    Args:
        workspaces: Number of workspaces in the shared totals.
        backlogged: Number of workspaces with queued requests.
        rounds: Number of choices.
    """
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
    """Prints the table and the cost of a choice."""
    print(
        f"{'deployment':<22} {'model':<26} {'worst gap':>10} {'warm gap':>10} "
        f"{'util':>8} {'wait p50':>8} {'wait p95':>8}"
    )
    out = {s.name: compare(s) for s in DEPLOYMENTS}
    print("\nbacklogged  microseconds per choice (24,000 workspaces)")
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
