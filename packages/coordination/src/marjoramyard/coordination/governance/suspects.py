"""Identifies and quarantines requests that crash endpoints."""

from enum import Enum

import msgspec

HOLD_SECONDS = 120.0
DEATHS_TO_CONVICT = 2
_MAX_DEATH_REPORTS = 5000
_SUSPICION_SECONDS = 3600.0


class Suspect(msgspec.Struct):
    """A request that was running when an endpoint died.

    Attributes:
        deaths: The number of endpoints that died while it was running.
        last_at: The time of the last death.
        held_by: The agent with the exclusive right to run it, if any.
        held_until: When that right expires.
        convicted_until: The end of its quarantine, in which it is refused.
    """

    deaths: int
    last_at: float
    held_by: str = ""
    held_until: float = 0.0
    convicted_until: float = 0.0


class Standing(Enum):
    """The status of a request fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONVICTED = "convicted"


class Suspects:
    """Identifies the request that crashes endpoints by the second crash.

    After a first crash all requests that were running are suspects. Each
    suspect then runs on one endpoint at a time, with at most one suspect per
    endpoint, so a second crash identifies the cause. A suspect that completes
    is cleared.
    """

    def __init__(self, records: dict[str, Suspect], death_reports: list[str]):
        self.records = records
        self.death_reports = death_reports

    def standing(self, fingerprint: str, at: float) -> Standing:
        """Returns the status of a fingerprint."""
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
        """Records the death of an endpoint.

        A death that is reported several times, by an agent and by entries,
        counts once per request.

        Args:
            death_id: Identifies the death in all reports of it.
            fingerprints: The requests that were running on the endpoint.
            at: The time of the report.
            quarantine: How long to refuse a convicted request, in seconds.

        Returns:
            The fingerprints convicted by this death.
        """
        self._remove_expired(at)
        convicted = []
        for fingerprint in fingerprints:
            if not self._is_new_report(f"{death_id} {fingerprint}"):
                continue
            suspect = self.records.setdefault(fingerprint, Suspect(0, at))
            suspect.deaths += 1
            suspect.last_at = at
            suspect.held_by = ""
            if suspect.deaths >= DEATHS_TO_CONVICT:
                suspect.convicted_until = at + quarantine
                convicted.append(fingerprint)
        return convicted

    def _is_new_report(self, report: str) -> bool:
        if report in self.death_reports:
            return False
        self.death_reports.append(report)
        del self.death_reports[:-_MAX_DEATH_REPORTS]
        return True

    def hold(self, fingerprint: str, agent: str, at: float) -> bool:
        """Grants an agent the exclusive right to run a suspect, if free."""
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
        """Ends an agent's hold; `clear` also removes the suspicion."""
        suspect = self.records.get(fingerprint)
        if suspect is None or suspect.held_by != agent:
            return
        suspect.held_by = ""
        if clear:
            del self.records[fingerprint]

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
            del self.records[fingerprint]
