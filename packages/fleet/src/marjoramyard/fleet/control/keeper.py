"""Forms the cluster at the first start and replaces voters that are lost.

Control hosts are told only a few addresses. They announce themselves to
each other; one of them founds the cluster, and from then on the leader sees
to it that as many voters as are wanted are alive.
"""

import asyncio
import time

from result import Err, Ok

from marjoramyard.coordination.consensus.membership_plan import (
    AvailableHost,
    Step,
    StepKind,
    apply_step,
    next_step,
)
from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.coordination.consensus.replica import Role
from marjoramyard.fleet import paths
from marjoramyard.fleet.messages import Empty, InitCluster
from marjoramyard.fleet.syncing import Announce, AnnounceReply, ControlHost
from marjoramyard.kernel.ids import ReplicaId
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

ANNOUNCE_SECONDS = 0.3
"""A host that comes back with an empty disk must be a voter again within some
six announcements, an election included: until then another loss is one too
many."""
CALL_SECONDS = 0.7
"""A cut peer must not hold up the next announcement for long."""
FRESH_SECONDS = 1.5
"""An announcement older than this says nothing of the present."""
LOST_SECONDS = 4.0
"""A voter that is silent for so long is replaced if a spare stands by. An
election takes 2.4 s at most, so a leader does not judge by its own start."""
SETTLE_SECONDS = 1.0
"""How long the founder listens before it chooses the first voters, so that
hosts whose start took a moment longer are among those it chooses from."""
FORGET_SECONDS = 30.0
"""A host that was not heard for so long is called no more. Most partitions
heal sooner, and seeds and voters are called for ever."""
STEP_SECONDS = 1.0
"""A change that is not committed by then is looked at anew."""


