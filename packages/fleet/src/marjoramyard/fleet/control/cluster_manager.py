"""Bootstraps the cluster at the first start and replaces failed voters.

Control hosts are configured with a few seed addresses and discover each other
by announcements. One of them bootstraps the cluster; from then on, the leader
maintains the configured number of voters.
"""

import asyncio
import time

import msgspec
from result import Err, Ok

from marjoramyard.coordination.consensus.membership_plan import (
    AvailableHost,
    apply_step,
    next_step,
)
from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.coordination.consensus.replica import Role
from marjoramyard.fleet import paths
from marjoramyard.fleet.control.member_states import (
    MemberReport,
    member_states,
)
from marjoramyard.fleet.messages import Empty, InitCluster
from marjoramyard.fleet.sync_messages import (
    ControlHost,
    HostAnnouncement,
    HostAnnouncementReply,
)
from marjoramyard.fleet.util.tasks import log_failure
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

ANNOUNCE_INTERVAL_SECONDS = 0.3
"""A host that comes back with an empty disk must be a voter again within some
six announcements, an election included: until then another loss is one too
many."""
LAST_ANNOUNCEMENT_SECONDS = 0.3
"""How long a host that stops waits for the replies to its last announcements.
"""
CALL_TIMEOUT_SECONDS = 0.7
"""A host that is cut off must not hold up the next announcement for long."""
MAX_ANNOUNCEMENT_AGE_SECONDS = 1.5
"""Hosts whose last announcement is older are not added to the cluster."""
VOTER_TIMEOUT_SECONDS = 4.0
"""An unresponsive voter is replaced after this time if another host is
available. Longer than an election (2.4 s at most), during which nothing is
received."""
BOOTSTRAP_DELAY_SECONDS = 1.0
"""How long the bootstrap host waits for announcements before it chooses the
first voters, so that hosts whose start took a little longer are among them."""
HOST_TIMEOUT_SECONDS = 30.0
"""Hosts without an announcement for this time are no longer called; seeds and
members always are. Most network partitions heal sooner."""
MEMBERSHIP_STEP_TIMEOUT_SECONDS = 1.0
"""A change that is not committed by then is planned again."""


