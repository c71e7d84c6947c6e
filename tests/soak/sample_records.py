"""A record without violations, and requests that got no response."""

from soak.record import (
    Attempt,
    Call,
    ConfigChange,
    ConfigRead,
    ConnectionOutcome,
    Departure,
    Exchange,
    Record,
    RouteKind,
    Shutdown,
    expected_body,
)


def call(number, kind=RouteKind.PLAIN, sent_at=100.0, **changes):
    name = f"1-{number}"
    fields = {
        "id": name,
        "kind": kind,
        "gateway": 0,
        "sent_at": sent_at,
        "deadline_seconds": 2.5,
        "status": 200,
        "is_complete": True,
        "body": expected_body(name, kind),
        "ended_at": sent_at + 0.1,
    }
    return Call(**{**fields, **changes})


def attempt(number, started_at=100.0, endpoint="i-0-1", **changes):
    return Attempt(
        id=f"1-{number}", endpoint=endpoint, started_at=started_at, **changes
    )


def valid_record():
    """Returns a record without violations."""
    calls = [call(n, kind, 100.0 + n) for n, kind in enumerate(RouteKind)]
    calls.append(call(90, sent_at=130.0))
    attempts = [attempt(n, 100.0 + n) for n in range(len(RouteKind))]
    attempts.append(attempt(90, 130.0))
    return Record(
        calls=calls,
        attempts=attempts,
        config_changes=[
            ConfigChange(version=3, sent_at=99.0, acknowledged_at=99.5)
        ],
        config_reads=[ConfigRead(host=0, version=3, sent_at=120.0)],
        departures=[Departure(endpoint="i-9-1", acknowledged_at=101.0)],
        shutdowns=[
            Shutdown(
                target="gateway",
                number=1,
                signalled_at=105.0,
                ended_at=108.0,
                exit_code=0,
            )
        ],
        faults_ended_at=110.0,
        ended_at=140.0,
        final_version=3,
    )


def unanswered(name, outcome, seconds, **changes):
    """Returns a request that got no response, sent after a SIGTERM."""
    fields = {
        "id": name,
        "target": "gateway",
        "number": 1,
        "connection": 7,
        "carried": 2,
        "began_at": 107.0,
        "sent_at": 107.0,
        "outcome": outcome,
        "ended_at": 107.0 + seconds,
    }
    return Exchange(**{**fields, **changes})


def read_request_closed_by_fin(record):
    record.exchanges.append(unanswered("p-1", ConnectionOutcome.FIN, 0.1))


def request_reset_after_it_ran(record):
    record.exchanges.append(unanswered("p-1", ConnectionOutcome.RST, 0.1))
    record.attempts.append(
        Attempt(id="p-1", endpoint="i-0-1", started_at=107.05)
    )


def request_reset_late(record):
    record.exchanges.append(unanswered("p-1", ConnectionOutcome.RST, 0.3))


def response_cut_off(record):
    exchange = unanswered("p-1", ConnectionOutcome.FIN, 0.1)
    exchange.has_response = True
    exchange.deadline_seconds = 2.5
    record.exchanges.append(exchange)


def request_left_open(record):
    record.exchanges.append(unanswered("p-1", ConnectionOutcome.OPEN, 6.0))


def change_read_and_not_answered(record):
    record.exchanges.append(
        unanswered("config 3", ConnectionOutcome.FIN, 0.1, target="control")
    )
