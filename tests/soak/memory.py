"""Ends processes that use more memory than they have, as platforms do."""

import asyncio
import time

from soak.fleet import MEMORY_MB, Node, SoakFleet
from soak.record import MemoryExcess, Record

SAMPLE_SECONDS = 0.05


async def keep_memory(fleet: SoakFleet, record: Record) -> None:
    """Kills processes over their limit, until cancelled.

    The fleet's supervision starts them again.
    """
    while True:
        for node in fleet.all_nodes:
            await _check(node, record)
        await asyncio.sleep(SAMPLE_SECONDS)


async def _check(node: Node, record: Record) -> None:
    try:
        used = node.child.rss_bytes() if node.child.is_running else 0
    except (OSError, IndexError):
        # It has just ended.
        return
    record.peak_memory = max(record.peak_memory, used)
    if used <= MEMORY_MB * 1e6:
        return
    record.memory_excesses.append(
        MemoryExcess(
            target=node.target,
            number=node.number,
            used=used,
            at=time.monotonic(),
        )
    )
    await node.child.kill()
