"""Requests that may crash endpoints: suspected, held apart, convicted."""

from enum import Enum

import msgspec

HOLD_SECONDS = 120.0
DEATHS_TO_CONVICT = 2
_DEATHS_REMEMBERED = 5000
_SUSPECT_SECONDS = 3600.0


class Suspect(msgspec.Struct):
    """A request, by fingerprint, that ran when an endpoint died.

    Attributes:
        deaths: How many endpoints died while it ran.
        last_at: When the last one did.
        held_by: The agent that may run it now.
        held_until: When that hold lapses by itself.
        convicted_until: Refused everywhere until then.
    """

    deaths: int
    last_at: float
    held_by: str = ""
    held_until: float = 0.0
    convicted_until: float = 0.0


class Standing(Enum):
    """What is known of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


class Suspects:
    """Finds the request that kills endpoints at the cost of two of them.

    The first death can't tell the culprit from the bystanders beside it.
    From then on each suspect runs at one endpoint at a time, one suspect an
    endpoint, so the second death names the culprit, and a bystander that
    ends well is cleared.
    """

    def __init__(self, records: dict[str, Suspect], death_reports: list[str]):
        self.records = records
        self.death_reports = death_reports

    def standing(self, fingerprint: str, at: float) -> Standing:
        """Returns what holds for a fingerprint now."""
        suspect = self.records.get(fingerprint)
        if suspect is None:
            return Standing.CLEAR
        if suspect.convicted_until > at:
            return Standing.CONVICTED
        return Standing.SUSPECT

    def report_death(
        self,
        death_id: str,
        fingerprints: list[str],
        at: float,
        quarantine: float,
    ) -> list[str]:
        """Takes in that an endpoint died; returns who is convicted by it.

        An agent and several entries may report the same death; for each
        request it counts once.
        """
        self._forget(at)
        convicted = []
        for fingerprint in fingerprints:
            if not self._is_news(f"{death_id} {fingerprint}"):
                continue
            suspect = self.records.setdefault(fingerprint, Suspect(0, at))
            suspect.deaths += 1
            suspect.last_at = at
            suspect.held_by = ""
            if suspect.deaths >= DEATHS_TO_CONVICT:
                suspect.convicted_until = at + quarantine
                convicted.append(fingerprint)
        return convicted

    def _is_news(self, report: str) -> bool:
        if report in self.death_reports:
            return False
        self.death_reports.append(report)
        del self.death_reports[:-_DEATHS_REMEMBERED]
        return True

    def hold(self, fingerprint: str, agent: str, at: float) -> bool:
        """Lets one agent at a time run a suspect."""
        suspect = self.records.get(fingerprint)
        if suspect is None:
            return True
        if suspect.convicted_until > at:
            return False
        if suspect.held_by not in ("", agent) and suspect.held_until > at:
            return False
        suspect.held_by = agent
        suspect.held_until = at + HOLD_SECONDS
        return True

    def release(self, fingerprint: str, agent: str, clear: bool) -> None:
        """Ends a hold; a request that ended well is cleared."""
        suspect = self.records.get(fingerprint)
        if suspect is None or suspect.held_by != agent:
            return
        suspect.held_by = ""
        if clear:
            del self.records[fingerprint]

    def _forget(self, at: float) -> None:
        old = [
            fingerprint
            for fingerprint, suspect in self.records.items()
            if max(suspect.last_at + _SUSPECT_SECONDS, suspect.convicted_until)
            < at
        ]
        for fingerprint in old:
            del self.records[fingerprint]
