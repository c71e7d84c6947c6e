"""Requests that wait while all endpoints of their service pause."""

import asyncio
import random
import time

from marjoramyard.fleet.entry.requests import CallerRequest
from marjoramyard.kernel.errors import (
    Failure,
    FailureKind,
    FleetError,
    failure,
)


class PausedAgents:
    """The agents of one service whose endpoints have asked for a pause.

    Attributes:
        ends: When each pause ends, by the agent's address; monotonic time, in
            seconds.
    """

    def __init__(self):
        self.ends: dict[str, float] = {}

    def record(self, address: str, seconds: float) -> None:
        """Records how long an agent's endpoint still pauses."""
        if seconds > 0.0:
            self.ends[address] = time.monotonic() + seconds
        else:
            self.ends.pop(address, None)

    def first_end(self, addresses: list[str]) -> float:
        """Returns when the first pause ends, if all of these agents pause.

        0.0 if any of them does not.
        """
        end = min((self.ends.get(a, 0.0) for a in addresses), default=0.0)
        return end if end > time.monotonic() else 0.0


class WaitingRequests:
    """Requests that wait for an agent, with their deadlines.

    Attributes:
        deadlines: Monotonic time in seconds, by what each request awaits.
    """

    def __init__(self):
        self.deadlines: dict[asyncio.Future, float] = {}

    def add(self, waiting: asyncio.Future, request: CallerRequest) -> None:
        """Adds a request, until `waiting` is done."""
        self.deadlines[waiting] = time.monotonic() + request.seconds_left()
        waiting.add_done_callback(lambda done: self.deadlines.pop(done, None))

    def refuse_until(self, end: float) -> None:
        """Refuses those that can't be served before a pause ends."""
        for waiting, deadline in list(self.deadlines.items()):
            if deadline < end and not waiting.done():
                waiting.set_exception(FleetError(pause_refusal(end)))


def pause_refusal(end: float) -> Failure:
    """Returns the refusal of a request until a pause ends."""
    seconds = max(0.0, end - time.monotonic())
    return failure(
        FailureKind.NO_ENDPOINT,
        "all endpoints of the service have asked for a pause; retry later",
        retry_after=seconds + random.uniform(0.0, 1.0),
    )
