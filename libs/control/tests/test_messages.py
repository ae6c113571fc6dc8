"""Tests of the encoding of messages between daemons and the leader."""

import pytest

from siskinsail_catalogue import BackendServer
from siskinsail_control._messages import Allowance
from siskinsail_control._messages import Announcement
from siskinsail_control._messages import BorrowAnswer
from siskinsail_control._messages import ConnectionReport
from siskinsail_control._messages import decode_message
from siskinsail_control._messages import encode_message
from siskinsail_control._messages import Evidence
from siskinsail_control._messages import GrantMessage
from siskinsail_control._messages import OperatorAnswer
from siskinsail_control._messages import Status
from siskinsail_control._messages import SyncAnswer
from siskinsail_control._messages import SyncRequest
from siskinsail_types import AccountId
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import LogIndex
from siskinsail_types import ProtocolError
from siskinsail_types import ServiceId
from siskinsail_types import Term

DATABASE = DatabaseId('ledger-a')
SERVER = BackendServer(
    group=ServiceId('ledger'),
    database=DATABASE,
    data_centre=DataCentreId('accra-tema'),
    address='127.0.0.1:1',
    admin_address='127.0.0.1:2',
    term=Term(7),
    log_term=Term(6),
    index=LogIndex(1 << 40),
    role=DatabaseRole.PRIMARY,
    slots=5,
    connections=10,
    leaving=True,
)
REQUEST = SyncRequest(
    incarnation='one',
    data_centre='accra-tema',
    sequence=9,
    leader_term=3,
    view_version=1 << 50,
    ready=True,
    announcements=(Announcement.from_server(SERVER, 0.25),),
    evidence=(Evidence(DATABASE, 0.0, True), Evidence(DATABASE, 1.0, False)),
    connections=(ConnectionReport(DATABASE, 2, 1, 0),),
)


@pytest.mark.parametrize(
    'message',
    [
        REQUEST,
        SyncRequest(incarnation='', data_centre='', sequence=0),
        SyncAnswer(
            Status.SUPERSEDED,
            'vm-1',
            view=b'\0\1',
            grants=(GrantMessage(AccountId('one'), 1.5, True, 0.5),),
            has_allowances=True,
            allowances=(Allowance(DATABASE, 0),),
        ),
        BorrowAnswer(Status.OK),
        OperatorAnswer(Status.NOT_LEADER, http_status=503, body=b'{}'),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_is_decoded_as_it_was_encoded(message: object) -> None:
    """Guards against a field that is skipped or decoded as another one."""
    data = encode_message(message)  # type: ignore[arg-type]
    assert decode_message(type(message), data) == message  # type: ignore[type-var]


@pytest.mark.parametrize('length', [0, 1, 8, 24, 100])
def test_bytes_that_are_not_a_message_are_refused(length: int) -> None:
    """Guards against an untyped error, which would close the connection."""
    data = encode_message(REQUEST)
    with pytest.raises(ProtocolError):
        decode_message(SyncRequest, data[:length])


def test_an_unknown_status_is_refused() -> None:
    """Guards against a status of a later protocol version that is accepted."""
    data = bytearray(encode_message(SyncAnswer(Status.SUPERSEDED)))
    position = data.index(3, 8)
    data[position] = 200
    with pytest.raises(ProtocolError):
        decode_message(SyncAnswer, bytes(data))
