"""Guards that signed tokens are decoded and all others are refused."""

import base64

import msgspec
import pytest

from siskinsail_sessions import ForeignTokenError
from siskinsail_sessions import MalformedTokenError
from siskinsail_sessions import MAX_POSITIONS
from siskinsail_sessions import Session
from siskinsail_sessions import TokenCodec
from siskinsail_sessions import TooManyPositionsError
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import ServiceId
from siskinsail_types import SessionId
from siskinsail_types import Term

CODEC = TokenCodec((b'new', b'old'))
ORDERS = ServiceId('orders')
SESSION = Session(SessionId('s1'), {ORDERS: (2, 9)}, 5)


def _at(term: int, index: int) -> Position:
    return Position(Term(term), LogIndex(index))


def _with_changed_byte(token: str) -> str:
    raw = bytearray(base64.urlsafe_b64decode(token))
    raw[3] ^= 1
    return base64.urlsafe_b64encode(raw).decode()


@pytest.mark.parametrize('signer', [b'new', b'old'])
def test_every_secret_verifies(signer):
    """Guards against a secret rotation that invalidates open sessions."""
    token = TokenCodec((signer,)).encode(SESSION)
    assert CODEC.decode(token).unwrap() == SESSION


def test_first_secret_signs():
    """Guards against signing with a secret that is being rotated out."""
    token = CODEC.encode(SESSION)
    assert TokenCodec((b'new',)).decode(token).unwrap() == SESSION


@pytest.mark.parametrize(
    ('token', 'error'),
    [
        (_with_changed_byte(CODEC.encode(SESSION)), ForeignTokenError),
        (TokenCodec((b'other',)).encode(SESSION), ForeignTokenError),
        ('', ForeignTokenError),
        ('not base64!', MalformedTokenError),
        ('\u00e9', MalformedTokenError),
        ('A' * 5000, MalformedTokenError),
        (
            CODEC.encode(
                msgspec.structs.replace(
                    SESSION,
                    positions={ServiceId(f's{n}'): (1, n) for n in range(17)},
                )
            ),
            MalformedTokenError,
        ),
    ],
)
def test_unusable_tokens_are_refused(token, error):
    """Guards against positions that were not signed by the fleet."""
    assert isinstance(CODEC.decode(token).failure(), error)


@pytest.mark.parametrize(
    ('position', 'expected'),
    [
        (_at(2, 8), (2, 9)),
        (_at(1, 50), (2, 9)),
        (_at(2, 10), (2, 10)),
        (_at(3, 1), (3, 1)),
    ],
)
def test_a_position_never_decreases(position, expected):
    """Guards against a delayed response that lowers a position."""
    merged = SESSION.advance(ORDERS, position, lambda *_: False).unwrap()
    assert merged.positions[ORDERS] == expected


def test_only_positions_that_all_replicas_passed_are_dropped():
    """Guards read-your-writes in sessions that use many services."""
    full = Session(
        SessionId('s1'),
        {ServiceId(f's{n}'): (1, n) for n in range(MAX_POSITIONS)},
        0,
    )
    refused = full.advance(ORDERS, _at(1, 1), lambda *_: False).failure()
    assert isinstance(refused, TooManyPositionsError)
    merged = full.advance(
        ORDERS, _at(1, 1), lambda _, position: position.index >= 3
    ).unwrap()
    assert len(merged.positions) == MAX_POSITIONS
    assert ServiceId('s3') not in merged.positions
    assert ServiceId('s0') in merged.positions
