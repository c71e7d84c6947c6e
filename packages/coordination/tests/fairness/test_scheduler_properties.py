"""Fairness bound and work conservation of the scheduler."""

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramyard.coordination.fairness.scheduler import (
    FairnessPolicy,
    FairScheduler,
    OfferRow,
)
from marjoramyard.coordination.fairness.totals import Totals, TotalsSync

MAX_COST = 40.0
SHARES = {"w0": 1.0, "w1": 2.0, "w2": 0.5, "w3": 1.0}


def make_scheduler(name, policy=None, shares=SHARES):
    totals = Totals(name.partition("~")[0], name)
    return FairScheduler(
        totals, "zone-a", shares.__getitem__, policy or FairnessPolicy()
    )


def served_by_origin(totals, origin, workspace):
    rows = totals.origins.get(origin)
    return rows.served.get(workspace, 0.0) if rows else 0.0


class Agent:
    """An agent; all workspaces are always backlogged."""

    def __init__(self, name, slots):
        self.name = name
        self.slots = slots
        self.incarnations = 0
        self.start()

    def start(self):
        self.incarnations += 1
        self.scheduler = make_scheduler(f"{self.name}~{self.incarnations}")
        self.link = None
        self.running = []
        self.sequence = 0

    def offer_backlog(self):
        self.sequence += 1
        self.scheduler.record_message("entry", "zone-a", self.sequence, 0.0)
        rows = [OfferRow(w, 1000) for w in SHARES]
        self.scheduler.replace_offers("entry", rows)


class Fleet:
    """Agents that exchange totals with one entry over an unreliable link."""

    def __init__(self, agents, slots):
        self.agents = [Agent(f"a{n}", slots) for n in range(agents)]
        self.entry = Totals("entry")
        self.entry_links = {}
        self.served = dict.fromkeys(SHARES, 0.0)
        self.max_unseen = dict.fromkeys(SHARES, 0.0)
        self.lost = dict.fromkeys(SHARES, 0.0)
        self.sent_deltas = []
        for agent in self.agents:
            agent.offer_backlog()

    def links(self, agent):
        name = agent.scheduler.totals.incarnation
        if name not in self.entry_links:
            self.entry_links[name] = TotalsSync(self.entry)
            agent.link = TotalsSync(agent.scheduler.totals)
        return self.entry_links[name], agent.link

    def sync(self, agent, delivery):
        """Exchanges totals; messages may be lost or duplicated."""
        entry_link, agent_link = self.links(agent)
        request = entry_link.make_delta()
        self.sent_deltas.append((agent_link, request))
        if delivery != "lost":
            agent_link.apply_delta(request)
        if delivery == "twice":
            agent_link.apply_delta(request)
        reply = agent_link.make_delta()
        if delivery in ("ok", "twice"):
            entry_link.apply_delta(reply)

    def replay_delta(self, index):
        if self.sent_deltas:
            link, delta = self.sent_deltas[index % len(self.sent_deltas)]
            link.apply_delta(delta)

    def grant(self, agent, cost):
        if len(agent.running) >= agent.slots:
            return
        choice = agent.scheduler.choose(lambda _: False)
        assert choice is not None, "a free slot stayed idle despite a backlog"
        agent.scheduler.record_grant(choice)
        agent.scheduler.record_start(choice.workspace)
        agent.running.append([choice.workspace, cost])
        self.update_max_unseen(agent)

    def update_max_unseen(self, agent):
        """Updates the maximum service that the agent has not seen."""
        for workspace, served in self.served.items():
            seen = agent.scheduler.totals.sums.get(workspace, 0.0)
            unseen = served - seen
            maximum = self.max_unseen[workspace]
            self.max_unseen[workspace] = max(maximum, unseen)

    def stream(self, agent, amount):
        for run in list(agent.running):
            part = min(amount, run[1])
            run[1] -= part
            self.served[run[0]] += part
            agent.scheduler.charge(run[0], part)
            if run[1] <= 0:
                agent.running.remove(run)
                agent.scheduler.record_finish(run[0], MAX_COST)

    def restart(self, agent):
        """Restarts an agent, which loses all service not yet synchronized."""
        totals = agent.scheduler.totals
        for workspace in SHARES:
            own_service = served_by_origin(totals, totals.name, workspace)
            own_service += totals.unpublished.get(workspace, 0.0)
            self.lost[workspace] += own_service - served_by_origin(
                self.entry, totals.name, workspace
            )
        agent.start()
        for _ in range(2):
            self.sync(agent, "ok")
        agent.offer_backlog()

    def check_bound(self):
        """Checks that virtual times differ by (N L + unseen + lost) / share.

        N is the number of slots and L the maximum cost of a request.
        """
        slots = sum(agent.slots for agent in self.agents)
        for workspace, served in self.served.items():
            share = SHARES[workspace]
            allowed = slots * MAX_COST + self.max_unseen[workspace]
            bound = allowed / share
            for other in SHARES:
                behind = self.served[other] / SHARES[other]
                lost = self.lost[other] / SHARES[other]
                assert served / share <= behind + bound + lost + 1.0


