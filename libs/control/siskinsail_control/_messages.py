"""Cap'n Proto messages between daemons and the control leader."""

from enum import Enum
from enum import unique
from pathlib import Path
from typing import Any
from typing import TypeVar

import capnp
import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_limits import LoanBalance
from siskinsail_limits import LoanGrant
from siskinsail_limits import LoanReport
from siskinsail_net import MessageCodec
from siskinsail_types import AccountId
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import LogIndex
from siskinsail_types import OrderNumber
from siskinsail_types import Placement
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import VmId

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name('control.capnp')))

SYNC_METHOD = 'control.sync'
BORROW_METHOD = 'control.borrow'
REPORT_METHOD = 'control.report'
OPERATOR_METHOD = 'control.operator'
RELAY_METHOD = 'control.relay'
"""Called at a daemon, by the origin of the call to relay."""
RELAYED_METHOD = 'control.relayed'
"""Called at a control member, by the daemon that relays the call."""
RELAYABLE_METHODS = frozenset({SYNC_METHOD, BORROW_METHOD, REPORT_METHOD})


@unique
class Status(Enum):
    """Outcome of a call; the values are the enumerants of the schema."""

    OK = 'ok'
    NOT_LEADER = 'notLeader'
    NOT_REGISTERED = 'notRegistered'
    SUPERSEDED = 'superseded'


@unique
class RelayStatus(Enum):
    """Outcome at the relay; the values are enumerants of the schema."""

    OK = 'ok'
    UNAVAILABLE = 'unavailable'
    FULL = 'full'
    FORBIDDEN = 'forbidden'
    UNANSWERED = 'unanswered'


class _Message(
    msgspec.Struct, frozen=True, rename='camel', omit_defaults=True
):
    """Base class of all messages; fields are encoded with schema names."""


class Announcement(_Message, frozen=True):
    """Announcement of a database and the time since a daemon received it."""

    group: ServiceId
    database: DatabaseId
    data_centre: DataCentreId
    address: str
    admin_address: str
    term: Term
    log_term: Term
    index: LogIndex
    role: DatabaseRole
    slots: int
    connections: int
    leaving: bool
    age_s: float
    incarnation: int = 0
    sequence: int = 0

    @classmethod
    def from_server(
        cls, server: BackendServer, age_s: float
    ) -> 'Announcement':
        """Build the message for a received announcement."""
        return cls(**msgspec.structs.asdict(server), age_s=age_s)

    @property
    def server(self) -> BackendServer:
        """The announced backend server, without the age."""
        fields = msgspec.structs.asdict(self)
        del fields['age_s']
        return BackendServer(**fields)


class Evidence(_Message, frozen=True):
    """Evidence of liveness or a connection failure of a database."""

    database: DatabaseId
    age_s: float
    answered: bool


class Departure(_Message, frozen=True):
    """Notice that a database was stopped as planned.

    Parameters
    ----------
    incarnation : int
        Incarnation that was stopped. A later one at the same name goes on.
    """

    database: DatabaseId
    incarnation: int


class Balance(_Message, frozen=True):
    """Token balance of one account that a daemon reports to register."""

    account: AccountId
    tokens: float
    spent: float = 0.0

    @classmethod
    def from_balance(
        cls, account: AccountId, balance: LoanBalance
    ) -> 'Balance':
        """Build the message for the balance of an account."""
        return cls(account, balance.held, balance.spent)

    @property
    def balance(self) -> LoanBalance:
        """The decoded balance."""
        return LoanBalance(self.tokens, self.spent)


class GrantMessage(_Message, frozen=True):
    """A ``LoanGrant``; ``retry_after_s`` is valid only with ``empty``."""

    account: AccountId
    granted: float
    empty: bool = False
    retry_after_s: float = 0.0

    @classmethod
    def from_grant(cls, grant: LoanGrant) -> 'GrantMessage':
        """Build the message for a grant."""
        wait_s = grant.retry_after_s
        return cls(
            grant.account, grant.granted, wait_s is not None, wait_s or 0
        )

    @property
    def grant(self) -> LoanGrant:
        """The decoded grant."""
        wait_s = self.retry_after_s if self.empty else None
        return LoanGrant(self.account, self.granted, wait_s)


class ConnectionReport(_Message, frozen=True):
    """Allowed, open and wanted connections of a daemon to one database."""

    database: DatabaseId
    allowed: int
    open: int
    wanted: int


class Allowance(_Message, frozen=True):
    """Connections to one database that are lent to a daemon."""

    database: DatabaseId
    allowed: int


class UsageEntry(_Message, frozen=True):
    """Requests of a client account in a window, since the process started."""

    window: int
    account: AccountId
    requests: int


