"""Identifies and quarantines requests that crash endpoints.

A request is suspected under each identity that may hold the cause: its own
fingerprint, and that of each prompt part that it shares with others.

Control hosts decide by what agents and gateways report. A gateway decides the
same way by its own reports, for as long as no control host has accepted them.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec

HOLD_SECONDS = 120.0
DEATHS_TO_CONVICT = 2
PART_SECONDS = 1.0
"""A prompt part ends its endpoint within this time after the answer begins."""
QUARANTINE_SECONDS = 600.0
FIRST_QUARANTINE_SECONDS = 5.0
"""The first quarantine of a request that did not run in isolation. It may have
run beside the cause of both crashes, so it is tried again soon."""
QUARANTINE_GROWTH = 4.0
WATCH_SECONDS = 10.0
MAX_WATCHED = 200
"""So many suspects of a single crash are announced. A lost zone has hundreds,
and each change of them is announced to all gateways."""
MAX_RECORDS = 2000
MAX_CLOCK_SKEW_SECONDS = 30.0
_MAX_DEATH_REPORTS = 5000
_SUSPICION_SECONDS = 3600.0


class EndedRun(msgspec.Struct, frozen=True):
    """A request that was running when an endpoint died.

    Attributes:
        fingerprint: Identifies the request.
        seconds: How long it had run.
        earlier_deaths: The endpoints that had died under earlier sends of the
            same attempt.
        is_isolated: Whether it ran with a hold, and was the only suspect on
            its endpoint.
        request: If `fingerprint` is that of a prompt part, the fingerprint of
            the request that has it; else "".
    """

    fingerprint: str
    seconds: float = 0.0
    earlier_deaths: int = 0
    is_isolated: bool = False
    request: str = ""


class Suspect(msgspec.Struct):
    """A request that was running when an endpoint died.

    Attributes:
        deaths: The deaths that count: each happened to a run that had begun
            after the one before.
        last_at: The time of the last death.
        held_by: The agent or gateway with the exclusive right to run it, if
            any.
        held_until: When that right expires.
        convicted_until: The end of its quarantine, in which it is refused.
        request: For a prompt part, the request under which the last death
            happened.
    """

    deaths: int
    last_at: float
    held_by: str = ""
    held_until: float = 0.0
    convicted_until: float = 0.0
    request: str = ""


class Standing(Enum):
    """The status of a request fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


