"""What control needs of the replicated log."""

from typing import Protocol

from returns.result import Result

from siskinsail_consensus import Applied
from siskinsail_consensus import MemberStatus
from siskinsail_consensus import NotLeaderError
from siskinsail_consensus import ProposalRefusedError
from siskinsail_consensus import ProposeError
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId


class ControlReplica(Protocol):
    """The part of the consensus replica that control uses."""

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> Result[Applied, ProposeError]:
        """Commit and apply a command."""
        ...

    @property
    def leader_id(self) -> VmId | None:
        """Name of the leader, as far as it is known."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this member leads and has applied its first entry."""
        ...

    @property
    def term(self) -> int:
        """Term of the log."""
        ...

    @property
    def applied_index(self) -> int:
        """Index of the last entry that was applied."""
        ...

    def has_leader_lease(self) -> bool:
        """Tell whether no other member can be leader now."""
        ...

    @property
    def earlier_lease_end_s(self) -> float:
        """Time by which the lease of any earlier leader has ended.

        It counts on the clock of this member and means something only
        while it leads.
        """
        ...

    @property
    def is_restart(self) -> bool:
        """Whether all members had restarted when this one was elected."""
        ...

    def members(self) -> tuple[MemberStatus, ...]:
        """Return the committed membership."""
        ...


def is_certainly_not_applied(error: SiskinsailError) -> bool:
    """Tell whether a failed proposal can have no effect, now or later."""
    return isinstance(error, NotLeaderError | ProposalRefusedError)
