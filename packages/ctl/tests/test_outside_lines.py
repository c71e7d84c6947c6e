"""Log files that operators give to the tool."""

from hypothesis import example, given
from hypothesis import strategies as st
from odd_json import odd_bytes

from marjoramyard.ctl.request_traces import read_lines

LINE = {"event": "request", "id": "r-1", "timestamp": "2026-01-01T00:00:00Z"}


@given(data=odd_bytes(LINE), before=st.text(max_size=9))
@example(data=b"{" + b'"x":{' * 100_000, before="")
@example(data=b'{"x":' + b"[" * 100_000, before="")
def test_any_line_is_read_or_skipped(data, before):
    """Guards against tools that end at one line of a log file."""
    text = before + data.decode("utf-8", "replace")
    for line in read_lines([text]):
        assert "event" in line
