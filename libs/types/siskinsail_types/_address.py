"""Network addresses."""

import ipaddress
from typing import NamedTuple

from ._errors import ProtocolError

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5
# Number of characters of an invalid address that a message quotes.
_QUOTED = 60


class Address(NamedTuple):
    """An IP address and a port.

    Examples
    --------
    >>> Address.parse('127.1.1.1:7000')
    Address(host='127.1.1.1', port=7000)
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``host:port``.

        Raises
        ------
        ProtocolError
            If the host is missing or the port is not from 0 to 65535.
        """
        host, _, port = text.rpartition(':')
        if not host or not _is_port(port):
            raise ProtocolError(
                f'invalid address, expected host:port: {text[:_QUOTED]!r}'
            )
        return cls(host, int(port))

    @classmethod
    def parse_remote(cls, text: str) -> 'Address':
        """Parse an address that another process listens on.

        Raises
        ------
        ProtocolError
            If the host is not an IP address or the port is not from 1 to
            65535.
        """
        address = cls.parse(text)
        try:
            ipaddress.ip_address(address.host)
        except ValueError as error:
            raise ProtocolError(
                f'invalid address, expected an IP address: {text[:_QUOTED]!r}'
            ) from error
        if address.port == 0:
            raise ProtocolError(f'invalid address, port 0: {text[:_QUOTED]!r}')
        return address


def _is_port(text: str) -> bool:
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= _MAX_PORT_DIGITS
        and int(text) <= _MAX_PORT
    )
