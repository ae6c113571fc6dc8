"""Network addresses."""

from typing import NamedTuple

from ._errors import ProtocolError


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
        if not host or not port.isdigit() or int(port) > 65535:
            raise ProtocolError(
                f'invalid address, expected host:port: {text!r}'
            )
        return cls(host, int(port))
