"""Directory of the daemons that hold connections to databases."""

from collections.abc import Sequence
import math

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import rank_daemons
from siskinsail_catalogue import ServingDaemon
from siskinsail_catalogue import View
from siskinsail_types import AccountId
from siskinsail_types import DataCentreId
from siskinsail_types import ServiceId
from siskinsail_types import VmId

from ._settings import HolderSettings

_Site = tuple[ServiceId, DataCentreId]


class HolderDirectory:
    """Tells which daemons run the statements of an account on a database.

    The connections of a database are divided among few daemons of its data
    centre, and the client accounts among those. The daemons are chosen by
    rendezvous hashing from the view: every daemon chooses the same ones, and
    a daemon that joins or leaves changes the choice for few accounts only. A
    database that replaces another one of its service in the same data centre
    has the same holders.

    Parameters
    ----------
    settings : HolderSettings
        Numbers of holders.
    own : VmId
        Name of this daemon.

    Examples
    --------
    >>> from siskinsail_holders import HolderSettings
    >>> directory = HolderDirectory(HolderSettings(), 'vm-1')
    >>> directory.holders(None, 'account-1')
    ()
    """

    def __init__(self, settings: HolderSettings, own: VmId) -> None:
        self._settings = settings
        self._own = own
        self._daemons: tuple[ServingDaemon, ...] = ()
        self._by_data_centre: dict[DataCentreId, list[ServingDaemon]] = {}
        self._ranked: dict[_Site, tuple[ServingDaemon, ...]] = {}
        self._accounts: frozenset[tuple[AccountId, float]] = frozenset()
        self._holder_counts: dict[AccountId, int] = {}
        self._assigned: dict[_Site, int] = {}
        self._is_assigned: dict[
            tuple[ServiceId, DataCentreId, AccountId], bool
        ] = {}
        self._holders: dict[
            tuple[ServiceId, DataCentreId, AccountId],
            tuple[ServingDaemon, ...],
        ] = {}

    @property
    def daemons(self) -> tuple[ServingDaemon, ...]:
        """Daemons that run statements for others."""
        return self._daemons

    def update(self, view: View) -> None:
        """Use the daemons and the accounts of a view.

        A view without daemons keeps those of the last one, since a new
        leader publishes none until it knows them all.
        """
        rates = frozenset(
            (account.name, account.rate) for account in view.accounts.values()
        )
        has_new_daemons = bool(view.daemons) and (
            view.daemons != self._daemons
        )
        if not has_new_daemons and rates == self._accounts:
            return
        self._assigned.clear()
        self._holders.clear()
        self._is_assigned.clear()
        if rates != self._accounts:
            self._accounts = rates
            self._holder_counts = self._count_holders(dict(rates))
        if has_new_daemons:
            self._set_daemons(view.daemons)

    def holders(
        self, server: BackendServer | None, account: AccountId
    ) -> tuple[ServingDaemon, ...]:
        """Return the daemons to try, best first; empty if there are none.

        The daemon itself may be among them.
        """
        if server is None:
            return ()
        key = (server.group, server.data_centre, account)
        chosen = self._holders.get(key)
        if chosen is None:
            chosen = self._holders[key] = self._choose(*key)
        return chosen

    def _choose(
        self,
        service: ServiceId,
        data_centre: DataCentreId,
        account: AccountId,
    ) -> tuple[ServingDaemon, ...]:
        ranked = self._ranked_holders(service, data_centre)
        shared = ranked[: self._settings.per_database]
        if not shared:
            return ()
        ordered = rank_daemons(shared, f'{service}/{account}')
        count = self._holder_counts.get(account, 1)
        # Daemons divide themselves among the holders of a large account.
        preferred = rank_daemons(ordered[:count], f'{self._own}/{account}')
        preferred.sort(key=lambda daemon: daemon.vm != self._own)
        others = ranked[self._settings.per_database :]
        return (*preferred, *ordered[count:], *others)

    def assigned_accounts(self, server: BackendServer) -> int:
        """Return for how many accounts this daemon holds a database."""
        site = (server.group, server.data_centre)
        count = self._assigned.get(site)
        if count is None:
            count = self._assigned[site] = self._count_assigned(*site)
        return count

    def is_assigned(self, server: BackendServer, account: AccountId) -> bool:
        """Tell whether this daemon holds a database for an account."""
        key = (server.group, server.data_centre, account)
        is_assigned = self._is_assigned.get(key)
        if is_assigned is None:
            shared = self._ranked_holders(*key[:2])
            is_assigned = self._is_holder(
                shared[: self._settings.per_database], server.group, account
            )
            self._is_assigned[key] = is_assigned
        return is_assigned

    def _set_daemons(self, daemons: tuple[ServingDaemon, ...]) -> None:
        self._daemons = daemons
        self._ranked.clear()
        self._by_data_centre = {}
        for daemon in daemons:
            self._by_data_centre.setdefault(daemon.data_centre, []).append(
                daemon
            )

    def _count_holders(
        self, rates: dict[AccountId, float]
    ) -> dict[AccountId, int]:
        """Return the number of holders of each account that has several."""
        total = sum(rates.values())
        counts = {}
        for account, rate in rates.items():
            share = rate / total if total else 0.0
            count = 1 + math.floor(share / self._settings.account_share)
            if count > 1:
                counts[account] = min(count, self._settings.per_database)
        return counts

    def _count_assigned(
        self, service: ServiceId, data_centre: DataCentreId
    ) -> int:
        shared = self._ranked_holders(service, data_centre)
        shared = shared[: self._settings.per_database]
        if all(daemon.vm != self._own for daemon in shared):
            return 0
        return sum(
            self._is_holder(shared, service, account)
            for account, _ in self._accounts
        )

    def _is_holder(
        self,
        shared: Sequence[ServingDaemon],
        service: ServiceId,
        account: AccountId,
    ) -> bool:
        count = self._holder_counts.get(account, 1)
        ranked = rank_daemons(shared, f'{service}/{account}')
        return self._own in [daemon.vm for daemon in ranked[:count]]

    def _ranked_holders(
        self, service: ServiceId, data_centre: DataCentreId
    ) -> tuple[ServingDaemon, ...]:
        """Return the holding daemons of a data centre for a service."""
        ranked = self._ranked.get((service, data_centre))
        if ranked is None:
            local = self._by_data_centre.get(data_centre, [])
            count = max(
                self._settings.min_per_data_centre,
                math.ceil(len(local) * self._settings.data_centre_share),
            )
            holding = rank_daemons(local, data_centre)[:count]
            ranked = tuple(rank_daemons(holding, f'{service}/{data_centre}'))
            self._ranked[service, data_centre] = ranked
        return ranked