class ClusterManager:
    """Announces this control host and maintains the cluster's membership.

    Attributes:
        hosts: The last announcement of each other host, by internal address.
        last_received_at: When it was received (monotonic), by address.
        last_active_at: When the host last announced that its replica is not
            stopped (monotonic), by address.
        addresses: Internal addresses to announce this host to.
        not_leader_at: When this host was last seen not to lead (monotonic).
        leader_address: The leader named by other hosts; "" if unknown.
        pending_announcements: Addresses with an unfinished announcement.
        pending_initialisations: Addresses with an unfinished initialisation.
        member_report: The states of the members, on the leader.
    """

    def __init__(self, role):
        self.role = role
        self.settings = role.settings
        self.client = role.app.client
        self.hosts: dict[str, ControlHost] = {}
        self.last_received_at: dict[str, float] = {}
        self.last_active_at: dict[str, float] = {}
        self.addresses: set[str] = set()
        self.not_leader_at = time.monotonic()
        self.started_at = time.monotonic()
        self.leader_address = ""
        self.pending_announcements: set[str] = set()
        self.pending_initialisations: set[str] = set()
        self.member_report = MemberReport()

    def describe(self) -> ControlHost:
        """Returns the description of this host in announcements."""
        role = self.role
        replica = cluster = ""
        entries = 0
        identity = role.storage.identity if role.storage is not None else None
        if identity is not None:
            replica, cluster = str(identity.replica), identity.cluster
        elif role.storage is not None:
            replica = str(role.unassigned_replica_id)
        if role.running_node is not None:
            entries = role.running_node.core.log.last_index
        return ControlHost(
            self.settings.name,
            self.settings.advertised_address,
            self.settings.operator_listen,
            self.settings.zone,
            replica,
            cluster,
            role.is_first_start,
            entries,
            role.service.observed_seconds(),
            is_stopped=identity is not None and role.running_node is None,
            epoch=role.service.endpoints.epoch,
            records_versions=True,
        )

    # Announcing.

    async def run(self) -> None:
        """Announces this host and maintains the cluster until cancelled."""
        while True:
            for address in self.peer_addresses():
                if address not in self.pending_announcements:
                    self.role.app.tasks.spawn(self._announce_to(address))
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
            self._expire_hosts()
            with log_failure("maintain the cluster"):
                await self._maintain_cluster()

    def peer_addresses(self) -> list[str]:
        """Returns the internal addresses of the other control hosts."""
        known = self.addresses | set(self.settings.seed_addresses())
        if self.role.running_node is not None:
            membership = self.role.running_node.core.membership
            known |= set(membership.addresses.values())
        return sorted(known - {self.settings.advertised_address})

    async def announce_last(self) -> None:
        """Announces what the other hosts lack, before this one stops."""
        announcements = [
            self.role.app.tasks.spawn(self._announce_to(address))
            for address in self.peer_addresses()
        ]
        if announcements:
            await asyncio.wait(announcements, timeout=LAST_ANNOUNCEMENT_SECONDS)

    async def _announce_to(self, address: str) -> None:
        self.pending_announcements.add(address)
        try:
            endpoints = self.role.service.endpoints
            updates, alive = endpoints.take_updates(address)
            reply = await self.client.call(
                address,
                paths.ANNOUNCE_PATH,
                HostAnnouncement(
                    self.describe(),
                    updates,
                    alive,
                    endpoints.list_former_versions(),
                ),
                HostAnnouncementReply,
                CALL_TIMEOUT_SECONDS,
            )
        finally:
            self.pending_announcements.discard(address)
        if isinstance(reply, Ok):
            endpoints.announce_in_full(address, reply.ok_value.unmatched)
            self._record_host(reply.ok_value.host)
            self.addresses.update(reply.ok_value.addresses)
            if reply.ok_value.leader:
                self.leader_address = reply.ok_value.leader
        else:
            endpoints.announce_all(address)

    def on_announce(self, message: HostAnnouncement) -> HostAnnouncementReply:
        """Applies another host's announcement."""
        self._record_host(message.host)
        endpoints = self.role.service.endpoints
        endpoints.merge_former_versions(message.former_versions)
        unmatched = endpoints.merge_updates(message.words, message.alive)
        return HostAnnouncementReply(
            self.describe(),
            [*self.recent_addresses()],
            self.role.leader_address(),
            unmatched,
        )

    def _record_host(self, host: ControlHost) -> None:
        if host.address not in self.hosts:
            logger.info("control_host_discovered", peer=host.name)
        self.hosts[host.address] = host
        self.last_received_at[host.address] = time.monotonic()
        if not host.is_stopped:
            self.last_active_at[host.address] = time.monotonic()
        self.addresses.add(host.address)
        self.role.service.endpoints.on_heard(host.address, host.epoch)
        self.role.service.observation.on_heard(
            host.address, host.observed_seconds
        )
        if self._must_initialise(host):
            self.pending_initialisations.add(host.address)
            self.role.app.tasks.spawn(self._initialise_empty_host(host))

    def recent_addresses(self) -> list[str]:
        """Returns the addresses of this host and of recently seen hosts."""
        now = time.monotonic()
        return [self.settings.advertised_address] + [
            address
            for address, at in self.last_received_at.items()
            if now - at < HOST_TIMEOUT_SECONDS
        ]

    def is_isolated(self) -> bool:
        """Whether most of the other known hosts have not announced lately."""
        return 2 * len(self.recent_peers()) < len(self.peer_addresses())

    def recent_peers(self) -> list[str]:
        """Returns the other control hosts that have announced lately."""
        now = time.monotonic()
        return [
            address
            for address, at in self.last_received_at.items()
            if now - at < MAX_ANNOUNCEMENT_AGE_SECONDS
        ]

    def _expire_hosts(self) -> None:
        """Drops hosts without an announcement within the timeout."""
        now = time.monotonic()
        for address, at in list(self.last_received_at.items()):
            if now - at > HOST_TIMEOUT_SECONDS:
                del self.last_received_at[address]
                self.last_active_at.pop(address, None)
                del self.hosts[address]
                self.addresses.discard(address)
                self.role.service.observation.on_lost(address)

    # Bootstrap.

    async def _maintain_cluster(self) -> None:
        if self._may_bootstrap():
            await self._bootstrap()
        elif self._leads():
            # Between the promotion of a voter and the removal of the lost one
            # a quorum needs one more voter.
            while await self._repair_membership():
                continue
        elif self.role.running_node is not None:
            self.not_leader_at = time.monotonic()
            self.member_report.clear()

    def _leads(self) -> bool:
        node = self.role.running_node
        return node is not None and node.core.role is Role.LEADER

    def _is_bootstrap_host(self) -> bool:
        """Whether this host is the one that bootstraps the cluster.

        That is the first seed. All hosts have the same seeds at the first
        start, so no second cluster can be formed.
        """
        seeds = self.settings.seeds
        return bool(seeds) and seeds[0] == self.settings.operator_listen

    def _may_bootstrap(self) -> bool:
        if not self.role.is_first_start or not self._is_bootstrap_host():
            return False
        hosts = [*self.hosts.values(), self.describe()]
        if any(host.cluster for host in hosts):
            return False
        return time.monotonic() - self.started_at > BOOTSTRAP_DELAY_SECONDS

    async def _bootstrap(self) -> None:
        available = [
            h for h in [*self.hosts.values(), self.describe()] if h.replica
        ]
        wanted = self.settings.voter_count
        if 2 * len(available) <= wanted:
            # So many hosts may have lost their disks: there may be a cluster
            # whose other hosts are down.
            return
        waited = time.monotonic() - self.started_at
        if len(available) < wanted and waited < 3 * BOOTSTRAP_DELAY_SECONDS:
            return
        chosen = choose_across_zones(available, wanted)
        membership = Membership(
            tuple(ReplicaId(h.replica) for h in chosen),
            (),
            {ReplicaId(h.replica): h.address for h in chosen},
        )
        cluster = f"{self.settings.name}-{chosen[0].replica}"
        logger.info(
            "cluster_founded", cluster=cluster, voters=[h.name for h in chosen]
        )
        for host in chosen:
            await self._initialise_host(host.address, cluster, membership)

    async def _initialise_host(
        self, address: str, cluster: str, membership: Membership
    ) -> bool:
        """Initialises a host; returns whether it has confirmed that."""
        if address == self.settings.advertised_address:
            self.role.initialise(cluster, membership)
            return True
        reply = await self.client.call(
            address,
            paths.INIT_PATH,
            InitCluster(cluster, membership),
            Empty,
            2 * CALL_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Err):
            logger.warning(
                "host_initialise_failed", peer=address, why=str(reply)
            )
        return isinstance(reply, Ok)

    def _must_initialise(self, host: ControlHost) -> bool:
        """Whether this host leads and the other one's disk is empty."""
        return (
            bool(host.replica)
            and not host.cluster
            and host.address not in self.pending_initialisations
            and self._leads()
        )

    async def _initialise_empty_host(self, host: ControlHost) -> None:
        """Lets a host with an empty disk create a replica of this cluster.

        This is repeated with each announcement of the host until it announces
        that it holds one, whether or not it is a member.
        """
        try:
            cluster = self.role.storage.identity.cluster
            done = await self._initialise_host(
                host.address, cluster, Membership()
            )
        finally:
            self.pending_initialisations.discard(host.address)
        if done and self.hosts.get(host.address) is host:
            self.hosts[host.address] = msgspec.structs.replace(
                host, cluster=cluster
            )

    # Replacement of failed voters.

    async def _repair_membership(self) -> bool:
        """Makes the next change; returns whether another one may follow."""
        now = time.monotonic()
        core = self.role.running_node.core
        lost = self._lost_members(now)
        self.member_report.update(
            core.membership, member_states(core.membership, lost, self.hosts)
        )
        step = next_step(
            core.membership,
            self.settings.voter_count,
            self._available_hosts(now),
            lost,
            {r for r in core.membership.learners if core.is_caught_up(r)},
        )
        if step is None:
            return False
        membership = apply_step(core.membership, step)
        result = await self.role.running_node.change_membership(
            membership, MEMBERSHIP_STEP_TIMEOUT_SECONDS
        )
        logger.info(
            "membership_step",
            step=step.kind.value,
            replica=step.replica,
            done=isinstance(result, Ok),
        )
        return isinstance(result, Ok) and self._leads()

    def _available_hosts(self, now: float) -> list[AvailableHost]:
        """Returns recently announced hosts that hold a replica.

        One that holds none yet would stay a member that can't take part.
        """
        cluster = self.role.storage.identity.cluster
        found = []
        for address, host in self.hosts.items():
            is_recent = (
                now - self.last_received_at[address]
                < MAX_ANNOUNCEMENT_AGE_SECONDS
            )
            holds_replica = host.cluster == cluster and not host.is_stopped
            if holds_replica and is_recent:
                found.append(
                    AvailableHost(ReplicaId(host.replica), address, host.zone)
                )
        return found

    def _lost_members(self, now: float) -> set[ReplicaId]:
        """Returns the members to replace.

        A member whose address announces another replica has lost its disk
        and is replaced at once. One that is unresponsive, or whose replica is
        stopped, is replaced after `VOTER_TIMEOUT_SECONDS`.
        """
        lost = set()
        core = self.role.running_node.core
        for replica, address in core.membership.addresses.items():
            if replica == core.replica_id:
                continue
            host = self.hosts.get(address)
            at = max(self.last_active_at.get(address, 0.0), self.not_leader_at)
            if host is not None and host.replica not in ("", replica):
                lost.add(replica)
            elif now - at > VOTER_TIMEOUT_SECONDS:
                lost.add(replica)
        return lost


def choose_across_zones(
    hosts: list[ControlHost], wanted: int
) -> list[ControlHost]:
    """Chooses hosts from as many availability zones as possible."""
    remaining = sorted(hosts, key=lambda host: host.name)
    chosen: list[ControlHost] = []
    while remaining and len(chosen) < wanted:
        chosen_in = {zone: 0 for zone in {host.zone for host in remaining}}
        for host in chosen:
            chosen_in[host.zone] = chosen_in.get(host.zone, 0) + 1
        best = min(remaining, key=lambda host: chosen_in[host.zone])
        remaining.remove(best)
        chosen.append(best)
    return chosen
