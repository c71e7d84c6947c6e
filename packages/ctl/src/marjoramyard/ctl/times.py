"""Times in the output of the tool."""

import datetime


def format_time(at: float) -> str:
    """Returns a Unix time in seconds as an ISO 8601 time in UTC."""
    return datetime.datetime.fromtimestamp(at, datetime.UTC).isoformat()
