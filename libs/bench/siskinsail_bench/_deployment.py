"""Descriptions of deployments that a fleet can start."""

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Any

from siskinsail_net import FaultRule
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import RegionId
from siskinsail_types import ServiceId
from siskinsail_types import VmId

CALLER_DELAY_S = 0.003
REGION_DELAY_S = 0.010
PLATFORM_NUMBER = 100


@unique
class HostKind(Enum):
    """Kind of process; the third octet of its loopback address."""

    ENTRY_VM = 1
    DATABASE = 2
    CALLER = 3
    BALANCER = 4


@dataclass(frozen=True)
class DataCentre:
    """A data centre; ``number`` is the second octet of its addresses."""

    name: DataCentreId
    region: RegionId
    number: int

    def host(self, kind: HostKind, number: int) -> str:
        """Return the IP address of a process in this data centre."""
        return f'127.{self.number}.{kind.value}.{number}'

    @property
    def address_prefix(self) -> str:
        """Common prefix of all IP addresses in the data centre."""
        return f'127.{self.number}.'


@dataclass(frozen=True)
class EntryVm:
    """An entry VM; ``is_control`` marks control members."""

    name: VmId
    data_centre: DataCentre
    number: int
    is_control: bool


@dataclass(frozen=True)
class Database:
    """A database; ``is_primary`` marks the primary of term 1."""

    name: DatabaseId
    group: ServiceId
    data_centre: DataCentre
    number: int
    is_primary: bool


@dataclass(frozen=True)
class Deployment:
    """Entry VMs, databases and network delays of a deployment.

    Parameters
    ----------
    slots : int
        Greatest number of units that a database runs concurrently.
    connections : int
        Greatest number of connections of the whole fleet to the databases of
        one service.
    service_s : float
        Time for which a statement occupies a slot, in seconds.
    same_region_delay_s : float
        One-way delay between data centres of one region, in seconds.
    """

    name: str
    data_centres: tuple[DataCentre, ...]
    vms: tuple[EntryVm, ...]
    databases: tuple[Database, ...]
    slots: int
    connections: int
    service_s: float = 0.001
    same_region_delay_s: float = 0.0015

    @property
    def services(self) -> tuple[ServiceId, ...]:
        """Names of the services; each has one database group."""
        return tuple(dict.fromkeys(d.group for d in self.databases))

    @property
    def connections_per_database(self) -> int:
        """Connection limit of one database."""
        database_count = len(self.databases) // len(self.services)
        return self.connections // database_count

    def databases_of(self, service: ServiceId) -> tuple[Database, ...]:
        """Return the databases of a group."""
        return tuple(d for d in self.databases if d.group == service)

    def delays(self) -> list[FaultRule]:
        """Return rules for the delays between data centres and to callers."""
        rules = []
        for source_centre in self.data_centres:
            for target_centre in self.data_centres:
                if source_centre is not target_centre:
                    delay_s = (
                        self.same_region_delay_s
                        if source_centre.region == target_centre.region
                        else REGION_DELAY_S
                    )
                    rules.append(
                        FaultRule(
                            source_centre.address_prefix,
                            target_centre.address_prefix,
                            delay_s=delay_s,
                        )
                    )
            caller_prefix = source_centre.host(HostKind.CALLER, 0)[:-1]
            vm_prefix = source_centre.host(HostKind.ENTRY_VM, 0)[:-1]
            for source, target in (
                (caller_prefix, vm_prefix),
                (vm_prefix, caller_prefix),
            ):
                rules.append(FaultRule(source, target, delay_s=CALLER_DELAY_S))
        return rules


def collective(entry_vms: int = 6) -> Deployment:
    """Return the deployment of the Adwoa Refill Collective."""
    centres = (
        _data_centre('accra-tema', 'greater-accra', 1),
        _data_centre('kumasi-adum', 'ashanti', 2),
        _data_centre('tamale-central', 'northern', 3),
    )
    return Deployment(
        'collective',
        centres,
        _entry_vms(centres, entry_vms),
        _databases(centres, 'refill-ledger', 3),
        slots=5,
        connections=30,
    )


def nastro(entry_vms: int = 6) -> Deployment:
    """Return the deployment of Nastro Etneo Duplicazioni."""
    centres = (
        _data_centre('catania-a', 'sicilia-est', 1),
        _data_centre('palermo-a', 'sicilia-ovest', 2),
        _data_centre('reggio-a', 'calabria', 3),
    )
    return Deployment(
        'nastro',
        centres,
        _entry_vms(centres, entry_vms),
        _databases(centres, 'ordini-db', 3),
        slots=3,
        connections=30,
        same_region_delay_s=0.0005,
    )


def small() -> Deployment:
    """Return a deployment of three control members and one service."""
    base = collective(3)
    return Deployment(
        'small',
        base.data_centres,
        base.vms,
        base.databases[:3],
        slots=base.slots,
        connections=base.connections,
    )


@dataclass(frozen=True)
class Account:
    """A client account in the catalogue of a deployment."""

    name: str
    rate: float
    burst: float
    key_digest: str
    weight: int = 1


def catalogue_puts(
    deployment: Deployment, accounts: list[Account]
) -> list[dict[str, Any]]:
    """Return the entries of the initial catalogue.

    Each service has the routes ``SERVICE-read`` (latest data),
    ``SERVICE-history`` (at most 5 s old), ``SERVICE-write`` and
    ``SERVICE-transaction``.
    """
    puts: list[dict[str, Any]] = []
    for service in deployment.services:
        puts.append(
            _entry(
                'service',
                service,
                slots=deployment.slots,
                connections=deployment.connections,
            )
        )
        for suffix, mode, extra in _SERVICE_ROUTES:
            name = f'{service}-{suffix}'
            puts.append(
                _entry('route', name, service=service, mode=mode, **extra)
            )
    for centre in deployment.data_centres:
        puts.append(_entry('data_centre', centre.name, placement='in'))
    for account in accounts:
        puts.append(
            _entry(
                'account',
                account.name,
                rate=account.rate,
                burst=account.burst,
                weight=account.weight,
            )
        )
        puts.append(
            _entry('key', account.key_digest, account=account.name)
            | {'owner': account.name}
        )
    return puts


_SERVICE_ROUTES: tuple[tuple[str, str, dict[str, Any]], ...] = (
    ('read', 'read', {}),
    ('history', 'read', {'max_age_s': 5.0}),
    ('write', 'write', {}),
    ('transaction', 'transaction', {}),
)


def _entry(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    common_fields = {
        'kind': kind,
        'name': name,
        'owner': 'platform',
        'version': 0,
    }
    return common_fields | spec


def _data_centre(name: str, region: str, number: int) -> DataCentre:
    return DataCentre(DataCentreId(name), RegionId(region), number)


def _entry_vms(
    centres: tuple[DataCentre, ...], count: int
) -> tuple[EntryVm, ...]:
    vms = []
    for number in range(count):
        centre = centres[number % len(centres)]
        local_number = number // len(centres) + 1
        name = VmId(f'{centre.name}-vm-{local_number}')
        vms.append(EntryVm(name, centre, local_number, local_number == 1))
    return tuple(vms)


def _databases(
    centres: tuple[DataCentre, ...], service: str, services: int
) -> tuple[Database, ...]:
    databases = []
    for number in range(1, services + 1):
        group = ServiceId(f'{service}-{number}')
        for centre_index, centre in enumerate(centres):
            name = DatabaseId(f'{group}-{"abc"[centre_index]}')
            is_primary = centre_index == (number - 1) % len(centres)
            databases.append(Database(name, group, centre, number, is_primary))
    return tuple(databases)
