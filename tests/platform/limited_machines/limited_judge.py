"""Counts what a day broke, by the rules, and prints the evidence."""

import collections

from limited_callers import Outcome

CONTACT_SECONDS = 3.0
SLACK_SECONDS = 0.2
DEADLINE_SLACK_SECONDS = 0.3
GRACE_SECONDS = 8.0
CLOSED = {Outcome.CLOSED, Outcome.CUT}


def _planned_for(machine, attempt, plan):
    """Returns which planned work the attempt falls into, if any."""
    for event in machine.disturbances:
        if event.kind == "sigterm" and (
            event.since <= attempt.ended_at <= event.since + GRACE_SECONDS + 1
        ):
            return "sigterm"
        if (
            event.kind == "sighup"
            and attempt.sent_at <= event.since + 2
            and (event.since <= attempt.ended_at)
        ):
            return "sighup"
    for version, at in plan.sent_at.items():
        until = plan.acknowledged.get(version, at) + 3.0
        if at <= attempt.ended_at <= until:
            return "config"
    return ""


def _ends_with_grace(machine, attempt):
    """Whether a request was cut in the last sixth of a grace period."""
    return any(
        event.kind == "sigterm"
        and attempt.sent_at <= event.since + 3
        and event.since + GRACE_SECONDS * 5 / 6
        <= attempt.ended_at
        <= event.since + GRACE_SECONDS + 1
        for event in machine.disturbances
    )


def find_lost(fleet, callers, ledger, plan):
    """Returns attempts that were closed without a whole answer, by form."""
    machines = {machine.name: machine for machine in fleet.machines}
    forms = collections.defaultdict(list)
    for attempt in callers.attempts:
        if attempt.outcome not in CLOSED:
            continue
        machine = machines[attempt.machine]
        passed = bool(ledger.arrivals.get(attempt.id))
        whole = attempt.sent_whole_at > 0
        late = (
            attempt.ended_at - attempt.sent_whole_at > SLACK_SECONDS
            if whole
            else False
        )
        entry = {
            "id": attempt.id,
            "kind": attempt.kind.name,
            "machine": attempt.machine,
            "at": attempt.ended_at,
            "sent": attempt.sent_at,
            "after_whole": round(attempt.ended_at - attempt.sent_whole_at, 3)
            if whole
            else None,
            "outcome": attempt.outcome.value,
            "passed": passed,
            "ran": bool(ledger.runs(attempt.id)),
            "kept": attempt.kept,
            "note": attempt.note,
            "machine_events": [
                (d.kind, round(d.since - attempt.ended_at, 2))
                for d in machine.disturbances[-4:]
            ],
        }
        unplanned = machine.unplanned_during(
            attempt.sent_at - CONTACT_SECONDS, attempt.ended_at
        )
        if attempt.id in ledger.broken:
            forms["engine broke off"].append(entry)
        elif unplanned:
            forms["unplanned disturbance"].append(entry)
        elif attempt.ended_at >= -DEADLINE_SLACK_SECONDS + min(
            attempt.sent_at + attempt.kind.timeout, attempt.deadline_at
        ):
            forms["at its timeout"].append(entry)
        elif _ends_with_grace(machine, attempt):
            forms["at the end of the grace period"].append(entry)
        elif (
            (planned := _planned_for(machine, attempt, plan))
            and planned != "config"
            and (whole and (passed or late))
        ):
            entry["planned"] = planned
            forms["LOST planned"].append(entry)
        elif attempt.kept and passed:
            forms["LOST kept channel"].append(entry)
        else:
            entry["planned"] = planned
            forms["closed, not counted"].append(entry)
    return forms


def find_own_ends(fleet):
    """Returns ends of processes by themselves, and those in a disturbance."""
    machines = {machine.name: machine for machine in fleet.machines}
    free, excused = [], []
    for end in fleet.ends:
        if end.asked:
            continue
        machine = machines[end.name.split("/")[0]]
        near = machine.unplanned_during(end.at - 1.0, end.at)
        near += [
            d
            for d in machine.disturbances
            if d.planned and d.since <= end.at <= min(d.until, d.since + 9) + 1
        ]
        (excused if near else free).append((end, [d.kind for d in near]))
    return free, excused


def find_twice(callers, ledger):
    """Returns requests executed in spite of the rules, in two lists.

    The first holds those that may not be repeated and were executed more than
    once, the second those that were executed but answered as refused.
    """
    twice, refused = [], []
    for attempt in callers.attempts:
        if attempt.kind.repeatable:
            continue
        runs = ledger.runs(attempt.id)
        if len(runs) > 1:
            twice.append(
                (
                    attempt.id,
                    attempt.kind.name,
                    attempt.machine,
                    [run.engine for run in runs],
                )
            )
        if (
            runs
            and attempt.outcome is Outcome.STATUS
            and (attempt.status in (408, 421, 429, 503))
        ):
            if (
                attempt.id not in ledger.broken
                or ledger.statuses.get(attempt.id) is None
            ):
                refused.append(
                    (
                        attempt.id,
                        attempt.kind.name,
                        attempt.machine,
                        attempt.status,
                        attempt.note,
                    )
                )
    return twice, refused


def summarise_peaks(fleet):
    """Returns the highest peak report of each name, highest first."""
    peaks = {}
    for report in fleet.peaks:
        before = peaks.get(report["name"])
        if before is None or report["peak"] > before["peak"]:
            peaks[report["name"]] = report
    return sorted(peaks.values(), key=lambda report: -report["peak"])