class SyncRequest(_Message, frozen=True):
    """State of a daemon; an answer with status ``OK`` renews its lease."""

    incarnation: str
    data_centre: DataCentreId
    sequence: int
    leader_term: int = 0
    view_version: int = 0
    ready: bool = False
    leaving: bool = False
    balances: tuple[Balance, ...] = ()
    reports: tuple[LoanReport, ...] = ()
    announcements: tuple[Announcement, ...] = ()
    evidence: tuple[Evidence, ...] = ()
    connections: tuple[ConnectionReport, ...] = ()
    changes_only: bool = False
    answered_sequence: int = 0
    used_share_s: float = 0.0
    peer_address: str = ''
    view_digests: bytes = b''
    wall_s: float = 0.0
    usage_window: int = 0
    usage: tuple[UsageEntry, ...] = ()

    @property
    def is_idle(self) -> bool:
        """Whether the daemon has nothing to report since its last call."""
        return self.changes_only and not (
            self.reports
            or self.announcements
            or self.evidence
            or self.connections
        )


class SyncAnswer(_Message, frozen=True):
    """Changes since the last call; status ``OK`` grants a lease."""

    status: Status
    leader: str = ''
    leader_term: int = 0
    view: bytes = b''
    grants: tuple[GrantMessage, ...] = ()
    has_allowances: bool = False
    allowances: tuple[Allowance, ...] = ()
    daemons: int = 0
    members: str = ''
    true_s: float = 0.0
    usage_closed: int = 0


class BorrowRequest(_Message, frozen=True):
    """Loan reports of accounts that have run out of tokens."""

    incarnation: str
    leader_term: int
    reports: tuple[LoanReport, ...] = ()
    registration: int = 0


class BorrowAnswer(_Message, frozen=True):
    """Tokens that are lent in reply to a borrow request."""

    status: Status
    leader: str = ''
    grants: tuple[GrantMessage, ...] = ()


class ReportRequest(_Message, frozen=True):
    """Observations that must not wait for the next sync call."""

    announcements: tuple[Announcement, ...] = ()
    evidence: tuple[Evidence, ...] = ()
    departed: tuple[Departure, ...] = ()


class ReportAnswer(_Message, frozen=True):
    """Whether the leader has accepted a report."""

    status: Status
    leader: str = ''


class RelayRequest(_Message, frozen=True):
    """Control call of another daemon, the origin.

    Parameters
    ----------
    timeout_s : float
        Time until the origin stops waiting; 0 at a control member.
    """

    method: str
    payload: bytes
    origin: VmId
    timeout_s: float = 0.0


class RelayAnswer(_Message, frozen=True):
    """Answer to a relayed call; ``payload`` is valid only with ``OK``."""

    status: RelayStatus
    payload: bytes = b''


class OperatorRequest(_Message, frozen=True):
    """HTTP request of an operator, already authenticated by the daemon."""

    method: str
    path: str
    body: bytes = b''


class PlacementRequest(msgspec.Struct, frozen=True):
    """JSON body of the operator request that places a data centre.

    Parameters
    ----------
    last_order : OrderNumber
        See ``CatalogueState.set_placement``.
    """

    data_centre: DataCentreId
    placement: Placement
    last_order: OrderNumber


class PlacementQuery(msgspec.Struct, frozen=True):
    """JSON body of the request for the last order of a data centre."""

    data_centre: DataCentreId


class PlacementState(msgspec.Struct, frozen=True):
    """JSON body of the answer to a ``PlacementQuery``."""

    last_order: OrderNumber


class BackendServerQuery(msgspec.Struct, frozen=True):
    """JSON body of the request for the incarnation of a database."""

    database: DatabaseId


class BackendServerState(msgspec.Struct, frozen=True):
    """JSON body of the answer to a ``BackendServerQuery``.

    Parameters
    ----------
    incarnation : int or None
        Incarnation of the member, None if the database is no member.
    """

    incarnation: int | None


class OperatorAnswer(_Message, frozen=True):
    """HTTP response of the leader to an operator."""

    status: Status
    leader: str = ''
    http_status: int = 0
    body: bytes = b''


_MessageT = TypeVar('_MessageT', bound=_Message)

_CODECS: dict[type, MessageCodec] = {
    message_type: MessageCodec(
        message_type, getattr(_schema, message_type.__name__)
    )
    for message_type in (
        SyncRequest,
        SyncAnswer,
        BorrowRequest,
        BorrowAnswer,
        ReportRequest,
        ReportAnswer,
        RelayRequest,
        RelayAnswer,
        OperatorRequest,
        OperatorAnswer,
    )
}


def encode_message(message: _Message) -> bytes:
    """Encode a message as Cap'n Proto bytes."""
    return _CODECS[type(message)].encode(message)


def decode_message(message_type: type[_MessageT], data: bytes) -> _MessageT:
    """Decode a message from Cap'n Proto bytes.

    Raises
    ------
    ProtocolError
        If the bytes are not a message of this type.
    """
    message: _MessageT = _CODECS[message_type].decode(data)
    return message
