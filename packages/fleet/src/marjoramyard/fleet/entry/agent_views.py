"""What an entry knows of the agents that it uses."""

import msgspec

from marjoramyard.coordination.fairness.totals import Totals, TotalsSync
from marjoramyard.coordination.governance.directory import DirectoryRow
from marjoramyard.kernel.ids import WorkspaceId


class Placement(msgspec.Struct, frozen=True):
    """The agent to which a request is sent.

    Attributes:
        address: The agent's address.
        grant: The grant to use, or "" for a direct attempt.
    """

    address: str
    grant: str = ""


class AgentView:
    """The state that a dispatcher keeps for one agent.

    Attributes:
        in_flight: Number of attempts of this entry at the agent.
        sequence: Number of the last offer that was sent.
        offered: Workspaces whose backlog has been offered to the agent.
        free: Free slots, as last reported.
        entries: Number of entries that send offers to the agent.
        sending: An offer is being sent.
        pending: Another offer follows the one being sent.
        needs_full_offer: The next offer lists the complete backlog.
        last_full_offer_at: Monotonic time, in seconds.
        backoff_until: Monotonic time, in seconds.
    """

    def __init__(self, row: DirectoryRow, totals: Totals):
        self.row = row
        self.totals_sync = TotalsSync(totals)
        self.in_flight = 0
        self.sequence = 0
        self.offered: set[WorkspaceId] = set()
        self.free = row.slots
        self.entries = 1
        self.sending = False
        self.pending = False
        self.needs_full_offer = False
        self.last_full_offer_at = 0.0
        self.backoff_until = 0.0
