"""Versioned declaration of the whole catalogue by an operator."""

import zlib

import msgspec

from siskinsail_types import ConfigurationVersion
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import ProtocolError

from ._entry import Entry

# Protects against decompression bombs; far above the largest catalogue,
# whose number of entries is limited.
_MAX_DECODED_BYTES = 16 * 1024 * 1024


class Configuration(msgspec.Struct, frozen=True):
    """Declaration of the whole catalogue by an operator.

    It replaces all services, routes, client accounts and keys. Entries of
    data centres and backend servers are not affected, because their
    placement is changed separately.

    Parameters
    ----------
    version : ConfigurationVersion
        Version chosen by the operator; the highest version is in force.
    entries : tuple of Entry
        The declared entries; the versions of the entries are ignored.
    document : bytes
        Original text of the operator, returned when the configuration is
        read.
    """

    version: ConfigurationVersion
    entries: tuple[Entry, ...]
    document: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the compressed stored form of a configuration.

    Compression reduces a configuration with hundreds of similar routes to
    about a twentieth of its size, which matters on disks of 128 MB.
    """
    return zlib.compress(_encoder.encode(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Decode the stored form of a configuration.

    Raises
    ------
    ProtocolError
        If ``data`` is not a valid configuration.
    """
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(data, _MAX_DECODED_BYTES)
        if reader.unconsumed_tail or not reader.eof:
            raise ProtocolError(
                'the configuration exceeds the size limit or is truncated'
            )
        return _decoder.decode(content)
    except (zlib.error, *DECODE_ERRORS) as error:
        raise ProtocolError(f'invalid configuration: {error}') from error
