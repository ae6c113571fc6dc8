"""Checks of the announcements of databases."""

from siskinsail_types import Address
from siskinsail_types import ProtocolError

from ._view import BackendServer

MAX_NAME_LENGTH = 128
# Terms, log indexes and sequence numbers have 64 bits in messages, in which
# signed readers accept only these.
MAX_NUMBER = (1 << 63) - 1
# Bounds of counts that have 32 bits in messages.
MAX_SERVER_SLOTS = 10_000
MAX_SERVER_CONNECTIONS = 100_000


def check_backend_server(server: BackendServer) -> None:
    """Check that a database may be a member of the view.

    The view is sent to every daemon, so a value that a daemon cannot use
    must be refused where the announcement arrives.

    Raises
    ------
    ProtocolError
        If an address, a name or a number is out of range.
    """
    for name in (server.group, server.database, server.data_centre):
        if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
            raise ProtocolError('a name is empty, too long or not printable')
    for address in (server.address, server.admin_address):
        if len(address) > MAX_NAME_LENGTH:
            raise ProtocolError('an address is too long')
        Address.parse_remote(address)
    numbers = (
        server.term,
        server.log_term,
        server.index,
        server.incarnation,
        server.sequence,
    )
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise ProtocolError(
            'a term, index, incarnation or sequence is out of range'
        )
    if not 0 <= server.slots <= MAX_SERVER_SLOTS:
        raise ProtocolError('the number of slots is out of range')
    if not 0 <= server.connections <= MAX_SERVER_CONNECTIONS:
        raise ProtocolError('the number of connections is out of range')
