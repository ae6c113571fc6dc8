"""Members of the cluster with the disks that vote."""

from collections.abc import Iterable

import msgspec

from siskinsail_types import DiskId
from siskinsail_types import VmId


class Member(msgspec.Struct, frozen=True):
    """A member and its disk; a learner has no vote."""

    name: VmId
    disk_id: DiskId
    is_voter: bool


class Membership(msgspec.Struct, frozen=True):
    """The members that an entry of the log establishes."""

    members: tuple[Member, ...] = ()

    def get(self, name: VmId) -> Member | None:
        """Return the member of that name."""
        return next((m for m in self.members if m.name == name), None)

    def voters(self) -> frozenset[DiskId]:
        """Return the disks that vote."""
        return frozenset(m.disk_id for m in self.members if m.is_voter)

    def majority(self) -> int:
        """Return how many disks are a majority."""
        return len(self.voters()) // 2 + 1

    def is_majority(self, disks: Iterable[DiskId]) -> bool:
        """Tell whether a majority of the voting disks is among ``disks``."""
        voters = self.voters()
        return bool(voters) and (
            len(voters.intersection(disks)) >= self.majority()
        )

    def with_member(self, changed: Member) -> 'Membership':
        """Return the membership with the member of that name replaced."""
        return Membership(
            tuple(
                changed if m.name == changed.name else m for m in self.members
            )
        )

    def with_added(self, added: Member) -> 'Membership':
        """Return the membership with one more member."""
        return Membership((*self.members, added))

    def without(self, name: VmId) -> 'Membership':
        """Return the membership without the member of that name."""
        return Membership(tuple(m for m in self.members if m.name != name))

    def encode(self) -> bytes:
        """Return the stored form."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(data: bytes) -> 'Membership':
        """Read the stored form; no bytes are an empty membership."""
        if not data:
            return Membership()
        return msgspec.msgpack.decode(data, type=Membership)
