"""Bundles, audit records and orders survive faults of control hosts."""

import asyncio
import copy
import shutil

import pytest
from callers import call, chat

from marjoramyard.standin.local_fleet import (
    APPROVER,
    AUTHOR,
    start_small_fleet,
    wait_until,
)
from marjoramyard.standin.processes import free_address
from marjoramyard.standin.relay import relay_to


def with_share(bundle, share, workspace="counter"):
    changed = copy.deepcopy(bundle)
    changed["workspaces"][workspace]["share"] = share
    return changed


async def leader_of(fleet):
    async def current_leader():
        rows = await fleet.ctl_json("status")
        leaders = [r for r in rows if r["role"] == "leader"]
        leaders.sort(key=lambda r: r["term"])
        return leaders[-1]["name"] if leaders else None

    return await wait_until(current_leader, "a leader")


async def version_on(fleet, address):
    """Returns the bundle version in force on a router, by its metrics."""
    async with fleet.session.get(f"http://{address}/metrics") as response:
        for line in (await response.text()).splitlines():
            if line.startswith("marjoramyard_bundle_version"):
                return int(float(line.rpartition(" ")[2]))
    return 0


async def wait_until_version(fleet, version):
    for address in fleet.internal_addresses.values():

        async def is_in_force(address=address):
            return await version_on(fleet, address) == version

        await wait_until(is_in_force, f"version {version} on {address}")


async def test_only_one_of_two_concurrent_rolls_succeeds(fleet, bundle):
    """Both changes are based on version 1 and rolled at the same time."""
    await start_small_fleet(fleet, bundle, entries=1)
    one = await fleet.propose(with_share(bundle, 5))
    two = await fleet.propose(with_share(bundle, 7))
    for change in (one, two):
        await fleet.ctl("approve", change, *fleet.signing_options(APPROVER))

    async def roll(change):
        try:
            await fleet.ctl("roll", change, *fleet.signing_options(AUTHOR))
        except RuntimeError as error:
            return str(error)
        return "rolled"

    outcomes = await asyncio.gather(roll(one), roll(two))
    assert outcomes.count("rolled") == 1
    error = next(o for o in outcomes if o != "rolled")
    assert "exit 4" in error and "version 2 by awa is in force" in error
    again = await fleet.ctl_json(
        "roll",
        one if outcomes[0] == "rolled" else two,
        *fleet.signing_options(AUTHOR),
    )
    assert again["version"] == 2


async def test_only_signed_and_approved_changes_are_accepted(fleet, bundle):
    """Forged signatures and self-approvals are rejected."""
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    changed = fleet.write_bundle(with_share(bundle, 9))
    forged = ["--as", AUTHOR, "--key", str(fleet.folder / "bento.key")]
    errors = await fleet.ctl("propose", str(changed), *forged, code=1)
    assert "invalid_signature" in errors
    change = await fleet.propose(with_share(bundle, 9))
    errors = await fleet.ctl(
        "approve", change, *fleet.signing_options(AUTHOR), code=1
    )
    assert "another person" in errors
    errors = await fleet.ctl(
        "roll", change, *fleet.signing_options(AUTHOR), code=4
    )
    assert "not approved" in errors


