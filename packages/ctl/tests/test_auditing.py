"""Verification of the audit trail finds altered records and signatures."""

import msgspec

from marjoramyard.coordination.governance.audit import GENESIS, with_hash
from marjoramyard.coordination.governance.lifecycle import (
    BundleLifecycle,
    Change,
    LifecycleState,
)
from marjoramyard.ctl.auditing import verify_trail, version_at
from marjoramyard.fleet.control.signatures import (
    make_private_key,
    public_key_of,
    sign,
)

PRIVATE = {who: make_private_key() for who in ("awa", "bento")}
PUBLIC = {who: public_key_of(key) for who, key in PRIVATE.items()}


def roll(bundles, name, put, at):
    change = Change(name, bundles.state.version, "awa", put)

    def signed(who, action):
        return sign(PRIVATE[who], change.signed_bytes(action))

    assert bundles.propose(change, signed("awa", "propose"), at).is_ok()
    bundles.approve(name, "bento", signed("bento", "approve"), at)
    bundles.roll(name, "awa", signed("awa", "roll"), at)


def trail():
    bundles = BundleLifecycle(LifecycleState())
    operators = {
        f"operators/{who}": {"public_key": key} for who, key in PUBLIC.items()
    }
    roll(bundles, "one", operators, 10.0)
    roll(bundles, "two", {"services/chat": {"kind": "engine"}}, 20.0)
    return bundles.state.audit


def with_record_altered(records, index, **changes):
    """Alters a record and recomputes the hash chain."""
    records = list(records)
    records[index] = msgspec.structs.replace(records[index], **changes)
    previous = GENESIS
    for number, record in enumerate(records):
        linked = msgspec.structs.replace(record, previous=previous, hash="")
        records[number] = with_hash(linked)
        previous = records[number].hash
    return records


def test_a_valid_trail_is_accepted():
    assert verify_trail(trail(), PUBLIC).ok() == 6
    assert "no key of awa" in verify_trail(trail(), {}).err()


def test_an_invalid_signature_is_found_although_the_chain_is_valid():
    """Guards against records rewritten together with all later hashes."""
    altered = trail()[3].change | {"note": "altered"}
    forged = with_record_altered(trail(), 3, change=altered)
    assert "record 4: the signature" in verify_trail(forged, PUBLIC).err()
    other = with_record_altered(trail(), 1, who="awa")
    assert "record 2" in verify_trail(other, PUBLIC).err()


def test_the_version_in_force_at_a_given_time():
    assert version_at(trail(), 9.0) is None
    assert version_at(trail(), 15.0).version == 1
    assert version_at(trail(), 99.0).version == 2
