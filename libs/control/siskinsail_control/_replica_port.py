"""Interface of the replicated log that control uses."""

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
    """Methods of the consensus replica that control uses."""

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> Result[Applied, ProposeError]:
        """Commit and apply a command."""
        ...

    @property
    def leader_id(self) -> VmId | None:
        """Name of the leader, None if it is not known."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this member is leader and has applied its first entry."""
        ...

    @property
    def term(self) -> int:
        """Current term of the replica."""
        ...

    @property
    def applied_index(self) -> int:
        """Index of the last applied entry."""
        ...

    def has_leader_lease(self) -> bool:
        """Return whether the leader lease is held.

        No other member can be leader while it is held.
        """
        ...

    @property
    def earlier_lease_end_s(self) -> float:
        """Time by which the lease of every earlier leader has ended.

        The time is on the clock of this member and is valid only while this
        member is the leader.
        """
        ...

    @property
    def is_full_restart(self) -> bool:
        """Whether all members had restarted before this one was elected."""
        ...

    def members(self) -> tuple[MemberStatus, ...]:
        """Return the committed membership."""
        ...


def is_certainly_not_applied(error: SiskinsailError) -> bool:
    """Return whether a failed proposal is certain never to be applied."""
    return isinstance(error, NotLeaderError | ProposalRefusedError)
