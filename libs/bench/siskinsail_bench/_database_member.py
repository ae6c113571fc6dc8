"""Terms, replication, fencing and promotion of a stand-in database."""

from collections import deque

import anyio
import msgspec

from siskinsail_net import HttpClientConnection
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import DatabaseRole
from siskinsail_types import ProtocolError
from siskinsail_types import TransportError

from ._database_log import DatabaseLog
from ._database_log import DurableState
from ._database_settings import DatabaseSettings
from ._database_store import Change
from ._database_store import LogEntry
from ._database_store import RefusalError

LONG_POLL_S = 0.05
POLL_TIMEOUT_S = 1.0
POLL_RETRY_DELAY_S = 0.02
MAX_POLL_ENTRIES = 100
# Reported by a replica that has never caught up; JSON has no infinity.
UNKNOWN_AGE_S = 1e9


class LogPage(msgspec.Struct, frozen=True):
    """Response to a poll of the log.

    Parameters
    ----------
    matched : bool
        Whether the logs of follower and primary agree at the entry that
        precedes the page.
    retry_from : int
        Index to poll from next if the logs do not agree.
    last_index : int
        Index of the last entry of the primary.
    """

    term: int
    matched: bool
    retry_from: int
    last_index: int
    entries: tuple[LogEntry, ...] = ()


class ChangeNotifier:
    """Wakes all tasks that wait for the next change of state."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next notification, at most ``timeout_s`` seconds."""
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()


