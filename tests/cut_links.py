"""Cuts one process off from the control hosts, in one direction or both."""

import contextlib
from enum import Enum

from gateway_fleet import wait_until

from marjoramyard.standin.processes import free_address
from marjoramyard.standin.relay import Relay, relay_to


class Cut(Enum):
    """What is lost between a process and the control hosts."""

    REQUESTS = "requests"
    REPLIES = "replies"
    BOTH = "both"

    def drops(self, is_request: bool) -> bool:
        """Returns whether bytes of a direction are lost."""
        lost = Cut.REQUESTS if is_request else Cut.REPLIES
        return self in (lost, Cut.BOTH)


class ControlLinks:
    """The links of all processes to the control hosts.

    Attributes:
        relays: A relay in front of each control host.
    """

    def __init__(self, relays: list[Relay]):
        self.relays = relays

    @contextlib.contextmanager
    def cut(self, cut: Cut):
        """Cuts the marked process off; its connections stay open."""
        for relay in self.relays:
            relay.drops_marked = cut.drops
        try:
            yield
        finally:
            for relay in self.relays:
                relay.drops_marked = lambda _is_request: False
                relay.break_connections()


@contextlib.asynccontextmanager
async def relayed_control_hosts(fleet, *marks):
    """Restarts all control hosts of a fleet behind relays.

    Args:
        fleet: The fleet.
        marks: What only the process that may be cut off sends.
    """
    async with contextlib.AsyncExitStack() as stack:
        relays = []
        for number, host in enumerate(fleet.hosts):
            await fleet.children[f"control-{number}"].kill()
            advertised = f"{host}:{fleet.peer_port}"
            internal = f"{host}:{free_address().split(':')[1]}"
            running = relay_to(internal, advertised)
            relay = await stack.enter_async_context(running)
            relay.marks = marks
            relays.append(relay)
            fleet.write_control_settings(
                number,
                host,
                first_start=False,
                internal=internal,
                advertised=advertised,
            )
        for number in range(len(fleet.hosts)):
            await fleet.start(f"control-{number}")
        await wait_until(fleet.control_hosts_are_ready)
        await wait_until(fleet.is_ready)
        yield ControlLinks(relays)
