"""Identifiers that the whole fleet shares."""

import secrets
from typing import NewType

WorkspaceId = NewType("WorkspaceId", str)
ServiceId = NewType("ServiceId", str)
HostName = NewType("HostName", str)
Zone = NewType("Zone", str)
ReplicaId = NewType("ReplicaId", str)
"""One life of a control host's data folder; a wiped disk gets a new one."""
Incarnation = NewType("Incarnation", str)
"""One life of a process: the host name and a random suffix."""
AttemptId = NewType("AttemptId", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)
"""A digest of a request's workspace, route and body."""

_SUFFIX_BYTES = 4


def new_incarnation(name: str) -> Incarnation:
    """Returns an id for one life of the process called `name`."""
    return Incarnation(f"{name}~{secrets.token_hex(_SUFFIX_BYTES)}")


def new_attempt_id() -> AttemptId:
    """Returns an id that no other attempt of any request has."""
    return AttemptId(secrets.token_hex(12))
