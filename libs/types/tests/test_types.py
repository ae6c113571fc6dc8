"""Tests of the order of positions, hidden secrets, addresses and codes."""

import pytest

from siskinsail_types import Address
from siskinsail_types import ErrorCode
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import Term


@pytest.mark.parametrize(
    ('earlier', 'later'),
    [
        ((1, 5), (1, 6)),
        ((1, 9), (2, 1)),
    ],
)
def test_positions_compare_by_term_first(
    earlier: tuple[int, int], later: tuple[int, int]
):
    assert Position(Term(earlier[0]), LogIndex(earlier[1])) < Position(
        Term(later[0]), LogIndex(later[1])
    )


@pytest.mark.parametrize('to_text', [str, repr, '{}'.format, '{!r}'.format])
def test_secret_is_hidden(to_text):
    assert 'hush' not in to_text(Secret('hush'))


@pytest.mark.parametrize('text', ['', 'host', ':80', 'host:', 'h:70000'])
def test_invalid_addresses_are_refused(text: str):
    with pytest.raises(ProtocolError):
        Address.parse(text)


def test_every_error_code_has_an_http_status():
    assert all(code.http_status >= 400 for code in ErrorCode)
