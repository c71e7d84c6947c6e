"""What a broker has charged workspaces since it came into use."""

import math

import msgspec


class ReportedCharge(msgspec.Struct, frozen=True):
    """The charge of a request that a router sent without a grant.

    Attributes:
        workspace: The charged workspace.
        cost: The service, in prefill tokens.
        began_at: When the router sent the request, in ms.
    """

    workspace: str
    cost: float
    began_at: float


class Charges:
    """What a broker has charged workspaces since it came into use.

    It is added to virtual times that are adopted afterwards. They contain
    requests that a predecessor has granted, which routers report once more.

    Attributes:
        is_recording: Whether virtual times may still be adopted.
        adopted_at: When the adopted virtual times were current, in ms; -inf if
            none were adopted.
        by_workspace: All charges, in prefill tokens.
        reported: Those of reported requests.
    """

    def __init__(self):
        self.is_recording = True
        self.adopted_at = -math.inf
        self.by_workspace: dict[str, float] = {}
        self.reported: list[ReportedCharge] = []

    def add(self, workspace: str, cost: float) -> None:
        """Records a charge in prefill tokens."""
        if self.is_recording:
            self.by_workspace[workspace] = (
                self.by_workspace.get(workspace, 0.0) + cost
            )

    def add_reported(
        self, workspace: str, cost: float, began_at: float
    ) -> None:
        """Records that an added charge is for a reported request."""
        if self.is_recording:
            self.reported.append(ReportedCharge(workspace, cost, began_at))

    def since(self, made_at: float) -> dict[str, float]:
        """Returns the charges that another broker had not made by a time.

        Those of reported requests that began before are left out.

        Args:
            made_at: The time in ms.
        """
        charges = dict(self.by_workspace)
        for reported in self.reported:
            if reported.began_at <= made_at:
                charges[reported.workspace] -= reported.cost
        return charges

    def restart(self) -> None:
        """Starts to record from now on."""
        self.stop()
        self.is_recording = True

    def stop(self) -> None:
        """Ends the recording."""
        self.is_recording = False
        self.by_workspace.clear()
        self.reported.clear()
