"""A client of the control hosts that finds the leader."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from marjoramyard.coordination.governance.commands import Command, Reply
from marjoramyard.fleet.messages import CallLookUp, Query, QueryReply
from marjoramyard.fleet.paths import COMMAND_PATH, LOOK_UP_PATH, QUERY_PATH
from marjoramyard.fleet.util.rpc import InternalClient
from marjoramyard.kernel.errors import Failure, FailureKind, Outcome, failure

T = TypeVar("T")

ATTEMPT_SECONDS = 1.5
"""Timeout of one attempt; a suspended host accepts connections but does not
reply."""
_RETRY_SECONDS = 0.15
_TRANSIENT = frozenset(
    {
        FailureKind.NOT_LEADER,
        FailureKind.NO_QUORUM,
        FailureKind.STORAGE_FULL,
        FailureKind.NO_ENDPOINT,
        FailureKind.UNINITIALISED,
    }
)


class ControlClient:
    """Sends requests to the control leader.

    Follows the leader hints in replies and skips unreachable hosts. All
    requests are idempotent, as they carry the ID of their attempt, change or
    report, and may be sent again when a reply is lost.

    Attributes:
        hosts: The internal addresses of the control hosts.
        leader: The address that the next request is sent to.
        attempt_seconds: The timeout of one attempt.
        known_leader: Returns the leader as known from elsewhere; "" if unknown.
    """

    def __init__(
        self,
        client: InternalClient,
        hosts: list[str],
        attempt_seconds: float = ATTEMPT_SECONDS,
    ):
        self.client = client
        self.hosts = list(hosts)
        self.leader = random.choice(self.hosts)
        self.attempt_seconds = attempt_seconds
        self.known_leader: Callable[[], str] = lambda: ""

    def select_another_host(self, failed: str) -> None:
        """Selects another host than the one that failed."""
        other_hosts = [host for host in self.hosts if host != failed]
        self.leader = random.choice(other_hosts or self.hosts)

    async def call_leader(
        self,
        path: str,
        build: Callable[[], Any],
        reply: type[T],
        timeout: float,
        attempt_seconds: float | None = None,
    ) -> Result[T, Failure]:
        """Sends a message to the leader until it replies or the time is up.

        Args:
            path: The path to post to.
            build: Returns the message, for each attempt anew.
            reply: The type of the reply.
            timeout: The total time in seconds.
            attempt_seconds: The time for each attempt in seconds; None for
                that of this client.

        Returns:
            The reply, or the failure of the last attempt.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        attempt_seconds = attempt_seconds or self.attempt_seconds
        failed = ""
        while True:
            seconds_left = deadline - loop.time()
            if (known := self.known_leader()) not in ("", failed):
                self.leader = known
            address = self.leader
            result = await self.client.call(
                address,
                path,
                build(),
                reply,
                min(attempt_seconds, max(seconds_left, 0.1)),
            )
            if isinstance(result, Ok):
                return result
            failed = address
            reason = result.err_value
            if reason.kind not in _TRANSIENT:
                return result
            if reason.leader and reason.leader != address:
                self.leader = reason.leader
            else:
                self.select_another_host(address)
            wait_seconds = _RETRY_SECONDS * random.uniform(0.5, 1.5)
            if loop.time() + wait_seconds >= deadline:
                return Err(self._no_leader_failure(reason))
            await asyncio.sleep(wait_seconds)

    @staticmethod
    def _no_leader_failure(last: Failure) -> Failure:
        return failure(
            FailureKind.NO_QUORUM,
            f"no control leader replied (last failure: {last.message})",
            Outcome.UNKNOWN,
            retry_after=last.retry_after or 2.0,
        )

    async def command(
        self, command: Command, timeout: float = 5.0
    ) -> Result[Reply, Failure]:
        """Has the control hosts replicate and apply a command."""
        return await self.command_built_by(lambda: command, timeout)

    async def command_built_by(
        self, build: Callable[[], Command], timeout: float
    ) -> Result[Reply, Failure]:
        """Sends a command that tells a time relative to its sending."""
        return await self.call_leader(COMMAND_PATH, build, Reply, timeout)

    async def look_up(
        self, key: str, body_digest: str, timeout: float = 5.0
    ) -> Result[Reply, Failure]:
        """Looks up a call in the ledger."""
        message = CallLookUp(key, body_digest)
        return await self.call_leader(
            LOOK_UP_PATH, lambda: message, Reply, timeout
        )

    async def query(
        self, subject: str, argument: str = "", timeout: float = 8.0
    ) -> Result[QueryReply, Failure]:
        """Sends an operator's query."""
        message = Query(subject, argument)
        return await self.call_leader(
            QUERY_PATH, lambda: message, QueryReply, timeout
        )
