"""The settings of the daemon's roles."""

from typing import ClassVar

from marjoramyard.kernel.settings import ROLE_SETTINGS, RoleSettings

LOG_SHARE_OF_MEMORY = 0.25
"""The part of a control host's memory for the log and what is sent of it."""


class SeededSettings(RoleSettings, kw_only=True):
    """Settings of roles that discover the control hosts.

    Attributes:
        seeds: Public addresses of some control hosts, for the first contact.
        peer_port: The internal port of every control host.
        dialect: The HTTP interface for callers, endpoints and operators.
    """

    seeds: list[str] = []
    peer_port: int = 0
    dialect: str = "native"

    changeable: ClassVar[tuple[str, ...]] = ("seeds",)

    def addresses(self) -> dict[str, str]:
        """Returns all addresses, including the seeds."""
        found = super().addresses()
        for index, text in enumerate(self.seeds):
            found[f"seeds[{index}]"] = text
        return found

    def seed_addresses(self) -> list[str]:
        """Returns the internal addresses of the seeds."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_port}" for host in hosts]


@ROLE_SETTINGS.register("control")
class ControlSettings(SeededSettings, kw_only=True):
    """Settings of a control host.

    Attributes:
        data_folder: The folder of the replicated log and snapshots; "" for a
            self-forming host without a disk, which only forwards calls.
        bootstrap_operators: Ed25519 keys (hex) by operator, trusted until
            the first bundle is in force.
        snapshot_every: The number of applied entries between snapshots.
        self_forming: Whether the hosts bootstrap the cluster and replace
            failed voters themselves; otherwise `marjoramctl cluster` does.
        operator_listen: The address for endpoints and operators.
        first_start: Whether the complete fleet starts for the first time.
        losses: The number of control hosts that may fail at the same time.
        heartbeat_ms: The interval of endpoints' heartbeats.
        metrics_listen: An additional address for the metrics page, or "".
        availability_zones: The zones that operators may evacuate; empty for
            any.
        disk_mb: The size of the data folder's disk; 0 or None if not limited.
    """

    data_folder: str = ""
    bootstrap_operators: dict[str, str] = {}
    snapshot_every: int = 5000
    self_forming: bool = False
    operator_listen: str = ""
    first_start: bool = False
    losses: int = 1
    heartbeat_ms: float = 1200.0
    metrics_listen: str = ""
    availability_zones: list[str] = []
    disk_mb: float | None = None

    @property
    def stored_bytes(self) -> int:
        """The bytes of memory for the log and what is sent of it."""
        return int((self.memory_mb or 0) * 1e6 * LOG_SHARE_OF_MEMORY)

    @property
    def voter_count(self) -> int:
        """The number of voters that tolerates `losses` failures."""
        return 2 * self.losses + 1

    def problems(self) -> list[str]:
        """Returns all problems, including those of forming the cluster."""
        found = super().problems()
        if not self.self_forming and not self.data_folder:
            found.append("data_folder: required without self_forming")
        if self.self_forming and not self.operator_listen:
            found.append("operator_listen: required with self_forming")
        if self.losses < 0:
            found.append("losses: must not be negative")
        if self.disk_mb is not None and self.disk_mb < 0:
            found.append("disk_mb: must not be negative")
        return found


@ROLE_SETTINGS.register("gateway")
class GatewaySettings(SeededSettings, kw_only=True):
    """Settings of a gateway.

    Attributes:
        listen: The address for callers.
        ready_listen: The address for the load balancer's readiness checks.
        retry_ratio: The retries allowed per request, over the whole fleet.
        retry_slack: Additional retries per window, over the whole fleet.
        retry_window_seconds: The window in which both are counted.
        revoke_ms: The longest time for which a revoked key is accepted, also
            by a gateway that is disconnected from the control hosts.
        grace_seconds: The time between SIGTERM and SIGKILL.
        processor_cores: The processor cores available to this process; the
            gateways with the most are preferred as brokers.
        max_descriptors: The most file descriptors that the process may have
            open, connections included.
        metrics_listen: An additional address for the metrics page, or "".
        forwarding_port_offset: The port for requests that other gateways
            forward, relative to the port of `internal`; 0 for none. Any process
            that reaches it is treated like a caller.
        cold_overrun: What a cold endpoint must not get in any second, summed
            over the fleet, is this multiple of what it tolerates, plus
            `cold_slack`.
        cold_slack: See `cold_overrun`.
        startup_wait_seconds: How long after its start the gateway holds
            requests until it has a configuration and a lease; 0 to refuse them
            at once.
    """

    listen: str
    ready_listen: str
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_seconds: float = 10.0
    revoke_ms: float = 5000.0
    grace_seconds: float = 8.0
    processor_cores: float = 1.0
    max_descriptors: int = 1024
    metrics_listen: str = ""
    forwarding_port_offset: int = 0
    cold_overrun: float = 1.5
    cold_slack: float = 5.0
    startup_wait_seconds: float = 0.0

    @property
    def stop_seconds(self) -> float:
        """The seconds from the signal to stop to the end of the process."""
        return min(self.drain_seconds, self.grace_seconds)

    def forwarding_address(self) -> str:
        """Returns the address for forwarded requests; "" if there is none."""
        if not self.forwarding_port_offset:
            return ""
        host, _, port = self.internal.rpartition(":")
        return f"{host}:{int(port) + self.forwarding_port_offset}"

    def addresses(self) -> dict[str, str]:
        """Returns all addresses, including the two listening ones."""
        return {
            **super().addresses(),
            "listen": self.listen,
            "ready_listen": self.ready_listen,
        }


@ROLE_SETTINGS.register("entry")
class EntrySettings(RoleSettings, kw_only=True):
    """Settings of an entry.

    Attributes:
        listen: The address for callers.
        agents_per_service: The number of agents of a service that the entry
            uses; 0 for all.
        offer_seconds: The longest time between offers to an agent while
            requests are queued.
        max_header_bytes: The largest header line.
        caller_stall_seconds: The longest time for which a caller may accept
            no data of a response.
    """

    listen: str
    agents_per_service: int = 0
    offer_seconds: float = 1.0
    max_header_bytes: int = 8190
    caller_stall_seconds: float = 60.0

    def addresses(self) -> dict[str, str]:
        """Returns all addresses, including the callers' one."""
        return {**super().addresses(), "listen": self.listen}


@ROLE_SETTINGS.register("agent")
class AgentSettings(RoleSettings, kw_only=True):
    """Settings of an agent, the process beside an endpoint.

    Attributes:
        endpoint_listen: The address on which its endpoint announces itself.
        max_slots: The most concurrent requests; 0 for no limit.
    """

    endpoint_listen: str
    max_slots: int = 0

    def addresses(self) -> dict[str, str]:
        """Returns all addresses, including the one for its endpoint."""
        return {**super().addresses(), "endpoint_listen": self.endpoint_listen}
