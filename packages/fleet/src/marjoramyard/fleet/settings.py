"""The settings of each role."""

from typing import ClassVar

from marjoramyard.kernel.settings import ROLE_SETTINGS, RoleSettings


class SeededSettings(RoleSettings, kw_only=True):
    """Settings of roles that find the control hosts by themselves.

    Attributes:
        seeds: Public addresses of some control hosts, for the first contact.
        peer_port: The internal port of every control host.
        dialect: Whose names callers, endpoints and operators use.
    """

    seeds: list[str] = []
    peer_port: int = 0
    dialect: str = "native"

    changeable: ClassVar[tuple[str, ...]] = ("seeds",)

    def addresses(self) -> dict[str, str]:
        """Adds the seeds."""
        found = super().addresses()
        for place, text in enumerate(self.seeds):
            found[f"seeds[{place}]"] = text
        return found

    def seed_addresses(self) -> list[str]:
        """Returns the internal addresses of the seeds."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_port}" for host in hosts]


@ROLE_SETTINGS.register("control")
class ControlSettings(SeededSettings, kw_only=True):
    """Settings of a control host.

    Attributes:
        data_folder: The one folder of the replicated log and snapshots; a
            self-forming host without a disk has none and only passes on.
        bootstrap_operators: Ed25519 keys (hex) by operator, trusted until
            the first bundle is in force.
        snapshot_every: Applied entries between snapshots.
        self_forming: The hosts found the cluster and replace lost voters
            by themselves; else `marjoramctl cluster` does.
        operator_listen: Address for endpoints and operators.
        first_start: The whole fleet starts for the first time.
        losses: How many control hosts may be lost at once.
        heartbeat_ms: How often endpoints announce themselves.
        metrics_listen: Another address for the metrics page, or "".
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

    @property
    def voter_count(self) -> int:
        """How many replicas a quorum is counted from."""
        return 2 * self.losses + 1

    def problems(self) -> list[str]:
        """Adds what depends on how the cluster is formed."""
        found = super().problems()
        if not self.self_forming and not self.data_folder:
            found.append("data_folder: name the folder of the log")
        if self.self_forming and not self.operator_listen:
            found.append("operator_listen: give the address for operators")
        if self.losses < 0:
            found.append("losses: must not be below 0")
        return found


@ROLE_SETTINGS.register("gateway")
class GatewaySettings(SeededSettings, kw_only=True):
    """Settings of a gateway.

    Attributes:
        listen: Address for callers.
        ready_listen: Address on which the balancer asks for readiness.
        retry_ratio: Retries for each request, over the whole fleet.
        retry_slack: Retries on top of that in a window, fleet-wide.
        retry_window_seconds: The window that both are counted in.
        revoke_ms: A key that was taken away is refused after this long,
            also by a gateway that is cut off.
        grace_seconds: The time between SIGTERM and SIGKILL.
        processor_cores: What the host gives this process, in cores; the
            gateways with most of it broker for the others.
        max_descriptors: How many files and connections the process may
            have open.
        metrics_listen: Another address for the metrics page, or "".
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

    def addresses(self) -> dict[str, str]:
        """Adds the callers' and the balancer's address."""
        return {
            **super().addresses(),
            "listen": self.listen,
            "ready_listen": self.ready_listen,
        }


@ROLE_SETTINGS.register("entry")
class EntrySettings(RoleSettings, kw_only=True):
    """Settings of an entry host.

    Attributes:
        listen: Address for callers.
        agents_per_service: How many agents of a service it works with; 0
            for all.
        offer_seconds: The longest time between offers to an agent while
            requests wait.
        max_header_bytes: The largest header line.
        caller_stall_seconds: How long a caller may take no bytes.
    """

    listen: str
    agents_per_service: int = 0
    offer_seconds: float = 1.0
    max_header_bytes: int = 8190
    caller_stall_seconds: float = 60.0

    def addresses(self) -> dict[str, str]:
        """Adds the callers' address."""
        return {**super().addresses(), "listen": self.listen}


@ROLE_SETTINGS.register("agent")
class AgentSettings(RoleSettings, kw_only=True):
    """Settings of the process beside an endpoint.

    Attributes:
        endpoint_listen: Address on which its endpoint announces itself.
        max_slots: An upper limit of requests at once; 0 for none.
    """

    endpoint_listen: str
    max_slots: int = 0

    def addresses(self) -> dict[str, str]:
        """Adds the endpoint's address."""
        return {**super().addresses(), "endpoint_listen": self.endpoint_listen}