class ClusterKeeper:
    """Announces this control host and keeps the membership in order."""

    def __init__(self, role):
        self.role = role
        self.settings = role.settings
        self.client = role.app.client
        self.seen: dict[str, ControlHost] = {}
        self.seen_at: dict[str, float] = {}
        self.addresses: set[str] = set()
        self.led_since = time.monotonic()
        self.started_at = time.monotonic()
        self.leader_address = ""
        self.busy: set[str] = set()

    def me(self) -> ControlHost:
        """Returns what this host says of itself."""
        role = self.role
        replica = cluster = ""
        entries = 0
        if role.storage is not None:
            replica = str(role.spare_id)
        if role.running is not None:
            replica = str(role.running.core.replica_id)
            cluster = role.storage.identity.cluster
            entries = role.running.core.log.last_index
        return ControlHost(
            self.settings.name,
            self.settings.advertised_address,
            self.settings.operator_listen,
            self.settings.zone,
            replica,
            cluster,
            self.settings.first_start,
            entries,
        )

    # Announcing.

    async def run(self) -> None:
        """Announces this host until cancelled."""
        while True:
            for address in self.peers():
                if address not in self.busy:
                    self.role.app.tasks.spawn(self._announce_to(address))
            await asyncio.sleep(ANNOUNCE_SECONDS)
            self._forget()
            await self._found_or_mend()

    def peers(self) -> list[str]:
        """Returns the internal addresses of the other control hosts."""
        known = self.addresses | set(self.settings.seed_peers())
        if self.role.running is not None:
            membership = self.role.running.core.membership
            known |= set(membership.addresses.values())
        return sorted(known - {self.settings.advertised_address})

    async def _announce_to(self, address: str) -> None:
        self.busy.add(address)
        try:
            words = self.role.service.words_for(address)
            told = await self.client.call(
                address,
                paths.ANNOUNCE_PATH,
                Announce(self.me(), words),
                AnnounceReply,
                CALL_SECONDS,
            )
        finally:
            self.busy.discard(address)
        if isinstance(told, Ok):
            self._note(told.ok_value.host)
            self.addresses.update(told.ok_value.addresses)
            if told.ok_value.leader:
                self.leader_address = told.ok_value.leader
        else:
            self.role.service.words_lost(address)

    def on_announce(self, message: Announce) -> AnnounceReply:
        """Takes in another host's announcement."""
        self._note(message.host)
        self.role.service.hear(message.words)
        return AnnounceReply(
            self.me(), [*self.fresh_addresses()], self.role.leader_address()
        )

    def _note(self, host: ControlHost) -> None:
        if host.address not in self.seen:
            logger.info("control_host_found", peer=host.name)
        self.seen[host.address] = host
        self.seen_at[host.address] = time.monotonic()
        self.addresses.add(host.address)

    def fresh_addresses(self) -> list[str]:
        """Returns the addresses of the hosts heard lately, and ours."""
        now = time.monotonic()
        return [self.settings.advertised_address] + [
            address
            for address, at in self.seen_at.items()
            if now - at < FORGET_SECONDS
        ]

    def _forget(self) -> None:
        """Drops hosts that are long gone, so that nobody calls them."""
        now = time.monotonic()
        for address, at in list(self.seen_at.items()):
            if now - at > FORGET_SECONDS:
                del self.seen_at[address]
                del self.seen[address]
                self.addresses.discard(address)

    # Founding.

    async def _found_or_mend(self) -> None:
        if self._may_found():
            await self._found()
        elif self.role.running is not None:
            if self.role.running.core.role is Role.LEADER:
                await self._mend()
            else:
                self.led_since = time.monotonic()

    def _is_founder(self) -> bool:
        """Whether this host is the one that forms the cluster.

        All hosts get the same seeds at the first start; the first of them
        decides alone, so two clusters can't form beside each other.
        """
        seeds = self.settings.seeds
        return bool(seeds) and seeds[0] == self.settings.operator_listen

    def _may_found(self) -> bool:
        if not self.settings.first_start or not self._is_founder():
            return False
        hosts = [*self.seen.values(), self.me()]
        if any(host.cluster for host in hosts):
            return False
        return time.monotonic() - self.started_at > SETTLE_SECONDS

    async def _found(self) -> None:
        empty = [h for h in [*self.seen.values(), self.me()] if h.replica]
        wanted = self.settings.voters
        waited = time.monotonic() - self.started_at
        if len(empty) < wanted and waited < 3 * SETTLE_SECONDS:
            return
        chosen = spread_over_zones(empty, wanted)
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
            await self._take_in(host.address, cluster, membership)

    async def _take_in(
        self, address: str, cluster: str, membership: Membership
    ) -> None:
        if address == self.settings.advertised_address:
            self.role.initialise(cluster, membership)
            return
        told = await self.client.call(
            address,
            paths.INIT_PATH,
            InitCluster(cluster, membership),
            Empty,
            2 * CALL_SECONDS,
        )
        if isinstance(told, Err):
            logger.warning("take_in_failed", peer=address, why=str(told))

    # Mending.

    async def _mend(self) -> None:
        now = time.monotonic()
        core = self.role.running.core
        step = next_step(
            core.membership,
            self.settings.voters,
            self._candidates(now),
            self._lost(now),
            {r for r in core.membership.learners if core.is_caught_up(r)},
        )
        if step is None:
            return
        if step.kind is StepKind.ADD:
            await self._prepare(step)
        membership = apply_step(core.membership, step)
        done = await self.role.running.change_membership(
            membership, STEP_SECONDS
        )
        logger.info(
            "membership_step",
            step=step.kind.value,
            replica=step.replica,
            done=isinstance(done, Ok),
        )

    def _candidates(self, now: float) -> list[AvailableHost]:
        """Returns the hosts with a disk that announced themselves lately."""
        found = []
        for address, host in self.seen.items():
            fresh = now - self.seen_at[address] < FRESH_SECONDS
            if host.replica and fresh:
                found.append(
                    AvailableHost(ReplicaId(host.replica), address, host.zone)
                )
        return found

    def _lost(self, now: float) -> set[ReplicaId]:
        """Returns the members that are to be replaced.

        One whose address announces another replica has lost its disk: it
        is gone for certain, and at once. One that is only silent may come
        back, so it is given time.
        """
        lost = set()
        core = self.role.running.core
        for replica, address in core.membership.addresses.items():
            if replica == core.replica_id:
                continue
            host = self.seen.get(address)
            at = max(self.seen_at.get(address, 0.0), self.led_since)
            if host is not None and host.replica not in ("", replica):
                lost.add(replica)
            elif now - at > LOST_SECONDS:
                lost.add(replica)
        return lost

    async def _prepare(self, step: Step) -> None:
        host = self.seen.get(step.address)
        if host is not None and not host.cluster:
            cluster = self.role.storage.identity.cluster
            await self._take_in(step.address, cluster, Membership())


def spread_over_zones(
    hosts: list[ControlHost], wanted: int
) -> list[ControlHost]:
    """Chooses hosts, from as many availability zones as can be."""
    left = sorted(hosts, key=lambda host: host.name)
    chosen: list[ControlHost] = []
    while left and len(chosen) < wanted:
        taken = {zone: 0 for zone in {host.zone for host in left}}
        for host in chosen:
            taken[host.zone] = taken.get(host.zone, 0) + 1
        best = min(left, key=lambda host: taken[host.zone])
        left.remove(best)
        chosen.append(best)
    return chosen
