"""Bytes that external parties hold in the buffers of a process."""

from collections import deque
from typing import NewType

import anyio

from ._settings import BudgetSettings

GroupName = NewType('GroupName', str)
"""Client account, host or database group that shares a part of a limit."""


class MemoryBudget:
    """Bytes that the buffers of external parties may use together.

    A buffer reserves its bytes before it grows. What does not fit waits in
    the order of arrival; nothing passes a reservation that waits, unless its
    own group is at its limit.

    Parameters
    ----------
    settings : BudgetSettings
        Limits of the machine.

    Examples
    --------
    >>> budget = MemoryBudget(BudgetSettings(memory_mb=100))
    >>> reservation = budget.reserve_nothing(GroupName('refill'))
    >>> reservation.try_resize(1_000_000)
    True
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self.settings = settings
        self.refusals = 0
        self._used_bytes = 0
        self._used_by_group: dict[GroupName, int] = {}
        self._waiting: deque[_Waiting] = deque()

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved."""
        return self._used_bytes

    @property
    def waiting(self) -> int:
        """Number of buffers that wait for a reservation."""
        return len(self._waiting)

    def reserve_nothing(self, group: GroupName) -> 'Reservation':
        """Return an empty reservation of a group."""
        return Reservation(self, group)

    def group_bytes(self, group: GroupName) -> int:
        """Return the bytes that a group has reserved."""
        return self._used_by_group.get(group, 0)

    def fits(self, group: GroupName, growth: int) -> bool:
        """Tell whether a group may reserve more bytes now."""
        return self._fits_total(growth) and self._fits_group(group, growth)

    def _fits_total(self, growth: int) -> bool:
        return self._used_bytes + growth <= self.settings.total_bytes

    def _fits_group(self, group: GroupName, growth: int) -> bool:
        used = self.group_bytes(group)
        return used + growth <= self.settings.group_bytes

    def _may_pass_waiting(self, group: GroupName) -> bool:
        return all(
            one.reservation.group != group
            and not self._fits_group(one.reservation.group, one.growth)
            for one in self._waiting
        )

    def _add(self, group: GroupName, growth: int) -> None:
        self._used_bytes += growth
        used = self.group_bytes(group) + growth
        if used:
            self._used_by_group[group] = used
        else:
            self._used_by_group.pop(group, None)
        if growth < 0 and self._waiting:
            self._grant_waiting()

    def _grant_waiting(self) -> None:
        """Grant what fits, in order; groups at their limit are passed."""
        for one in tuple(self._waiting):
            # A reservation that is collected meanwhile also grants.
            if one.granted.is_set():
                continue
            if not self._fits_group(one.reservation.group, one.growth):
                continue
            if not self._fits_total(one.growth):
                break
            one.grant()
        self._waiting = deque(
            one for one in self._waiting if not one.granted.is_set()
        )


class Reservation:
    """Bytes that one buffer has reserved, until it is closed.

    A reservation that belongs to a value, such as an answer, ends with the
    last reference to it.

    Parameters
    ----------
    budget : MemoryBudget
        Budget of the process.
    group : GroupName
        Group that the bytes are counted for.
    """

    def __init__(self, budget: MemoryBudget, group: GroupName) -> None:
        self._budget = budget
        self._group = group
        self._charged_bytes = 0

    def __del__(self) -> None:
        self.close()

    @property
    def group(self) -> GroupName:
        """Group that the bytes are counted for."""
        return self._group

    @property
    def is_charged(self) -> bool:
        """Whether the buffer holds a part of the budget."""
        return self._charged_bytes > 0

    def assign(self, group: GroupName) -> None:
        """Count the bytes for another group from now on."""
        charged = self._charged_bytes
        if charged:
            self._budget._add(self._group, -charged)
            self._budget._add(group, charged)
        self._group = group

    def try_resize(
        self, size_bytes: int, *, passes_waiting: bool = False
    ) -> bool:
        """Change the size of the buffer, if the budget has room for it.

        Parameters
        ----------
        passes_waiting : bool
            Whether buffers that wait for a reservation come later. This is
            for work that is finished, such as an answer, which must not be
            lost to work that has not begun.
        """
        growth = self._growth(size_bytes)
        if growth > 0 and not (
            self._budget.fits(self._group, growth)
            and (passes_waiting or self._budget._may_pass_waiting(self._group))
        ):
            return False
        self._charge(growth)
        return True

    async def resize(self, size_bytes: int) -> bool:
        """Change the size of the buffer; wait for room if necessary.

        Returns False if there is no room within the time limit, at once if
        there never can be.
        """
        if self.try_resize(size_bytes):
            return True
        if not self._can_ever_fit(size_bytes):
            self._budget.refusals += 1
            return False
        one = _Waiting(self, self._growth(size_bytes))
        self._budget._waiting.append(one)
        try:
            with anyio.move_on_after(self._budget.settings.wait_s):
                await one.granted.wait()
        finally:
            if not one.granted.is_set():
                self._budget._waiting.remove(one)
        if not one.granted.is_set():
            self._budget.refusals += 1
        return one.granted.is_set()

    def close(self) -> None:
        """Release all bytes."""
        self._charge(-self._charged_bytes)

    def _can_ever_fit(self, size_bytes: int) -> bool:
        needed = self._charged_bytes + self._growth(size_bytes)
        return needed <= self._budget.settings.group_bytes

    def _growth(self, size_bytes: int) -> int:
        free_bytes = self._budget.settings.free_bytes
        return max(0, size_bytes - free_bytes) - self._charged_bytes

    def _charge(self, growth: int) -> None:
        if growth:
            self._charged_bytes += growth
            self._budget._add(self._group, growth)


class _Waiting:
    """A reservation that waits until it may grow."""

    def __init__(self, reservation: Reservation, growth: int) -> None:
        self.reservation = reservation
        self.growth = growth
        self.granted = anyio.Event()

    def grant(self) -> None:
        """Let the reservation grow."""
        self.reservation._charge(self.growth)
        self.granted.set()
