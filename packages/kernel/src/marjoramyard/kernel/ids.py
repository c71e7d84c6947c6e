"""Types of identifiers used throughout the fleet."""

import secrets
from typing import NewType

WorkspaceId = NewType("WorkspaceId", str)
ServiceId = NewType("ServiceId", str)
HostName = NewType("HostName", str)
Zone = NewType("Zone", str)
ReplicaId = NewType("ReplicaId", str)
"""A control host's data folder; a replaced or wiped disk gets a new id."""
Incarnation = NewType("Incarnation", str)
"""One run of a process: the host name and a random suffix."""
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)
"""A digest of a request's workspace, route and body."""
StreamKey = NewType("StreamKey", str)
"""A digest of a workspace and its ID of the attempt that began a stream."""

_SUFFIX_BYTES = 4


def new_incarnation(name: str) -> Incarnation:
    """Returns a unique id for the current run of the process `name`."""
    return Incarnation(f"{name}~{secrets.token_hex(_SUFFIX_BYTES)}")


def new_attempt_id() -> AttemptId:
    """Returns an attempt id that is unique across all requests."""
    return AttemptId(secrets.token_hex(12))
