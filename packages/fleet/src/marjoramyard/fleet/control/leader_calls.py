"""Runs operators' calls on the leader, from any control host."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from marjoramyard.fleet.control.node import no_quorum
from marjoramyard.kernel.errors import Failure, FailureKind, failure

COMMIT_TIMEOUT_SECONDS = 2.5
"""Longer than an election, and shorter than operators wait in all."""
CONFIRM_TIMEOUT_SECONDS = 1.0
LEADER_WAIT_SECONDS = 0.8
"""How long an operator's call waits for a leader. Operators try another host
after a second."""

M = TypeVar("M")
T = TypeVar("T")
LocalCall = Callable[[M], Awaitable[Result[T, Failure]]]


class LeaderCalls:
    """Runs calls on the leader, locally or on another control host."""

    def __init__(self, role):
        self.role = role
        self.address = role.settings.advertised_address
        self.client = role.app.client

    async def call(
        self, call_locally: LocalCall, path: str, message: Any, reply: type[T]
    ) -> Result[T, Failure]:
        """Runs an idempotent call on the leader.

        While the leader is unknown or has changed, the call is retried for
        up to `LEADER_WAIT_SECONDS`.

        Args:
            call_locally: Executes the call if this host leads.
            path: The path of the call on another host.
            message: The request.
            reply: The type of the reply.
        """
        deadline = time.monotonic() + LEADER_WAIT_SECONDS
        while True:
            leader = self.role.leader_address()
            result: Result = Err(no_quorum())
            if leader == self.address:
                result = await call_locally(message)
            elif leader:
                result = await self.client.call(
                    leader, path, message, reply, COMMIT_TIMEOUT_SECONDS + 0.2
                )
            if isinstance(result, Ok) or time.monotonic() > deadline:
                return result
            if leader and result.err_value.kind is not FailureKind.NOT_LEADER:
                return result
            await asyncio.sleep(0.05)

    async def run_for_peer(
        self, call_locally: LocalCall, message: Any
    ) -> Result[Any, Failure]:
        """Runs a call that another control host has received."""
        if self.role.is_leader():
            return await call_locally(message)
        if self.role.running_node is not None:
            return Err(self.role.running_node.not_leader())
        return Err(
            failure(
                FailureKind.NOT_LEADER, "this control host holds no replica"
            )
        )
