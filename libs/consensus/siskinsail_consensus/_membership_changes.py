"""Decisions of a leader on the next change of the membership."""

from siskinsail_types import DiskId

from ._membership import Member
from ._membership import Membership
from ._peers import Peer
from ._peers import Peers
from ._state import ReplicaState


class MembershipChanges:
    """Chooses the next change of the membership, one member at a time.

    A voter that failed or departs is replaced by a joining member, which is
    first a learner. A member that responds from a new disk becomes a learner
    in its place. A member beyond the target number is removed once another
    one has failed or departs.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    peers : Peers
        The other members.
    """

    def __init__(self, state: ReplicaState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self._leadership_start_s = 0.0

    @property
    def _target_voters(self) -> int:
        return (
            self._state.settings.target_voters
            or self._state.founding_member_count
        )

    @property
    def _has_surplus_member(self) -> bool:
        members = self._state.membership.members
        return len(members) > self._target_voters

    def start_leadership(self) -> None:
        """Begin to count the silence of members from now."""
        self._leadership_start_s = self._state.clock.now_s()

    def next_membership(self) -> Membership | None:
        """Return the membership after the next change, None for no change.

        It differs from the current membership in one member.
        """
        membership = self._state.membership
        changed = self._next_member_update()
        if changed is not None:
            return membership.with_member(changed)
        leaving = [m for m in membership.members if self._is_leaving(m)]
        joining_member = self._resolved_joining_member()
        count = len(membership.members)
        learner = next((m for m in leaving if not m.is_voter), None)
        if learner is not None and (
            self._has_surplus_member or joining_member is not None
        ):
            return membership.without(learner.name)
        if membership.has_learner:
            return None
        replaceable = [m for m in leaving if self._keeps_majority_without(m)]
        if self._has_surplus_member:
            # A departing leader leaves its own removal to the next leader.
            others = [m for m in replaceable if not self._is_self(m)]
            return membership.without(others[0].name) if others else None
        if joining_member is not None and (
            count < self._target_voters or replaceable
        ):
            return membership.with_added(joining_member)
        return None

    def may_have_successor(self) -> bool:
        """Tell whether a departing voter is replaced if it waits.

        A new leader does not know all joining members yet. A learner becomes
        a voter or is removed before another member changes.
        """
        state = self._state
        leading_s = state.clock.now_s() - self._leadership_start_s
        return (
            self._has_surplus_member
            or state.membership.has_learner
            or self._resolved_joining_member() is not None
            or leading_s < state.settings.announcement_validity_s
        )

    def awaits_successor(self) -> bool:
        """Tell whether a successor of this leader is on its way to a vote."""
        state = self._state
        if state.membership_index > state.commit_index:
            return True
        if state.membership.has_learner:
            return True
        return (
            not self._has_surplus_member
            and self._resolved_joining_member() is not None
        )

    def _resolved_joining_member(self) -> Member | None:
        """Return a joining member whose address can be resolved."""
        joining_member = self._state.joining_member()
        if joining_member is None:
            return None
        self._peers.add_discovered((joining_member.name,))
        return joining_member if self._peers.get(joining_member.name) else None

    def _is_self(self, member: Member) -> bool:
        return member.name == self._state.settings.vm_id

    def _is_leaving(self, member: Member) -> bool:
        """Tell whether a member has failed or said that it stops."""
        return self._is_departing(member) or self._has_failed(member)

    def _is_departing(self, member: Member) -> bool:
        if self._is_self(member):
            return self._state.is_departing
        peer = self._peers.get(member.name)
        return (
            peer is not None
            and peer.is_departing
            and peer.reported_disk_id == member.disk_id
        )

    def _has_failed(self, member: Member) -> bool:
        """Tell whether a member has not responded for ``replace_after_s``."""
        peer = self._peers.get(member.name)
        if peer is None:
            return False
        last_contact_s = max(peer.last_contact_s, self._leadership_start_s)
        since_contact_s = self._state.clock.now_s() - last_contact_s
        return since_contact_s >= self._state.settings.replace_after_s

    def _next_member_update(self) -> Member | None:
        """Return a member to update in the membership.

        It is a member that responds from a new disk, which becomes a
        learner, or a learner with the whole log, which becomes a voter.
        """
        membership = self._state.membership
        for peer in self._peers:
            member = membership.get(peer.name)
            if member is None or not self.is_responsive(peer):
                continue
            # A learner is promoted before the disk of a voter is replaced.
            if membership.has_learner and member.is_voter:
                continue
            if peer.reported_disk_id != member.disk_id:
                if self._keeps_majority_without(member):
                    return Member(member.name, peer.reported_disk_id, False)
            elif (
                not member.is_voter
                and not peer.is_departing
                and self._is_caught_up(peer, member)
            ):
                return Member(member.name, member.disk_id, True)
        return None

    def is_responsive(self, peer: Peer) -> bool:
        """Tell whether a member has responded lately."""
        age_s = self._state.clock.now_s() - peer.last_contact_s
        return age_s < self._state.settings.election_timeout_max_s

    def _keeps_majority_without(self, lost: Member) -> bool:
        """Tell whether a majority of the voters other than ``lost`` responds.

        A membership takes effect once it is in the log, so this majority
        commits the removal of ``lost``.
        """
        state = self._state
        now_s = state.clock.now_s()
        limit_s = state.settings.election_timeout_max_s
        responsive: set[DiskId] = {state.disk_id}
        responsive.update(
            peer.disk_id
            for peer in self._peers
            if now_s - peer.acked_heartbeat_sent_s < limit_s
        )
        remaining = state.membership.without(lost.name)
        return remaining.is_majority(responsive - {lost.disk_id})

    def _is_caught_up(self, peer: Peer, member: Member) -> bool:
        return (
            peer.disk_id == member.disk_id
            and peer.match_index >= self._state.commit_index
        )
