"""A replicated table of endpoints that register by heartbeat.

Heartbeats may be delayed, reordered, sent to several nodes or received after
their endpoint has stopped. All nodes merge them by the same rules, so their
tables converge in whatever order heartbeats arrive.
"""

import zlib
from collections.abc import Iterable
from enum import Enum

import msgspec

from marjoramyard.coordination.membership.limits import (
    MAX_COLD_MS,
    MAX_INTEGER,
    MAX_SLOTS,
    check_address,
    check_name,
    check_number,
    check_text,
)

DEPARTED_RETENTION_SECONDS = 120.0
"""How long departed endpoints are remembered, so that heartbeats delayed by
a network partition do not register them again. Partitions last for minutes at
the most, and a record takes some 200 bytes."""
MAX_DELAY_SECONDS = 1.0
"""How late a message about former versions may usually arrive."""
MAX_ENDPOINTS = 20_000
"""Endpoints known at the most. Departed ones are included, so there must be
room for all endpoints of a large fleet to start again under new names."""

MAX_FORMER_VERSIONS = 10_000
"""Former versions known at the most; an endpoint may report another one with
each heartbeat."""


class EndpointState(Enum):
    """State of an endpoint, as last reported."""

    READY = "ready"
    DRAINING = "draining"
    DEPARTED = "departed"


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of an endpoint, as reported by its heartbeat.

    There is none with a value that can't be used: to create or decode it fails.

    Attributes:
        endpoint: Id of the endpoint.
        service: Name of the service that it runs.
        address: Address for requests, as IP:PORT.
        availability_zone: Availability zone that it runs in.
        slots: Maximum number of concurrent requests.
        state: Whether it accepts requests.
        sequence: Number of the heartbeat; restarts with each lifetime.
        born: Start of the lifetime, in milliseconds since the Unix epoch;
            0 if unknown.
        cold_left_ms: How long the endpoint stays cold after this heartbeat.
        software_version: Version of its software, not of a model's weights;
            "" if unknown.
    """

    endpoint: str
    service: str
    address: str
    availability_zone: str = ""
    slots: int = 1
    state: EndpointState = EndpointState.READY
    sequence: int = 0
    born: int = 0
    cold_left_ms: float = 0.0
    software_version: str = ""

    def __post_init__(self):
        """Checks all values.

        Raises:
            ValueError: A value can't be used.
        """
        check_name("endpoint", self.endpoint)
        check_name("service", self.service)
        check_address("address", self.address)
        check_text("availability_zone", self.availability_zone)
        check_text("software_version", self.software_version)
        check_number("slots", self.slots, MAX_SLOTS)
        check_number("sequence", self.sequence, MAX_INTEGER)
        check_number("born", self.born, MAX_INTEGER)
        check_number("cold_left_ms", self.cold_left_ms, MAX_COLD_MS)

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of an endpoint's registrations; the greatest is in force.

        A departure is final for a lifetime. Otherwise the sequence decides,
        so that a delayed "ready" does not undo "draining".
        """
        rank = 0
        if self.state is EndpointState.DEPARTED:
            rank = 1
        return (self.born, rank, self.sequence)


class FormerVersion(msgspec.Struct, frozen=True, array_like=True):
    """A software version that an endpoint of a service had until lately.

    Attributes:
        service: The service.
        version: The software version.
        seconds_ago: When an endpoint last ceased to have it.
    """

    service: str
    version: str
    seconds_ago: float

    def __post_init__(self):
        """Checks the age.

        Raises:
            ValueError: It lies in the future.
        """
        check_number("seconds_ago", self.seconds_ago, MAX_INTEGER)


