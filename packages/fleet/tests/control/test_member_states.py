"""What the leader reports of the members of the cluster."""

from structlog.testing import capture_logs

from marjoramyard.coordination.consensus.messages import Membership
from marjoramyard.fleet.control.member_states import (
    MemberReport,
    MemberState,
    member_states,
)
from marjoramyard.fleet.sync_messages import ControlHost
from marjoramyard.kernel.ids import ReplicaId

VOTERS = tuple(ReplicaId(name) for name in ("a~1", "b~1", "c~1"))
MEMBERSHIP = Membership(VOTERS, (), {v: v.split("~")[0] for v in VOTERS})


def host(address, replica, cluster="cluster-1"):
    return ControlHost(address, address, "", "", replica, cluster)


def states_of(lost, *hosts):
    return member_states(
        MEMBERSHIP, lost, {found.address: found for found in hosts}
    )


def test_a_member_that_holds_no_replica_is_told_from_a_lost_one():
    states = states_of({VOTERS[2]}, host("b", VOTERS[1], cluster=""))
    assert states == {
        VOTERS[0]: MemberState.ACTIVE,
        VOTERS[1]: MemberState.WITHOUT_REPLICA,
        VOTERS[2]: MemberState.LOST,
    }


def test_states_are_logged_only_when_they_change():
    report = MemberReport()
    with capture_logs() as lines:
        report.update(MEMBERSHIP, states_of(set()))
        report.update(MEMBERSHIP, states_of(set()))
        report.update(MEMBERSHIP, states_of({VOTERS[2]}))
    assert [line["spare"] for line in lines] == [1, 0]
    assert lines[1]["not_active"] == {VOTERS[2]: "lost"}
    assert (2, {"state": "active"}) in report.counts()
