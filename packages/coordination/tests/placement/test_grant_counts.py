"""Tests of the counts of grants."""

import sys
from pathlib import Path

from marjoramyard.coordination.placement.grant_counts import (
    GrantCounts,
    GrantOrder,
)
from marjoramyard.coordination.placement.plans import Plan
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import make_broker, make_request  # noqa: E402

GUIDE = PromptPart("guide", 6000)


def test_grants_are_counted_by_the_source_of_their_parts_and_by_order():
    engine = make_broker(1).engines["e0"]
    request = make_request("k", tokens=2000, shared=(GUIDE,))
    counts = GrantCounts()
    plans = [
        Plan(0.0, engine, "", 2000.0),
        Plan(0.0, engine, "e1", 2000.0),
        Plan(0.0, engine, "", 8000.0),
    ]
    for plan in plans:
        counts.record(request, plan, GrantOrder.IN_ORDER)
    counts.record(request, plans[0], GrantOrder.OVERTAKING)
    assert counts.by_source() == {"local": 2, "fetched": 1, "prefilled": 1}
    assert counts.overtaking() == 1