class Suspects:
    """Tells requests that crash endpoints from those that ran beside them.

    A request that crashes each endpoint never completes, so a response from
    any endpoint clears a suspect. Deaths count as evidence only one after the
    other: when several endpoints die at once for another reason, a popular
    request may be running on all of them. Deaths under one request, sent again
    and again, count once for its parts: the cause may be the rest of it. While
    a known suspect was running, a death says nothing about others.

    Attributes:
        records: The suspects, by fingerprint.
        death_reports: The deaths and fingerprints reported last.
        revision: Is increased whenever `published` changes, other than by time.
        watched_revision: The same for `watched`.
    """

    def __init__(
        self,
        records: dict[str, Suspect],
        death_reports: list[str],
        revision: int = 0,
        watched_revision: int = 0,
    ):
        self.records = records
        self.death_reports = death_reports
        self.known_reports = set(death_reports)
        self.revision = revision
        self.watched_revision = watched_revision

    def standing(self, fingerprint: str, at: float) -> Standing:
        """Returns the status of a fingerprint."""
        suspect = self.records.get(fingerprint)
        if suspect is None:
            return Standing.CLEAR
        if suspect.convicted_until > at:
            return Standing.CONVICTED
        return Standing.SUSPECT

    def held_parts(self) -> list[str]:
        """Returns the prompt parts that must be refused or held."""
        return [
            fingerprint
            for fingerprint, suspect in self.records.items()
            if suspect.request and self.must_hold(fingerprint)
        ]

    def must_hold(self, fingerprint: str) -> bool:
        """Returns whether gateways must refuse a request or hold it."""
        suspect = self.records.get(fingerprint)
        return suspect is not None and suspect.deaths >= DEATHS_TO_CONVICT

    def quarantine_seconds(self, fingerprint: str, at: float) -> float:
        """Returns the rest of a request's quarantine; 0.0 for none.

        It is never longer than the quarantine, even by a clock that is behind.
        """
        suspect = self.records.get(fingerprint)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.convicted_until - max(at, suspect.last_at))

    def published(self, at: float) -> dict[str, float]:
        """Returns the suspects that gateways must hold or refuse.

        Returns:
            The rest of the quarantine in seconds, by fingerprint; 0.0 for those
            that may run with a hold.
        """
        return {
            fingerprint: self.quarantine_seconds(fingerprint, at)
            for fingerprint in self.records
            if self.must_hold(fingerprint)
        }

    def watched(self, at: float) -> list[str]:
        """Returns the newest suspects of which gateways only tell responses.

        Most have run beside the cause of a crash. They run without a hold.
        """
        recent = [
            fingerprint
            for fingerprint, suspect in self.records.items()
            if suspect.deaths < DEATHS_TO_CONVICT
            and at - suspect.last_at < WATCH_SECONDS
        ]
        recent.sort(key=lambda fingerprint: self.records[fingerprint].last_at)
        return recent[-MAX_WATCHED:]

    def report_death(
        self,
        death_id: str,
        runs: Sequence[EndedRun],
        at: float,
        quarantine: float,
    ) -> list[str]:
        """Records the death of an endpoint.

        A death that is reported several times counts once per request.

        Args:
            death_id: Identifies the death in all reports of it.
            runs: The requests that were running on the endpoint.
            at: The time of the death.
            quarantine: How long to refuse a convicted request at most, in
                seconds.

        Returns:
            The fingerprints convicted by this death.
        """
        self._correct_clock(at)
        self._remove_expired(at)
        convicted = []
        known = [run for run in runs if self.must_hold(run.fingerprint)]
        for run in known or runs:
            if not self._is_new_report(f"{death_id} {run.fingerprint}"):
                continue
            suspect = self.records.setdefault(run.fingerprint, Suspect(0, at))
            if not _is_evidence(suspect, run, at):
                continue
            suspect.deaths = max(suspect.deaths, run.earlier_deaths) + 1
            suspect.last_at = max(suspect.last_at, at)
            suspect.request = run.request
            suspect.held_by = ""
            self._on_changed(suspect)
            if suspect.deaths >= DEATHS_TO_CONVICT:
                suspect.convicted_until = at + _quarantine_seconds(
                    suspect, run, quarantine
                )
                convicted.append(run.fingerprint)
        self._limit_records(at)
        return convicted

    def _is_new_report(self, report: str) -> bool:
        if report in self.known_reports:
            return False
        self.death_reports.append(report)
        self.known_reports.add(report)
        for expired in self.death_reports[:-_MAX_DEATH_REPORTS]:
            self.known_reports.discard(expired)
        del self.death_reports[:-_MAX_DEATH_REPORTS]
        return True

    def hold(self, fingerprint: str, holder: str, at: float) -> bool:
        """Grants the exclusive right to run a suspect, if free."""
        self._correct_clock(at)
        suspect = self.records.get(fingerprint)
        if suspect is None:
            return True
        if suspect.convicted_until > at:
            return False
        if suspect.held_by not in ("", holder) and suspect.held_until > at:
            return False
        suspect.held_by = holder
        suspect.held_until = at + HOLD_SECONDS
        return True

    def release(self, fingerprint: str, holder: str, clear: bool) -> None:
        """Ends a hold; `clear` also removes the suspicion."""
        suspect = self.records.get(fingerprint)
        if suspect is None or suspect.held_by != holder:
            return
        suspect.held_by = ""
        if clear:
            self.clear(fingerprint)

    def clear(self, fingerprint: str) -> bool:
        """Ends a suspicion and a quarantine; returns whether there was one."""
        suspect = self.records.pop(fingerprint, None)
        if suspect is None:
            return False
        self._on_changed(suspect)
        return True

    def _on_changed(self, suspect: Suspect) -> None:
        self.watched_revision += 1
        if suspect.deaths >= DEATHS_TO_CONVICT:
            self.revision += 1

    def _correct_clock(self, at: float) -> None:
        """Moves times back that a leader's clock had put into the future.

        Otherwise no death would count, and quarantines last, until then.
        """
        for suspect in self.records.values():
            ahead = suspect.last_at - at
            if ahead > MAX_CLOCK_SKEW_SECONDS:
                suspect.last_at -= ahead
                suspect.held_until -= ahead
                suspect.convicted_until -= ahead

    def _remove_expired(self, at: float) -> None:
        expired = [
            fingerprint
            for fingerprint, suspect in self.records.items()
            if max(
                suspect.last_at + _SUSPICION_SECONDS, suspect.convicted_until
            )
            < at
        ]
        for fingerprint in expired:
            self.clear(fingerprint)

    def _limit_records(self, at: float) -> None:
        """Removes the weakest suspicions, so that a flood can't fill memory."""
        excess = len(self.records) - MAX_RECORDS
        if excess <= 0:
            return
        weakest = sorted(
            self.records,
            key=lambda fingerprint: (
                self.records[fingerprint].convicted_until > at,
                self.records[fingerprint].deaths,
                self.records[fingerprint].last_at,
            ),
        )
        for fingerprint in weakest[:excess]:
            self.clear(fingerprint)


def _is_evidence(suspect: Suspect, run: EndedRun, at: float) -> bool:
    """Returns whether a death adds to what is known of a suspect."""
    if run.request and run.request == suspect.request:
        return False
    if run.is_isolated or run.earlier_deaths >= suspect.deaths:
        return True
    return at - run.seconds >= suspect.last_at


def _quarantine_seconds(
    suspect: Suspect, run: EndedRun, longest: float
) -> float:
    """Returns how long to refuse a convicted request.

    After a quarantine it may run again, at one endpoint at a time, and is
    either cleared or refused for longer.
    """
    if run.is_isolated:
        return longest
    repeated = suspect.deaths - DEATHS_TO_CONVICT
    return min(longest, FIRST_QUARANTINE_SECONDS * QUARANTINE_GROWTH**repeated)