def make_report(
    fleet,
    callers,
    ledger,
    operator,
    plan,
    day,
    read_back,
    disk,
    entry,
    keeper,
    lag,
    start,
    arguments,
):
    """Returns the report of a day, with the broken rules in `broken`."""
    forms = find_lost(fleet, callers, ledger, plan)
    free, excused = find_own_ends(fleet)
    twice, refused = find_twice(callers, ledger)
    newest = max(plan.acknowledged, default=0)
    gone = read_back is None or read_back < newest
    broken = []
    if free:
        broken.append(f"FAULT? {len(free)} processes ended by themselves")
    if len(forms["LOST kept channel"]) > 3:
        broken.append(f"LOST kept channel {len(forms['LOST kept channel'])}")
    if forms["LOST planned"]:
        broken.append(f"LOST planned {len(forms['LOST planned'])}")
    if gone:
        broken.append(f"LOST config: read {read_back}, acknowledged {newest}")
    if operator.older:
        broken.append(f"CONFIG older {operator.older[:3]}")
    if twice:
        broken.append(f"TWICE {len(twice)}")
    if refused:
        broken.append(f"REFUSED {len(refused)}")
    outcomes = collections.Counter(
        (
            f"{a.outcome.value} "
            f"{a.status if a.outcome is Outcome.STATUS else ''}"
        ).strip()
        for a in callers.attempts
    )
    mixed = [
        (a.id, a.kind.name, a.machine, a.note, a.id in ledger.broken)
        for a in callers.attempts
        if a.outcome is Outcome.MIXED
    ]
    if mixed:
        broken.append(f"MIXED {len(mixed)}")

    def ends(pairs):
        return [
            {
                "name": end.name,
                "at": round(end.at - start, 2),
                "code": end.code,
                "why": end.why,
                "near": near,
                "log": end.log[-12:],
            }
            for end, near in pairs
        ]

    for entries in forms.values():
        for lost in entries:
            lost["at"] = round(lost["at"] - start, 2)
            lost["sent"] = round(lost["sent"] - start, 2)
    return {
        "root": str(arguments.root),
        "seed": arguments.seed,
        "profile": arguments.profile,
        "broken": broken,
        "offered": callers.offered,
        "served": callers.served,
        "attempts": len(callers.attempts),
        "outcomes": outcomes,
        "skipped": callers.skipped,
        "lost": forms,
        "ends": ends(free),
        "ends_excused": ends(excused),
        "ends_asked": collections.Counter(
            (f"{e.why} code {e.code}") for e in fleet.ends if e.asked
        ),
        "over": [{**o, "at": round(o["at"] - start, 2)} for o in fleet.over],
        "twice": twice,
        "refused": refused,
        "mixed": mixed,
        "config": {
            "acknowledged": len(plan.acknowledged),
            "newest": newest,
            "read_back": read_back,
            "slow": operator.slow,
            "unclear": operator.unclear,
        },
        "peaks": [
            {**p, "at": round(p["at"] - start, 2)}
            for p in summarise_peaks(fleet)
        ],
        "disk": disk,
        "not_ready": entry.not_ready_seconds,
        "late_samples": keeper.late_samples,
        "runner_lag": {
            "late": len(lag),
            "most": round(max((s for _, s in lag), default=0), 2),
            "when": [(round(at - start, 1), round(s, 2)) for at, s in lag[:40]],
        },
        "troubles": [(round(at - start, 1), text) for at, text in day.log],
        "errors": day.errors,
    }


def as_text(report):
    """Returns a report as text."""
    lines = [
        f"root {report['root']} seed {report['seed']} "
        f"profile {report['profile']} seconds {report.get('seconds')}",
        f"broken: {report['broken'] or 'nothing'}",
        f"troubles: {report['troubles']} errors {report['errors']}",
        f"attempts {report['attempts']} outcomes {dict(report['outcomes'])} "
        f"skipped {report['skipped']}",
    ]
    for name, offered in report["offered"].items():
        lines.append(f"  {name}: {report['served'][name]} of {offered} served")
    for form, entries in report["lost"].items():
        lines.append(f"closed without an answer, {form}: {len(entries)}")
        lines += [f"    {entry}" for entry in entries[:8]]
    for title in ("ends", "ends_excused"):
        lines.append(f"{title}: {len(report[title])}")
        for end in report[title][:12]:
            lines.append(
                f"    {end['name']} at {end['at']} code {end['code']} "
                f"{end['why']} near {end['near']}"
            )
            lines += [f"        {line[:300]}" for line in end["log"][-4:]]
    lines.append(f"ends asked: {dict(report['ends_asked'])}")
    for key in ("over", "twice", "refused", "mixed"):
        lines.append(f"{key}: {len(report[key])} {report[key][:6]}")
    lines.append(f"config: {report['config']} disk {report['disk']}")
    lines.append(
        f"not ready, polls: {dict(report['not_ready'])} "
        f"late samples {report['late_samples']} "
        f"runner lag {report['runner_lag']}"
    )
    for peak in report["peaks"][:20]:
        lines.append(
            f"    peak {peak['name']} {peak['peak'] / 1048576:.1f} MiB "
            f"(rss {peak['rss'] / 1048576:.1f} "
            f"unread {peak['unread'] / 1048576:.1f}) "
            f"at {peak['at']} descriptors {peak['descriptors']} "
            f"cpu {peak['cpu']} s "
            f"throttled {peak['throttled']}"
        )
    return "\n".join(lines)
