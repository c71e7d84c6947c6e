"""The gateway dialect of the platform."""

import msgspec
import pytest

from marjoramyard.coordination.routing.table import PromptPart
from marjoramyard.platform.gateway_dialect import HEADERS, read_cache_list


def test_the_cached_parts_of_an_engine_are_read():
    body = b'{"epoch": "e", "next": 9, "held": [["", "5c1e07a2", 800, "m"]]}'
    assert read_cache_list(body) == [PromptPart("5c1e07a2", 800)]


@pytest.mark.parametrize("body", [b"", b"{}", b'{"held": [["", "5c"]]}'])
def test_a_faulty_list_is_refused(body):
    with pytest.raises(msgspec.DecodeError):
        read_cache_list(body)


def test_the_header_of_leaving_engines_is_the_platform_s():
    """Guards against notices of leaving engines that are not read."""
    assert HEADERS.leaving == "Server-Leaving"