class Registrations:
    """The endpoints known to one node.

    Times are in seconds on a monotonic clock.

    Attributes:
        by_endpoint: Registration in force of each endpoint id.
        received_at: When that registration was received.
        by_address: Endpoint id by address.
        change_count: The number of changes to `by_endpoint` so far.
        former_versions: When an endpoint of a service last ceased to have a
            software version, by service and version.
    """

    def __init__(self):
        self.former_versions: dict[tuple[str, str], float] = {}
        self.by_endpoint: dict[str, Registration] = {}
        self.received_at: dict[str, float] = {}
        self.by_address: dict[str, str] = {}
        self.change_count = 0

    def merge(self, registration: Registration, now: float) -> bool:
        """Merges a registration received from an endpoint or a node.

        Args:
            registration: The registration received.
            now: Current time.

        Returns:
            Whether it changes more than the heartbeat's sequence number. One of
                an unknown endpoint changes nothing while the table is full.
        """
        known = self.by_endpoint.get(registration.endpoint)
        if known is None and self.is_full:
            return False
        if known is not None and registration.precedence <= known.precedence:
            return False
        if not self._claim_address(registration, now):
            return False
        self.change_count += 1
        self.received_at[registration.endpoint] = now
        if known is not None and _has_left_version(known, registration):
            version = (known.service, known.software_version)
            self._add_former_version(version, now)
        if known is not None and known.address != registration.address:
            self._release_address(known)
        self.by_endpoint[registration.endpoint] = registration
        return known is None or _differs(known, registration)

    @property
    def is_full(self) -> bool:
        """Whether no further endpoint can be registered."""
        return len(self.by_endpoint) >= MAX_ENDPOINTS

    def digest_of(self, endpoint: str) -> int:
        """Returns a digest of a known registration without its sequence."""
        held = msgspec.structs.replace(self.by_endpoint[endpoint], sequence=0)
        return zlib.crc32(msgspec.json.encode(held))

    def confirm(
        self, endpoint: str, sequence: int, digest: int, now: float
    ) -> bool:
        """Merges a heartbeat of which only a digest was received.

        Args:
            endpoint: Id of the endpoint.
            sequence: Number of the heartbeat.
            digest: The sender's `digest_of` the endpoint.
            now: Current time.

        Returns:
            Whether the digest matches the registration in force. Otherwise,
            nothing is changed.
        """
        known = self.by_endpoint.get(endpoint)
        if known is None or self.digest_of(endpoint) != digest:
            return False
        if sequence > known.sequence:
            self.received_at[endpoint] = now
            self.by_endpoint[endpoint] = msgspec.structs.replace(
                known, sequence=sequence
            )
        return True

    def _claim_address(self, registration: Registration, now: float) -> bool:
        """Assigns an address to the endpoint that started there last.

        An address may be reused after an endpoint has crashed. Otherwise a
        delayed heartbeat would register the crashed endpoint again, and its
        requests would be sent to the new endpoint at this address.

        Returns:
            Whether the endpoint may use the address.
        """
        current = self.by_endpoint.get(
            self.by_address.get(registration.address, "")
        )
        if current is not None and current.endpoint != registration.endpoint:
            if current.state is not EndpointState.DEPARTED:
                if current.born > registration.born:
                    return False
                self.by_endpoint[current.endpoint] = msgspec.structs.replace(
                    current, state=EndpointState.DEPARTED
                )
                self.received_at[current.endpoint] = now
        if registration.state is not EndpointState.DEPARTED:
            self.by_address[registration.address] = registration.endpoint
        return True

    def _release_address(self, registration: Registration) -> None:
        """Forgets an address that an endpoint no longer has."""
        if self.by_address.get(registration.address) == registration.endpoint:
            del self.by_address[registration.address]

    def mark_departed(self, endpoint: str, now: float) -> Registration | None:
        """Marks an endpoint as departed.

        Returns:
            The new registration, or None if the endpoint is unknown or has
            already departed.
        """
        known = self.by_endpoint.get(endpoint)
        if known is None or known.state is EndpointState.DEPARTED:
            return None
        departed = msgspec.structs.replace(known, state=EndpointState.DEPARTED)
        self.merge(departed, now)
        return departed

    def seconds_since_received(self, endpoint: str, now: float) -> float:
        """Returns the age in seconds of an endpoint's registration.

        It is 0 for an unknown endpoint.
        """
        return now - self.received_at.get(endpoint, now)

    def usable(self, service: str) -> list[Registration]:
        """Returns the endpoints of a service that accept requests."""
        return [
            registration
            for registration in self.by_endpoint.values()
            if registration.service == service
            and registration.state is EndpointState.READY
        ]

    def all(self) -> Iterable[Registration]:
        """Returns the registrations of all known endpoints."""
        return self.by_endpoint.values()

    def versions(self, service: str, since: float) -> set[str]:
        """Returns the software versions that a service has had.

        Args:
            service: The service.
            since: The time from which on they count; not longer ago than
                `DEPARTED_RETENTION_SECONDS`.
        """
        found = {
            registration.software_version
            for endpoint, registration in self.by_endpoint.items()
            if registration.service == service
            and (
                registration.state is not EndpointState.DEPARTED
                or self.received_at[endpoint] >= since
            )
        }
        found.update(
            version
            for (name, version), left_at in self.former_versions.items()
            if name == service and left_at >= since
        )
        return found

    def list_former_versions(self, now: float) -> list[FormerVersion]:
        """Returns what `versions` knows beyond the registrations in force."""
        return [
            FormerVersion(service, version, round(now - left_at, 1))
            for (service, version), left_at in self.former_versions.items()
        ]

    def merge_former_versions(
        self, former: Iterable[FormerVersion], now: float
    ) -> None:
        """Merges what another node knows of former versions."""
        for each in former:
            version = (each.service, each.version)
            left_at = now - each.seconds_ago
            known_at = self.former_versions.get(version)
            # Nodes that tell each other would otherwise add up the delays of
            # their messages.
            if known_at is None or left_at > known_at + MAX_DELAY_SECONDS:
                self._add_former_version(version, left_at)

    def _add_former_version(
        self, version: tuple[str, str], left_at: float
    ) -> None:
        """Adds a former version; forgets the first one if there are many."""
        self.former_versions.pop(version, None)
        self.former_versions[version] = left_at
        if len(self.former_versions) > MAX_FORMER_VERSIONS:
            del self.former_versions[next(iter(self.former_versions))]

    def expire_departed(self, now: float) -> None:
        """Removes endpoints that departed before the retention period."""
        self.former_versions = {
            version: left_at
            for version, left_at in self.former_versions.items()
            if now - left_at <= DEPARTED_RETENTION_SECONDS
        }
        for endpoint, registration in list(self.by_endpoint.items()):
            if registration.state is not EndpointState.DEPARTED:
                continue
            if (
                self.seconds_since_received(endpoint, now)
                > DEPARTED_RETENTION_SECONDS
            ):
                self.change_count += 1
                del self.by_endpoint[endpoint]
                del self.received_at[endpoint]
                self._release_address(registration)


def _has_left_version(known: Registration, registration: Registration) -> bool:
    """Returns whether an endpoint has no longer the version that it had."""
    return (known.service, known.software_version) != (
        registration.service,
        registration.software_version,
    )


def _differs(known: Registration, registration: Registration) -> bool:
    """Returns whether more than the sequence number differs."""
    same = msgspec.structs.replace(known, sequence=registration.sequence)
    return same != registration
