"""Members of the cluster, their disks and their voting rights."""

from collections.abc import Iterable

import msgspec

from siskinsail_types import DiskId
from siskinsail_types import VmId


class Member(msgspec.Struct, frozen=True):
    """A member of the cluster with its disk.

    A member that is not a voter is a learner: it receives the log but has no
    vote.
    """

    name: VmId
    disk_id: DiskId
    is_voter: bool


class Membership(msgspec.Struct, frozen=True):
    """A cluster configuration, as stored in a membership entry of the log."""

    members: tuple[Member, ...] = ()

    def get(self, name: VmId) -> Member | None:
        """Return the member with this name, None if there is none."""
        return next((m for m in self.members if m.name == name), None)

    @property
    def has_learner(self) -> bool:
        """Whether a member is not a voter yet."""
        return not all(m.is_voter for m in self.members)

    def voters(self) -> frozenset[DiskId]:
        """Return the disks of the voters."""
        return frozenset(m.disk_id for m in self.members if m.is_voter)

    def majority(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters()) // 2 + 1

    def is_majority(self, disks: Iterable[DiskId]) -> bool:
        """Tell whether ``disks`` contains a majority of the voters."""
        voters = self.voters()
        return bool(voters) and (
            len(voters.intersection(disks)) >= self.majority()
        )

    def with_member(self, changed: Member) -> 'Membership':
        """Return the membership with the member of the same name replaced."""
        return Membership(
            tuple(
                changed if m.name == changed.name else m for m in self.members
            )
        )

    def with_added(self, added: Member) -> 'Membership':
        """Return the membership with one more member."""
        return Membership((*self.members, added))

    def without(self, name: VmId) -> 'Membership':
        """Return the membership without the member with this name."""
        return Membership(tuple(m for m in self.members if m.name != name))

    def encode(self) -> bytes:
        """Return the membership encoded as MessagePack."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> 'Membership':
        """Decode a stored membership; empty data is an empty membership."""
        if not data:
            return Membership()
        return msgspec.msgpack.decode(data, type=Membership)
