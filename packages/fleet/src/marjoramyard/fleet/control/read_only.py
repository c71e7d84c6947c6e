"""What a replica still does while its disk refuses writes."""

from collections.abc import Iterator

import msgspec

from marjoramyard.coordination.consensus.core import RaftCore
from marjoramyard.coordination.consensus.messages import (
    Append,
    Envelope,
    InstallSnapshot,
)
from marjoramyard.coordination.consensus.replica import NO_REPLICA, Role
from marjoramyard.kernel.errors import Failure, FailureKind, failure


def without_writes(
    core: RaftCore, envelopes: list[Envelope]
) -> Iterator[Envelope]:
    """Yields the messages that a replica can handle without writing.

    A leader handles all of them. Followers confirm its leadership, and apply
    what they have stored. Entries, snapshots, votes and newer terms must be on
    disk before they are acknowledged.
    """
    for envelope in envelopes:
        message = envelope.message
        if core.role is Role.LEADER:
            yield envelope
        elif isinstance(message, Append) and message.term == core.term:
            heartbeat = msgspec.structs.replace(message, entries=[])
            yield msgspec.structs.replace(envelope, message=heartbeat)
        elif isinstance(message, Append | InstallSnapshot):
            core.leader = NO_REPLICA


def storage_full(retry_after: float) -> Failure:
    """Returns the failure of a change that can't be stored."""
    return failure(
        FailureKind.STORAGE_FULL,
        "the disk of the leading control host refuses writes, nothing was "
        "changed; make room in its data_folder, then send it again",
        retry_after=retry_after,
    )
