"""Wake-ups of polls that wait for changes."""

from marjoramyard.fleet.control.change_signal import ChangeSignal

GAP_SECONDS = 0.05


def make_signal():
    return ChangeSignal(lambda: None)


async def test_the_first_change_is_published_at_once():
    """Guards against an endpoint that gets work after it has left."""
    signal = make_signal()
    signal.publish_after_gap(GAP_SECONDS)
    assert signal.count == 1


async def test_changes_of_a_short_time_are_published_together():
    """Guards against a reply to each gateway for each endpoint of a zone."""
    signal = make_signal()
    for _ in range(1000):
        signal.publish_after_gap(GAP_SECONDS)
    assert signal.count == 1
    assert await signal.wait(10 * GAP_SECONDS)
    assert signal.count == 2
    assert not await signal.wait(2 * GAP_SECONDS)


async def test_an_urgent_change_takes_the_others_along():
    signal = make_signal()
    signal.publish_after_gap(GAP_SECONDS)
    signal.publish_after_gap(GAP_SECONDS)
    signal.publish()
    assert signal.count == 2
    assert not await signal.wait(2 * GAP_SECONDS)
    assert signal.count == 2
