"""What the parser of frames keeps of a connection."""

import pytest

from marjoramyard.coordination.serving.frames import (
    MAX_DATA_BYTES,
    BrokenResponseError,
    FrameParser,
)


@pytest.mark.parametrize("size", [-1, MAX_DATA_BYTES + 1, 9 * 10**12])
def test_a_frame_that_announces_too_much_is_refused(size):
    """Guards against entries that an agent's frame without an end fills."""
    with pytest.raises(BrokenResponseError):
        FrameParser().feed(b'{"n":0,"size":%d}\n' % size)