class Member:
    """Replication state of a database as a member of its group.

    Parameters
    ----------
    settings : DatabaseSettings
        Names, initial role and replication lag.
    network : Network
        Network that connects to the primary.
    clock : Clock
        Clock for ages and lags.
    """

    def __init__(
        self, settings: DatabaseSettings, network: Network, clock: Clock
    ) -> None:
        self._name = settings.database
        self._network = network
        self._clock = clock
        is_primary = settings.role is DatabaseRole.PRIMARY
        primary = '' if settings.primary is None else str(settings.primary)
        self.log = DatabaseLog(
            settings.state_file,
            DurableState(is_primary=is_primary, primary_admin=primary),
        )
        self._lag_s = settings.lag_s
        self._followed_term = self.term if self.is_primary else 0
        self._caught_up_s: float | None = None
        self._confirmed_indexes: dict[str, int] = {}
        self._next_index = self.log.last_index + 1
        # Batches of received entries that wait for the replication lag: time
        # of arrival, index of the last entry, and the time at which the poll
        # was sent if its response left this replica caught up.
        self._unapplied: deque[tuple[float, int, float | None]] = deque()
        self._state_generation = 0
        self._changed = ChangeNotifier()
        self._poll_scope: anyio.CancelScope | None = None

    @property
    def term(self) -> int:
        """Current term."""
        return self.log.state.term

    @property
    def is_primary(self) -> bool:
        """Whether the database is the primary of its term and not fenced."""
        return self.log.state.is_primary and not self.log.state.fenced

    @property
    def fenced(self) -> bool:
        """Whether the database waits to be promoted or to follow a primary."""
        return self.log.state.fenced

    @property
    def role(self) -> DatabaseRole:
        """Role that the database reports."""
        if self.is_primary:
            return DatabaseRole.PRIMARY
        return DatabaseRole.REPLICA

    @property
    def followed_term(self) -> int:
        """Latest term in which it replicated the log or was the primary."""
        return self._followed_term

    @property
    def confirmed(self) -> dict[str, int]:
        """Last index that each follower has confirmed to have in its log."""
        return dict(self._confirmed_indexes)

    @property
    def lag_s(self) -> float:
        """Delay between receiving an entry and applying it, in seconds."""
        return self._lag_s

    @lag_s.setter
    def lag_s(self, value: float) -> None:
        self._lag_s = value
        self._changed.notify()

    @property
    def age_s(self) -> float:
        """Age of the data: seconds since the last poll that caught it up."""
        if self.is_primary:
            return 0.0
        if self._caught_up_s is None:
            return UNKNOWN_AGE_S
        return max(0.0, self._clock.now_s() - self._caught_up_s)

    def fence(self, term: int) -> dict[str, int]:
        """Adopt ``term``; refuse writes and replication of earlier terms."""
        if term < self.term:
            raise RefusalError('wrong_term', f'term {self.term} is current')
        if term > self.term:
            if self.is_primary:
                self._caught_up_s = self._clock.now_s()
            self._change_state(DurableState(term, False, True, ''))
        return {
            'term': self.term,
            'log_term': self.log.last_term,
            'index': self.log.last_index,
        }

    def promote(self, term: int) -> None:
        """Become the primary of ``term``."""
        if self.is_primary and term == self.term:
            return
        if term < self.term or (term == self.term and not self.fenced):
            raise RefusalError('wrong_term', f'term {self.term} is current')
        self._unapplied.clear()
        self.log.apply_up_to(self.log.last_index)
        self._followed_term = term
        self._change_state(DurableState(term, True, False, ''))

    def follow(self, term: int, primary: str) -> None:
        """Follow the primary of ``term`` at its administration address."""
        Address.parse(primary)
        if term < self.term or (term == self.term and self.is_primary):
            raise RefusalError('wrong_term', f'term {self.term} is current')
        state = DurableState(term, False, False, primary)
        if state != self.log.state:
            if self.is_primary:
                self._caught_up_s = self._clock.now_s()
            self._change_state(state)

    def commit(self, request_id: str, changes: tuple[Change, ...]) -> int:
        """Append and apply an entry on the primary and return its index."""
        index = self.log.last_index + 1
        self.log.append(LogEntry(self.term, index, request_id, changes))
        self.log.apply_up_to(index)
        self._changed.notify()
        return index

    def is_confirmed(self, index: int, min_replicas: int) -> bool:
        """Tell whether enough followers have confirmed ``index``."""
        count = sum(
            confirmed_index >= index
            for confirmed_index in self._confirmed_indexes.values()
        )
        return count >= min_replicas

    async def wait_confirmed(
        self, index: int, min_replicas: int, timeout_s: float
    ) -> bool:
        """Wait until enough followers have confirmed ``index``.

        Returns False on a timeout and if the state of this member changes.
        """
        generation = self._state_generation
        end_s = self._clock.now_s() + timeout_s
        while generation == self._state_generation:
            if self.is_confirmed(index, min_replicas):
                return True
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0:
                return False
            await self._changed.wait(remaining_s)
        return False

    async def handle_poll(self, query: dict[str, str]) -> LogPage:
        """Respond to a poll of a follower.

        The poll confirms that the follower has all entries before ``from``.
        """
        first, term = int(query['from']), int(query['term'])
        self._check_is_primary(term)
        previous = first - 1
        if not self._log_matches(previous, query.get('prev_term')):
            return LogPage(
                self.term,
                False,
                self._first_index_of_term(previous),
                self.log.last_index,
            )
        self._confirmed_indexes[query['follower']] = previous
        self._changed.notify()
        end_s = self._clock.now_s() + LONG_POLL_S
        while self.log.last_index < first and self._clock.now_s() < end_s:
            await self._changed.wait(end_s - self._clock.now_s())
            self._check_is_primary(term)
        entries = tuple(self.log.entries_from(first, MAX_POLL_ENTRIES))
        return LogPage(self.term, True, first, self.log.last_index, entries)

    async def run_follower(self) -> None:
        """Replicate the log of the primary while there is one to follow."""
        while True:
            primary = self.log.state.primary_admin
            if not primary:
                await self._changed.wait(1.0)
                continue
            with anyio.CancelScope() as scope:
                self._poll_scope = scope
                try:
                    await self._poll_primary(Address.parse(primary))
                except (TransportError, ProtocolError):
                    await anyio.sleep(POLL_RETRY_DELAY_S)
            self._poll_scope = None

    async def run_applier(self) -> None:
        """Apply received entries after the replication lag."""
        while True:
            if not self._unapplied:
                await self._changed.wait(1.0)
                continue
            arrived_s, index, caught_up_s = self._unapplied[0]
            remaining_lag_s = arrived_s + self._lag_s - self._clock.now_s()
            if remaining_lag_s > 0:
                await self._changed.wait(remaining_lag_s)
                continue
            self._unapplied.popleft()
            self.log.apply_up_to(index)
            if caught_up_s is not None:
                self._caught_up_s = caught_up_s

    def _change_state(self, state: DurableState) -> None:
        self.log.state = state
        self.log.save_state()
        self._state_generation += 1
        self._confirmed_indexes.clear()
        self._next_index = self.log.last_index + 1
        if self._poll_scope is not None:
            self._poll_scope.cancel()
        self._changed.notify()

    def _check_is_primary(self, term: int) -> None:
        if not self.is_primary:
            raise RefusalError('not_primary', 'only the primary answers polls')
        if term != self.term:
            raise RefusalError(
                'wrong_term', f'the current term is {self.term}'
            )

    def _log_matches(self, index: int, prev_term: str | None) -> bool:
        if index > self.log.last_index:
            return False
        return prev_term is None or self.log.term_at(index) == int(prev_term)

    def _first_index_of_term(self, index: int) -> int:
        index = min(index, self.log.last_index)
        while index > 1 and self.log.term_at(index - 1) == self.log.term_at(
            index
        ):
            index -= 1
        return max(index, 1)

    async def _poll_primary(self, primary: Address) -> None:
        generation = self._state_generation
        connection = await HttpClientConnection.connect(
            self._network, primary, POLL_TIMEOUT_S
        )
        try:
            while generation == self._state_generation:
                sent_s = self._clock.now_s()
                status, body = await connection.request_json(
                    'GET', self._poll_path(), timeout_s=POLL_TIMEOUT_S
                )
                # A page that arrives after fencing comes from a primary that
                # has been replaced.
                if generation != self._state_generation:
                    return
                if status != 200:
                    raise ProtocolError(f'poll refused: {body}')
                self._process_page(msgspec.convert(body, LogPage), sent_s)
        except msgspec.ValidationError as error:
            raise ProtocolError(f'{primary}: {error}') from error
        finally:
            await connection.aclose()

    def _poll_path(self) -> str:
        previous = self._next_index - 1
        return (
            f'/v1/log?from={self._next_index}&term={self.term}'
            f'&follower={self._name}&prev_term={self.log.term_at(previous)}'
        )

    def _process_page(self, page: LogPage, sent_s: float) -> None:
        if not page.matched:
            self._next_index = min(page.retry_from, self._next_index)
            return
        self._merge_entries(page)
        self._next_index += len(page.entries)
        self._followed_term = max(self._followed_term, page.term)
        has_last_entry = self.log.last_index >= page.last_index
        caught_up_s = sent_s if has_last_entry else None
        if self.log.applied_index >= page.last_index:
            self._caught_up_s = sent_s
        elif page.entries or not self._unapplied:
            batch = (self._clock.now_s(), self.log.last_index, caught_up_s)
            self._unapplied.append(batch)
            self._changed.notify()

    def _merge_entries(self, page: LogPage) -> None:
        for entry in page.entries:
            if entry.index <= self.log.last_index:
                if self.log.term_at(entry.index) == entry.term:
                    continue
                self._truncate(entry.index - 1)
            self.log.append(entry)
        if page.last_index < self.log.last_index:
            self._truncate(page.last_index)

    def _truncate(self, last_index: int) -> None:
        self.log.truncate(last_index)
        self._unapplied.clear()
