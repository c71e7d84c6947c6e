"""Sessions of operators and auditors with marjoramctl."""

import copy
import datetime

import msgspec

from marjoramyard.coordination.governance.lifecycle import Change
from marjoramyard.standin.local_fleet import (
    APPROVER,
    AUTHOR,
    start_small_fleet,
    wait_until,
)
from marjoramyard.standin.processes import BINARIES, run_command


async def test_diff_roll_restore_and_audit(fleet, bundle):
    """A share is raised, then the previous bundle is restored.

    An old bundle must be restored explicitly, and the audit must return the
    version in force at a given time.
    """
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    await fleet.add_endpoint("chat-1", "engine", "chat")
    await fleet.wait_until_serving("chat-1")
    raised = copy.deepcopy(bundle)
    raised["workspaces"]["counter"]["share"] = 9
    path = fleet.write_bundle(raised, "raised")
    listed = await fleet.ctl_json("diff", str(path))
    assert [row["row"] for row in listed] == ["workspaces/counter"]
    before = datetime.datetime.now(datetime.UTC).isoformat()
    assert await fleet.roll_out(raised) == 2
    old = fleet.write_bundle(bundle, "old")
    refused = await fleet.ctl(
        "propose", str(old), *fleet.signing_options(AUTHOR), code=4
    )
    assert "restore 1" in refused
    restored = await fleet.ctl_json(
        "restore", "1", *fleet.signing_options(AUTHOR)
    )
    change = restored["change_id"]
    await fleet.ctl("approve", change, *fleet.signing_options(APPROVER))
    await fleet.ctl("roll", change, *fleet.signing_options(AUTHOR))
    then = await fleet.ctl_json("audit", "--at", before)
    assert then["version"] == 1
    now = datetime.datetime.now(datetime.UTC).isoformat()
    assert (await fleet.ctl_json("audit", "--at", now))["version"] == 3
    rows = await fleet.ctl_json("workspaces")
    shares = {row["workspace"]: row["share"] for row in rows}
    assert shares == {"counter": 2.0, "guides": 1.0}
    rows = await fleet.ctl_json("endpoints")
    assert [row["endpoint"] for row in rows] == ["chat-1"]
    changes = await fleet.ctl_json("changes")
    assert [c["state"] for c in changes] == ["rolled"] * 3
    assert await fleet.ctl_json("suspects") == []
    table = await workspace_table(fleet)
    assert table.splitlines()[0].split() == [
        "WORKSPACE",
        "SHARE",
        "SERVICES",
        "KEYS",
    ]


async def workspace_table(fleet):
    command = [
        str(BINARIES / "marjoramctl"),
        "--control",
        next(iter(fleet.control_hosts.values())),
        "--secret-file",
        str(fleet.secret_file),
        "workspaces",
    ]
    code, output, _ = await run_command(command)
    assert code == 0
    return output


async def test_without_a_control_host_the_exit_code_is_3(fleet, bundle):
    await fleet.make_keys()
    fleet.control_hosts = {"control-1": "127.0.0.1:9"}
    errors = await fleet.ctl("workspaces", code=3)
    assert "no_quorum" in errors


async def test_an_agent_in_an_evacuated_zone_gets_no_requests(fleet, bundle):
    """Guards against an evacuation that entries or agents ignore."""
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    await fleet.add_endpoint("chat-1", "engine", "chat")
    await fleet.wait_until_serving("chat-1")
    (row,) = await fleet.ctl_json("endpoints")

    async def state():
        return (await fleet.ctl_json("endpoints"))[0]["state"]

    async def is_down():
        return await state() == "down"

    async def is_ready():
        return await state() == "ready"

    await fleet.ctl("zone", "evacuate", row["zone"], "--as", "awa")
    await wait_until(is_down, "the agent to stop")
    await fleet.ctl("zone", "evacuate", row["zone"], "--as", "bento")
    (listed,) = await fleet.ctl_json("zone", "list")
    assert (listed["evacuated"], listed["operator"]) == (True, "awa")
    await fleet.ctl("zone", "restore", row["zone"], "--as", "bento")
    await wait_until(is_ready, "the agent to accept work again")
    history = await fleet.ctl_json("zone", "history")
    assert [record["evacuated"] for record in history] == [True, False]


async def test_a_senseless_change_is_refused_by_name(fleet, bundle):
    """Guards against a bundle in force that means nothing."""
    await start_small_fleet(fleet, bundle, control=1, entries=1)
    name, service = next(iter(bundle["services"].items()))
    author = fleet.signing_options(AUTHOR)
    for field, value in (
        ("max_body_bytes", -1),
        ("max_deadline_seconds", 0),
        ("stall_seconds", 2**60),
        ("deadline_seconds", float("nan")),
    ):
        odd = {**service, field: value}
        path = fleet.write_bundle(
            {**bundle, "services": {**bundle["services"], name: odd}}, "odd"
        )
        assert field in await fleet.ctl("propose", str(path), *author, code=2)
        row = {f"services/{name}": odd}
        change = Change(f"odd-{field}", 1, AUTHOR, row)
        path.write_bytes(msgspec.json.encode(change))
        refused = await fleet.ctl(
            "propose", str(path), "--resend", *author, code=1
        )
        assert field in refused
    changes = await fleet.ctl_json("changes")
    assert [c["state"] for c in changes] == ["rolled"]
    service = {**service, "max_body_bytes": 0}
    bundle["services"] = {**bundle["services"], name: service}
    assert await fleet.roll_out(bundle) == 2
