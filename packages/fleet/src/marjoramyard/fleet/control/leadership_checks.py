"""Confirms leadership for many polls at once."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok, Result

from marjoramyard.kernel.errors import Failure

GROUP_SECONDS = 0.1
"""How long a check waits for others that it can serve. Each check costs a
message to every voter and back."""


class LeadershipChecks:
    """Groups the checks of gateways' polls.

    A check that starts after a poll has arrived is valid for that poll.

    Attributes:
        confirm: Confirms leadership with a quorum.
        pending: The next check, while polls may still join it.
    """

    def __init__(self, confirm: Callable[[], Awaitable[Result[int, Failure]]]):
        self.confirm = confirm
        self.pending: asyncio.Task[bool] | None = None

    async def is_confirmed(self, is_urgent: bool) -> bool:
        """Returns whether a quorum has confirmed leadership since the call.

        Args:
            is_urgent: Whether to check at once.
        """
        if is_urgent:
            return isinstance(await self.confirm(), Ok)
        if self.pending is None:
            self.pending = asyncio.ensure_future(self._check_later())
        return await asyncio.shield(self.pending)

    async def _check_later(self) -> bool:
        await asyncio.sleep(GROUP_SECONDS)
        self.pending = None
        return isinstance(await self.confirm(), Ok)