async def test_changes_survive_kills_and_restarts(fleet, bundle):
    """Each control host is killed and restarted while changes are rolled.

    Every rolled version must be kept through log compaction and reach all
    routers, the audit chain must verify, and a repeated roll must return its
    first result.
    """
    await fleet.make_keys()
    names = [f"control-{n}" for n in (1, 2, 3)]
    original = fleet.start_control_host
    fleet.start_control_host = lambda n: original(n, snapshot_every=20)
    await fleet.start_control(names)
    await fleet.start_entry("entry-1")
    await fleet.roll_out(bundle)
    rolled = []

    async def operator():
        for number in range(12):
            version = await fleet.roll_out(with_share(bundle, 10 + number))
            rolled.append(version)

    async def killer():
        for name in names:
            await fleet.children[name].kill()
            goal = len(rolled) + 2

            async def progressed(goal=goal):
                return len(rolled) >= goal

            await wait_until(progressed, f"changes without {name}")
            await fleet.restart(name)
            await fleet.wait_until_healthy(fleet.control_hosts[name])

    await asyncio.gather(operator(), killer())
    assert rolled == list(range(2, 14))
    await wait_until_version(fleet, 13)
    keys = [f"{who}={key}" for who, key in fleet.public_keys.items()]
    options = [x for key in keys for x in ("--bootstrap-key", key)]
    checked = await fleet.ctl_json("audit", "verify", *options)
    assert checked["records"] == 3 * 13
    changes = await fleet.ctl_json("changes")
    first = next(c for c in changes if c["version"] == 2)
    again = await fleet.ctl_json(
        "roll", first["change_id"], *fleet.signing_options(AUTHOR)
    )
    assert again["version"] == 2


async def test_a_resumed_leader_reverts_nothing(fleet, bundle):
    """A leader that resumes must not serve its old bundle.

    A bundle is rolled while the leader is suspended. After it resumes
    without a quorum, it must step down and no router may get the old version
    from it.
    """
    await start_small_fleet(fleet, bundle)
    old = await leader_of(fleet)
    fleet.children[old].suspend()
    assert await fleet.roll_out(with_share(bundle, 3)) == 2
    await wait_until_version(fleet, 2)
    fleet.children[old].resume()
    for name in fleet.control_hosts:
        if name != old:
            fleet.children[name].suspend()
    address = fleet.control_hosts[old]
    await fleet.children["entry-1"].kill()
    entry = await fleet.restart("entry-1")
    assert entry.is_running
    await fleet.wait_until_healthy(fleet.entries["entry-1"])

    async def old_leader_stepped_down():
        rows = await fleet.ctl_json("status")
        row = next(r for r in rows if r["host"] == address)
        return row["role"] not in ("leader", "no answer")

    await wait_until(old_leader_stepped_down, "the old leader to step down")
    refused = await chat(fleet, "entry-1", max_tokens=1)
    assert (refused.status, refused.outcome) == (503, "not-run")
    assert "no_bundle_lease" in refused.text
    for name in fleet.control_hosts:
        fleet.children[name].resume()
    await wait_until_version(fleet, 2)


async def test_a_silently_cut_control_host_is_no_harm(fleet, bundle):
    """One control host is partitioned without its connections closing.

    The others go on; after the partition heals the host catches up, and no
    version is reverted.
    """
    await fleet.make_keys()
    names = ["control-1", "control-2", "control-3"]
    async with relay_to("127.0.0.1:9") as relay:
        inner = free_address()
        relay.target = inner
        fleet.control_hosts = {
            "control-1": relay.address,
            "control-2": free_address(),
            "control-3": free_address(),
        }
        for name in names:
            more = {"internal": inner} if name == "control-1" else {}
            await fleet.start_control_host(name, **more)
        for name in names:
            await fleet.wait_until_healthy(fleet.control_hosts[name])
        await fleet.ctl("cluster", "init")
        await fleet.start_entry("entry-1")
        await fleet.roll_out(bundle)
        await wait_until_version(fleet, 1)
        relay.partition()
        assert await fleet.roll_out(with_share(bundle, 4)) == 2
        await wait_until_version(fleet, 2)
        relay.heal()
        assert await fleet.roll_out(with_share(bundle, 6)) == 3

        async def caught_up():
            rows = await fleet.ctl_json("status")
            return [r.get("bundle") for r in rows] == [3, 3, 3]

        await wait_until(caught_up, "the partitioned host to catch up")
        await wait_until_version(fleet, 3)


