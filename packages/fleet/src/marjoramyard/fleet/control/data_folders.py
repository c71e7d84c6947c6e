"""The data folder of a control host, and what its replica says at the start."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path

from marjoramyard.fleet.control.node import ControlNode
from marjoramyard.fleet.control.storage import (
    Identity,
    Storage,
    StorageLockedError,
    open_storage,
)
from marjoramyard.fleet.settings import ControlSettings
from marjoramyard.fleet.util.binding import RETRY_SECONDS
from marjoramyard.kernel.logs import get_logger

logger = get_logger(__name__)

_FIRST_START_REMEDY = (
    "set first_start to false; to start a new fleet, stop all control hosts "
    "and empty their data folders"
)
_ADDRESS_REMEDY = (
    "start this host at the stored address, where the other replicas call it; "
    "if only this host has moved, empty its data folder"
)


@asynccontextmanager
async def data_folder(
    settings: ControlSettings, stopping: asyncio.Event
) -> AsyncIterator[Storage | None]:
    """Opens the data folder, if this host has a disk.

    Args:
        settings: The settings of the host.
        stopping: Ends the wait for a folder that another process has locked.
    """
    if not settings.data_folder:
        yield None
        return
    with ExitStack() as stack:
        yield await open_when_unlocked(
            stack, Path(settings.data_folder), stopping
        )


async def open_when_unlocked(
    stack: ExitStack, folder: Path, stopping: asyncio.Event
) -> Storage:
    """Opens a data folder once no other process has locked it.

    Raises:
        StorageLockedError: It is locked, and the process is stopping.
    """
    is_logged = False
    while True:
        try:
            return stack.enter_context(open_storage(folder))
        except StorageLockedError:
            if stopping.is_set():
                raise
        if not is_logged:
            logger.warning("data_folder_locked", folder=str(folder))
            is_logged = True
        await asyncio.sleep(RETRY_SECONDS)


def log_unexpected_data(
    settings: ControlSettings, identity: Identity, node: ControlNode | None
) -> None:
    """Logs what the settings say otherwise than the stored replica.

    The replica is kept: the settings may be those of an earlier start.

    Args:
        settings: The settings of the host.
        identity: The identity of the replica in its data folder.
        node: The replica; None if it could not be started.
    """
    if settings.first_start:
        logger.warning(
            "first_start_ignored",
            cluster=identity.cluster,
            remedy=_FIRST_START_REMEDY,
        )
    if node is None:
        return
    stored = node.core.membership.addresses.get(node.core.replica_id)
    if stored not in (None, settings.advertised_address):
        logger.warning(
            "address_differs",
            stored=stored,
            address=settings.advertised_address,
            remedy=_ADDRESS_REMEDY,
        )
