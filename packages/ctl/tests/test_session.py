"""Calls of the tool to control hosts."""

import asyncio

from endless_replies import RESPONSES, EndlessServer, resident_bytes
from result import Err

from marjoramyard.ctl.session import MAX_REPLY_BYTES, Session

QUERY_SECONDS = 1.0


async def test_a_reply_without_an_end_does_not_fill_the_memory(tmp_path):
    """Guards against a tool that takes the memory of an operator's host."""
    secret = tmp_path / "secret"
    secret.write_text("s" * 32)
    before = resident_bytes()
    async with EndlessServer(*RESPONSES["chunks"]).running() as host:
        session = Session([host.address], str(secret), "json")
        async with session.connect() as connection:
            query = asyncio.create_task(
                connection.control.query("x", timeout=QUERY_SECONDS)
            )
            highest = before
            while not query.done():
                highest = max(highest, resident_bytes())
                await asyncio.sleep(0.01)
    assert isinstance(await query, Err)
    assert highest - before < 2 * MAX_REPLY_BYTES
