"""Settings of ``siskinsaild``."""

from pathlib import Path
from typing import Annotated

import pydantic
from pydantic import Field

from siskinsail_backend import BackendSettings
from siskinsail_backend import QueuePolicy
from siskinsail_budget import BudgetSettings
from siskinsail_consensus import ConsensusSettings
from siskinsail_consensus import MemberAddress
from siskinsail_control import ControlSettings
from siskinsail_limits import LimitPolicy
from siskinsail_limits import LimitSettings
from siskinsail_proxy import ProxySettings
from siskinsail_settings import NamedAddress
from siskinsail_telemetry import LogFile
from siskinsail_types import Address
from siskinsail_types import DataCentreId
from siskinsail_types import KeyDigest
from siskinsail_types import RegionId
from siskinsail_types import Secret
from siskinsail_types import VmId

Name = Annotated[str, Field(min_length=1, max_length=64)]


class DaemonSettings(
    pydantic.BaseModel, frozen=True, arbitrary_types_allowed=True
):
    """Identity, addresses, limits and policies of a daemon."""

    control: ControlSettings = ControlSettings()
    vm: Name = Field(description='name of this entry VM')
    data_centre: Name = Field(description='data centre of this entry VM')
    region: str = Field('', description='region of the data centre')
    client_address: Address = Field(
        description='address that clients connect to'
    )
    peer_address: Address = Field(
        description='address that other daemons connect to'
    )
    operator_address: Address = Field(
        description='address that operators, the load balancer and databases '
        'connect to'
    )
    control_members: tuple[NamedAddress, ...] = Field(
        min_length=1,
        max_length=7,
        description='peer addresses of all control members',
    )
    data_folder: Path | None = Field(
        None,
        description='data folder of a control member; empty on other '
        'entry VMs',
    )
    fleet_secret: Secret = Field(
        description='secret shared by all daemons of the fleet'
    )
    operator_key_digest: str = Field(
        '',
        description='digest of the operator key; if empty, operators are '
        'refused',
    )
    log_file: Path | None = Field(
        None, description='file of the event log; if empty, standard output'
    )
    log_max_bytes: int = Field(
        100_000_000,
        ge=1_000,
        le=1_000_000_000_000,
        description='size at which the log file is rotated',
    )
    log_files_kept: int = Field(
        10,
        ge=1,
        le=1_000,
        description='number of rotated log files that are kept',
    )
    fault_rules: Path | None = Field(
        None,
        description='file with rules for network fault injection; for '
        'tests only',
    )
    # The load balancer checks readiness several times within this time.
    balancer_wait_s: float = Field(
        1.0,
        ge=0,
        le=60,
        description='delay at shutdown between reporting not ready and '
        'refusing requests',
    )
    # Connecting takes about 10 ms plus two round trips of 20 ms between
    # regions. The limit ensures that a database that does not respond cannot
    # keep an entry VM out of service.
    warm_up_s: float = Field(
        2.0,
        ge=0,
        le=60,
        description='maximum delay of readiness until database connections '
        'are open',
    )
    drain_s: float = Field(
        30.0,
        ge=0,
        le=600,
        description='maximum wait at shutdown for transactions to finish',
    )
    transaction_idle_s: float = Field(
        30.0,
        gt=0,
        le=3600,
        description='time without a statement after which a transaction is '
        'rolled back',
    )
    # One tenth of the 1,000 open transactions that a daemon allows.
    max_transactions_per_account: int = Field(
        100,
        ge=1,
        le=1000,
        description='maximum number of open transactions of a client '
        'account on this entry VM',
    )
    # The times of the records have a resolution of one second.
    record_retention_s: float = Field(
        604_800.0,
        ge=1,
        le=31_622_400,
        description='time for which idempotency records are kept; must be the '
        'same on all entry VMs',
    )
    clock_error_s: float = Field(
        300.0,
        ge=0,
        le=86_400,
        description='maximum error of the wall clock of any entry VM; '
        'idempotency records are kept longer by twice this time',
    )
    reads_on_primary_only: bool = Field(
        False, description='run no reads on replicas; baseline for comparisons'
    )
    queue_policy: QueuePolicy = Field(
        QueuePolicy.FAIR, description='order in which queued requests run'
    )
    limit_policy: LimitPolicy = Field(
        LimitPolicy.LENT,
        description='how rate limits are divided among daemons',
    )
    limit_shares: int = Field(
        1,
        ge=1,
        le=10_000,
        description='number of daemons that share each rate limit under '
        'the static policy',
    )
    lender_wait_s: float = Field(
        3.0,
        gt=0,
        le=60,
        description='maximum wait for a token while no control leader '
        'responds',
    )
    refuses_while_cut_off: bool = Field(
        False,
        description='refuse requests at once that would wait for a token in '
        'vain, since no control member can be reached',
    )
    memory_mb: float = Field(
        0.0,
        ge=0,
        le=1_000_000,
        description='memory of the machine in MiB, a fifth of which limits '
        'the buffers of clients; 0 for no limit',
    )
    max_fds: int = Field(
        0,
        ge=0,
        le=10_000_000,
        description='descriptors of the process, which limit the accepted '
        'connections; 0 for no limit',
    )
    uses_uvloop: bool = Field(True, description='use the uvloop event loop')

    @pydantic.model_validator(mode='after')
    def _check_membership(self) -> 'DaemonSettings':
        names = [member.name for member in self.control_members]
        if len(set(names)) != len(names):
            raise ValueError(
                'control_members contains a duplicate member name'
            )
        if self.data_folder is not None and self.vm not in names:
            raise ValueError(
                'data_folder is set, but control_members does not name '
                f'this entry VM, {self.vm}'
            )
        return self

    @property
    def budget(self) -> BudgetSettings:
        """Limits of buffers and connections."""
        return BudgetSettings(self.memory_mb, self.max_fds)

    @property
    def vm_id(self) -> VmId:
        """Name of this entry VM."""
        return VmId(self.vm)

    @property
    def region_id(self) -> RegionId:
        """Region of the data centre."""
        return RegionId(self.region)

    @property
    def data_centre_id(self) -> DataCentreId:
        """Data centre of this entry VM."""
        return DataCentreId(self.data_centre)

    @property
    def key_digest(self) -> KeyDigest:
        """Digest of the operator key, empty if there is none."""
        return KeyDigest(self.operator_key_digest)

    def members(self) -> dict[VmId, Address]:
        """Return the peer addresses of the control members."""
        return {
            VmId(member.name): member.address
            for member in self.control_members
        }

    def log(self) -> LogFile | None:
        """Return the log file settings, None for standard output."""
        if self.log_file is None:
            return None
        return LogFile(self.log_file, self.log_max_bytes, self.log_files_kept)

    def proxy(self) -> ProxySettings:
        """Return the settings of the request path."""
        return ProxySettings(
            vm_id=self.vm_id,
            reads_on_primary_only=self.reads_on_primary_only,
            transaction_idle_s=self.transaction_idle_s,
            max_transactions_per_account=self.max_transactions_per_account,
            record_retention_s=self.record_retention_s,
            clock_error_s=self.clock_error_s,
        )

    def backend(self) -> BackendSettings:
        """Return the settings of the database connection pools."""
        return BackendSettings(
            data_centre=self.data_centre_id, queue_policy=self.queue_policy
        )

    def limits(self) -> LimitSettings:
        """Return the settings of the rate limits."""
        return LimitSettings(
            limit_policy=self.limit_policy,
            limit_shares=self.limit_shares,
            lender_wait_s=self.lender_wait_s,
            refuses_while_cut_off=self.refuses_while_cut_off,
        )

    def consensus(self, data_folder: Path) -> ConsensusSettings:
        """Return the settings of the replicated log."""
        return ConsensusSettings(
            vm_id=self.vm_id,
            members=tuple(
                MemberAddress(name, address)
                for name, address in self.members().items()
            ),
            data_folder=data_folder,
        )
