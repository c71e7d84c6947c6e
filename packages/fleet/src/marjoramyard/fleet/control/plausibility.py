"""Refuses heartbeats that no endpoint can have sent.

The latest lifetime of an endpoint is in force, and the last heartbeat of it. A
value far ahead of all that follow would keep the endpoint's own heartbeats out
for good.
"""

import time
from collections.abc import Callable

from marjoramyard.coordination.membership.registrations import (
    EndpointState,
    Registration,
    Registrations,
)
from marjoramyard.kernel.util.clocks import seconds_since_boot

MAX_AHEAD_SECONDS = 60.0
"""How far an endpoint's clock may be ahead of this host's. Clocks jump by
seconds."""
FAR_AHEAD_SECONDS = 30 * 24 * 3600.0
"""A start so far ahead is refused whoever sends it."""
MAX_SILENT_SECONDS = 5.0
"""An endpoint that has been silent for longer may have started again."""
MAX_ALONE_SECONDS = 5.0
"""How long a host without registrations trusts its clock against heartbeats:
far longer than sound endpoints take to register."""
MAX_HEARTBEATS_PER_SECOND = 1000.0
MAX_SEQUENCE_STEP = 10_000
"""The most heartbeats between two that this host hears of one right after the
other. While it hears of none, there may be more."""


class PlausibilityCheck:
    """Compares heartbeats with this host's clock and with earlier ones.

    A host whose clock is wrong must not lock endpoints out. Lifetimes that are
    registered, here or at another host, are not compared with the clock, nor
    are those that replace no endpoint, unless they are very far ahead. The time
    that has passed since the start counts even if the clock is set back. If
    most lifetimes are in its future, the clock is behind.

    Attributes:
        registrations: The known endpoints.
        wall_clock: Returns the time of day in Unix seconds.
        steady_clock: Returns the seconds since boot.
        monotonic_clock: The clock of the times in `registrations`.
        started_at: The difference of both at the start.
        alone_since: When, by the steady clock, a lifetime ahead of the clock
            was first compared with no registrations; None before.
    """

    def __init__(
        self,
        registrations: Registrations,
        wall_clock: Callable[[], float] = time.time,
        steady_clock: Callable[[], float] = seconds_since_boot,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ):
        self.registrations = registrations
        self.wall_clock = wall_clock
        self.steady_clock = steady_clock
        self.monotonic_clock = monotonic_clock
        self.started_at = wall_clock() - steady_clock()
        self.alone_since: float | None = None

    def latest_now(self) -> float:
        """Returns the latest time that it may be, in Unix seconds."""
        return max(self.wall_clock(), self.started_at + self.steady_clock())

    def age_of(self, registration: Registration) -> float:
        """Returns the seconds since an endpoint's start, by this clock."""
        return self.latest_now() - registration.born / 1000

    def problem_of(
        self, registration: Registration, known: Registration | None
    ) -> str | None:
        """Returns why a heartbeat is refused; None if it is plausible.

        Args:
            registration: What the heartbeat says.
            known: The registration of the endpoint that is in force.
        """
        if known is not None and known.born == registration.born:
            return self._problem_of_step(registration, known)
        age = self.age_of(registration)
        if age < -MAX_AHEAD_SECONDS:
            does_harm = age < -FAR_AHEAD_SECONDS or self._displaces(
                registration, known
            )
            if not does_harm or self._is_clock_behind():
                return None
            return f"born: in {-age:.0f} s; set the clock of the endpoint"
        most = MAX_SEQUENCE_STEP + max(0.0, age) * MAX_HEARTBEATS_PER_SECOND
        if registration.sequence > most:
            return f"sequence: more than {most:.0f} heartbeats since the start"
        return None

    def _problem_of_step(
        self, registration: Registration, known: Registration
    ) -> str | None:
        step = registration.sequence - known.sequence
        silent = self.registrations.seconds_since_received(
            known.endpoint, self.monotonic_clock()
        )
        if step > MAX_SEQUENCE_STEP + silent * MAX_HEARTBEATS_PER_SECOND:
            return f"sequence: {step} heartbeats after the last one"
        return None

    def _displaces(
        self, registration: Registration, known: Registration | None
    ) -> bool:
        """Whether a lifetime would end that of an endpoint that is alive."""
        registrations = self.registrations
        at_address = registrations.by_endpoint.get(
            registrations.by_address.get(registration.address, "")
        )
        return any(
            held is not None
            and held.state is not EndpointState.DEPARTED
            and registrations.seconds_since_received(
                held.endpoint, self.monotonic_clock()
            )
            < MAX_SILENT_SECONDS
            for held in (known, at_address)
        )

    def _is_clock_behind(self) -> bool:
        """Whether other lifetimes show that this host's clock is wrong."""
        ages = [
            self.age_of(registration)
            for registration in self.registrations.all()
            if registration.state is not EndpointState.DEPARTED
        ]
        if not ages:
            return self._has_been_alone()
        ahead = sum(age < -MAX_AHEAD_SECONDS for age in ages)
        return 2 * ahead >= len(ages)

    def _has_been_alone(self) -> bool:
        now = self.steady_clock()
        if self.alone_since is None:
            self.alone_since = now
        return now - self.alone_since > MAX_ALONE_SECONDS
