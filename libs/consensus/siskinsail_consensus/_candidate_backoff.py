"""Priority between simultaneous election candidates."""

from siskinsail_types import Clock

from ._messages import Message


class CandidateBackoff:
    """Delays this member's candidacy after it granted a pre-vote.

    Two members that become candidates at the same time deny each other
    their votes and split the election. A member backs off only once for
    each loss of contact with the leader, because the other candidate may
    fail or may not receive the response.

    Parameters
    ----------
    backoff_s : float
        Length of the backoff in seconds.
    clock : Clock
        Source of time.
    """

    def __init__(self, backoff_s: float, clock: Clock) -> None:
        self._backoff_s = backoff_s
        self._clock = clock
        self._last_leader_contact_s = float('-inf')
        self._until_s = float('-inf')
        # The pre-vote request of this member while it waits for responses.
        self.own_request: Message | None = None

    @property
    def until_s(self) -> float:
        """Time before which this member does not become a candidate."""
        return self._until_s

    def record_granted_pre_vote(
        self, candidate: Message, last_leader_contact_s: float
    ) -> None:
        """Back off in favour of a candidate that this member pre-voted for.

        If both members request pre-votes at the same time, only the one
        with the lower rank backs off: the log position is compared first,
        then the disk id.

        Parameters
        ----------
        candidate : Message
            The request that was granted.
        last_leader_contact_s : float
            Time of the last contact with a leader, in seconds.
        """
        own = self.own_request
        if last_leader_contact_s == self._last_leader_contact_s or (
            own is not None and _rank(own) > _rank(candidate)
        ):
            return
        self._last_leader_contact_s = last_leader_contact_s
        self._until_s = self._clock.now_s() + self._backoff_s


def _rank(request: Message) -> tuple[int, int, str]:
    return request.index_term, request.index, request.sender_disk