_step = st.tuples(
    st.sampled_from(["grant", "stream", "sync", "restart", "replay"]),
    st.integers(0, 2),
    st.floats(1.0, MAX_COST),
    st.sampled_from(["ok", "ok", "ok", "lost", "reply_lost", "twice"]),
)


@given(st.integers(1, 3), st.integers(1, 4), st.lists(_step, max_size=250))
@settings(max_examples=150)
def test_the_virtual_time_gap_stays_within_the_bound(agents, slots, steps):
    fleet = Fleet(agents, slots)
    for action, index, amount, delivery in steps:
        agent = fleet.agents[index % agents]
        if action == "grant":
            fleet.grant(agent, amount)
        elif action == "stream":
            fleet.stream(agent, amount)
        elif action == "sync":
            fleet.sync(agent, delivery)
        elif action == "replay":
            fleet.replay_delta(int(amount))
        else:
            fleet.restart(agent)
        fleet.check_bound()


@given(st.lists(st.integers(0, 3), min_size=1, max_size=30))
def test_an_idle_workspace_accumulates_no_credit(order):
    """A workspace must not accumulate credit while it is idle.

    Otherwise its next burst would block the workspaces served meanwhile.
    """
    scheduler = make_scheduler("a")
    scheduler.record_message("entry", "zone-a", 1, 0.0)
    scheduler.update_offers("entry", [OfferRow("w0", 1000)])
    for _ in range(50):
        scheduler.record_grant(scheduler.choose(lambda _: False))
        scheduler.charge("w0", MAX_COST)
    scheduler.choose(lambda _: False)
    scheduler.record_message("entry", "zone-a", 2, 0.0)
    scheduler.update_offers("entry", [OfferRow("w3", 1000)])
    turns = {"w0": 0, "w3": 0}
    for _ in range(10):
        choice = scheduler.choose(lambda _: False)
        scheduler.record_grant(choice)
        scheduler.charge(choice.workspace, MAX_COST)
        turns[choice.workspace] += 1
    assert abs(turns["w0"] - turns["w3"]) <= 1


def test_excess_load_of_one_workspace_does_not_starve_others():
    """The excess load of one workspace must not delay another for long."""
    scheduler = make_scheduler("a")
    scheduler.record_message("entry", "zone-a", 1, 0.0)
    scheduler.update_offers(
        "entry", [OfferRow("w0", 100_000), OfferRow("w3", 1)]
    )
    served_before = 0
    while scheduler.choose(lambda _: False).workspace != "w3":
        scheduler.record_grant(scheduler.choose(lambda _: False))
        scheduler.charge("w0", MAX_COST)
        served_before += 1
    assert served_before <= 1


def test_credit_from_a_long_partition_is_written_off():
    """Credit from a network partition is limited.

    Both sides served w0 and their totals add up, so that w0 would wait until
    w3 has caught up.
    """
    policy = FairnessPolicy(credit_limit=100.0)
    scheduler = make_scheduler("a", policy)
    scheduler.record_message("entry", "zone-a", 1, 0.0)
    scheduler.update_offers("entry", [OfferRow("w0", 100), OfferRow("w3", 100)])
    scheduler.charge("w0", 50_000.0)
    scheduler.write_off_credit()
    served = 0.0
    while scheduler.choose(lambda _: False).workspace == "w3":
        scheduler.charge("w3", MAX_COST)
        served += MAX_COST
    assert served <= 100.0 + MAX_COST


def test_a_cached_prefix_is_served_first_only_within_the_slack():
    policy = FairnessPolicy(prefix_slack=50.0)
    scheduler = make_scheduler("a", policy)
    scheduler.record_message("entry", "zone-a", 1, 0.0)
    scheduler.update_offers(
        "entry", [OfferRow("w0", 9, "warm"), OfferRow("w3", 9, "cold")]
    )
    scheduler.charge("w0", 40.0)
    assert scheduler.choose(lambda p: p == "warm").workspace == "w0"
    scheduler.charge("w0", 40.0)
    assert scheduler.choose(lambda p: p == "warm").workspace == "w3"


def test_offers_of_expired_entries_and_unused_grants_are_withdrawn():
    scheduler = make_scheduler("a")
    scheduler.record_message("entry", "zone-a", 1, 10.0)
    scheduler.update_offers("entry", [OfferRow("w0", 2), OfferRow("w1", 1)])
    choice = scheduler.choose(lambda _: False)
    scheduler.withdraw_unused(choice)
    assert scheduler.choose(lambda _: False).workspace != choice.workspace
    assert scheduler.expire(older_than=11.0) == ["entry"]
    assert scheduler.choose(lambda _: False) is None


def test_a_reordered_message_is_not_the_newest():
    scheduler = make_scheduler("a")
    assert scheduler.record_message("entry", "zone-a", 5, 0.0)
    assert not scheduler.record_message("entry", "zone-a", 4, 0.0)
