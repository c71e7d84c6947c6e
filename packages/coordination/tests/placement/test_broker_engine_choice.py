"""Which engine a prompt goes to, and who is ahead of it, under named loads."""

import itertools
import sys
from pathlib import Path

from marjoramyard.coordination.placement.requests import (
    PlacementRefusal,
    UnbrokeredRequest,
)
from marjoramyard.coordination.routing.table import PromptPart

sys.path.insert(0, str(Path(__file__).parent))
from engine_simulation import (  # noqa: E402
    RATE,
    make_ask,
    make_broker,
)

GUIDE = PromptPart("guide", 6000)


def grant(broker, ask, now=0.0):
    """Asks and returns the grant; the request ends at once."""
    assert broker.ask(ask, now) is None
    (told,) = broker.pump(now)
    broker.first_token(ask.key, now)
    broker.ended(ask.key)
    return told


def test_an_urgent_short_prompt_is_not_refused_behind_long_ones():
    """Chats are refused in a rush though they would be on time.

    Long prompts due in 800 ms wait for 500 ms. A chat of the same workspace
    is due in 400 ms: it goes before them all, so it waits for nobody, and
    the little that it reads makes none of them late.
    """
    broker = make_broker(1)
    for number in range(12):
        ask = make_ask(f"long-{number}", tokens=1800)
        assert not isinstance(broker.ask(ask, 0.0), PlacementRefusal)
        broker.pump(0.0)
    assert broker.predicted_wait_ms("w") > 400
    chat = make_ask("chat", tokens=400, aim_at=400.0)
    assert broker.ask(chat, 0.0) is None


def test_a_later_prompt_still_counts_the_urgent_ones_ahead():
    broker = make_broker(1)
    for number in range(12):
        broker.ask(make_ask(f"chat-{number}", tokens=1500, aim_at=700.0), 0.0)
    assert broker.predicted_wait_ms("w", 800.0) > 400


def test_a_prompt_waits_a_moment_at_home_rather_than_be_copied():
    """Parts are read again because copies of others pushed them out.

    The engine that keeps the guide is busy for 50 ms. Another is idle; a
    copy there would serve this one prompt sooner and take the memory of
    dozens of others' parts.
    """
    broker = make_broker(2)
    home = grant(broker, make_ask("first", shared=(GUIDE,))).endpoint
    broker.adopt(
        UnbrokeredRequest(
            key="busy", endpoint=home, tokens=50 * RATE, memory=0
        ),
        0.0,
    )
    told = grant(broker, make_ask("second", shared=(GUIDE,)))
    assert told.endpoint == home
    assert told.fetch_from == ""


def test_a_prompt_is_copied_when_its_home_is_too_busy():
    broker = make_broker(2)
    home = grant(broker, make_ask("first", shared=(GUIDE,))).endpoint
    broker.adopt(
        UnbrokeredRequest(
            key="busy", endpoint=home, tokens=200 * RATE, memory=0
        ),
        0.0,
    )
    told = grant(broker, make_ask("second", shared=(GUIDE,)))
    assert told.endpoint != home
    assert told.fetch_from == home


def test_a_new_broker_finds_parts_where_the_old_one_put_them():
    """All shared parts are read again after a change of broker.

    A broker takes over with no knowledge of what engines keep. Both place a
    part that nobody is known to keep at its home, so it is still there.
    """
    parts = [PromptPart(f"guide-{n}", 4000) for n in range(20)]
    old, new = make_broker(5), make_broker(5)
    numbers = itertools.count()

    def places(broker):
        return [
            grant(
                broker, make_ask(f"k{next(numbers)}", shared=(part,))
            ).endpoint
            for part in parts
        ]

    assert places(old) == places(new)
    assert len(set(places(old))) > 2


def test_a_prompt_waits_for_its_home_while_others_use_the_idle_engine():
    """Every second prompt of a rush moves its shared parts to another engine.

    Home has its 60 ms of reading at hand and takes no more for a moment. A
    copy elsewhere costs as much as waiting 68 ms, so the request stays; one
    that has nothing kept anywhere goes to the idle engine meanwhile.
    """
    broker = make_broker(2)
    home = grant(broker, make_ask("first", shared=(GUIDE,))).endpoint
    broker.adopt(
        UnbrokeredRequest(
            key="busy", endpoint=home, tokens=65 * RATE, memory=0
        ),
        0.0,
    )
    assert broker.ask(make_ask("same-guide", shared=(GUIDE,)), 0.0) is None
    assert broker.pump(0.0) == []
    assert broker.ask(make_ask("other", workspace="x"), 0.0) is None
    (told,) = broker.pump(0.0)
    assert (told.key, told.endpoint != home) == ("other", True)
    broker.first_token("busy", 1.0)
    (told,) = broker.pump(1.0)
    assert (told.key, told.endpoint) == ("same-guide", home)


def test_an_engine_without_room_for_a_prompt_does_not_hold_it_up():
    """A large prompt would wait for ever for memory at its home.

    Home's memory is full of running requests for seconds. Waiting for it
    is not a matter of some ms, so the prompt goes elsewhere.
    """
    broker = make_broker(2)
    home = grant(broker, make_ask("first", shared=(GUIDE,))).endpoint
    broker.adopt(
        UnbrokeredRequest(key="long", endpoint=home, tokens=0, memory=230_000),
        0.0,
    )
    told = grant(broker, make_ask("second", shared=(GUIDE,)))
    assert told.endpoint != home