async def test_a_second_disk_loss_after_a_replacement_loses_nothing(
    fleet, bundle
):
    """A host loses its disk and is replaced, then another loses its own.

    Bundles and the call ledger must be complete on the remaining hosts.
    """
    await start_small_fleet(fleet, bundle, entries=1)
    await fleet.add_endpoint("shop-1", "plain", "shop")
    await fleet.wait_until_serving("shop-1")
    booking = {
        "headers": {"Idempotency_Key": "hold-9"},
        "json": {"boots": 1},
    }
    done = await call(fleet, "POST", "/services/shop/bookings", **booking)
    assert done.status == 201
    await fleet.roll_out(with_share(bundle, 3))
    rows = await fleet.ctl_json("status")
    lost = next(r for r in rows if r["role"] == "follower")
    await fleet.children[lost["name"]].kill()
    shutil.rmtree(fleet.folder / f"{lost['name']}-data")
    await fleet.restart(lost["name"])
    await fleet.wait_until_healthy(lost["host"])
    rows = await fleet.ctl_json("status")
    assert next(r for r in rows if r["host"] == lost["host"])["role"] == "empty"
    repaired = await fleet.ctl_json(
        "cluster", "replace", lost["replica"], lost["host"]
    )
    assert lost["replica"] not in repaired["voters"]
    second = await leader_of(fleet)
    await fleet.children[second].kill()
    shutil.rmtree(fleet.folder / f"{second}-data")
    assert await fleet.roll_out(with_share(bundle, 8)) == 3
    again = await call(fleet, "POST", "/services/shop/bookings", **booking)
    assert (again.status, again.text) == (201, done.text)
    assert again.headers["X-Marjoramyard-Replayed"] == "true"


async def test_init_never_forms_a_second_cluster(fleet, bundle):
    """A repeated `cluster init` is rejected."""
    await start_small_fleet(fleet, bundle, entries=1)
    errors = await fleet.ctl("cluster", "init", code=4)
    assert "holds a replica already" in errors


@pytest.mark.parametrize("checks", [True, False])
async def test_an_old_order_never_follows_a_newer_one(fleet, bundle, checks):
    """An endpoint must not follow an old order after a newer one.

    The newer order is issued while the first leader is suspended; then the
    leader resumes and the agent restarts without state. The endpoint may or
    may not check fencing numbers itself.
    """
    await start_small_fleet(fleet, bundle, entries=1)
    options = ["--checks-fencing"] if checks else []
    await fleet.add_endpoint("chat-1", "engine", "chat", *options)
    await fleet.wait_until_serving("chat-1")
    await fleet.ctl("order", "chat-1", "load", "model-a", "--as", AUTHOR)

    async def followed(argument):
        return (await fleet.counters("chat-1"))["orders"][-1:] == [argument]

    await wait_until(lambda: followed("model-a"), "the first order")
    old = await leader_of(fleet)
    fleet.children[old].suspend()
    await fleet.ctl("order", "chat-1", "load", "model-b", "--as", AUTHOR)
    await wait_until(lambda: followed("model-b"), "the second order")
    await fleet.children["agent-chat-1"].kill()
    fleet.children[old].resume()
    await fleet.restart("agent-chat-1")
    await fleet.wait_until_serving("chat-1")
    orders = (await fleet.counters("chat-1"))["orders"]
    assert "model-a" not in orders[orders.index("model-b") :]


async def test_the_directory_is_restored_after_all_control_hosts_restart(
    fleet, bundle
):
    """All control hosts are killed at once and restart with their disks.

    Requests are served meanwhile, and the directory is restored.
    """
    await start_small_fleet(fleet, bundle)
    await fleet.add_endpoint("chat-1", "engine", "chat")
    await fleet.wait_until_serving("chat-1")
    names = list(fleet.control_hosts)
    await asyncio.gather(*(fleet.children[n].kill() for n in names))
    assert (await chat(fleet, max_tokens=1)).status == 200
    for name in names:
        await fleet.restart(name)
    await fleet.wait_until_serving("chat-1")
    assert (await chat(fleet, max_tokens=1)).status == 200
    assert (await chat(fleet, "entry-2", max_tokens=1)).status == 200
