"""The whole catalogue as an operator declares it, with a version."""

import zlib

import msgspec

from siskinsail_types import ConfigurationVersion
from siskinsail_types import ProtocolError

from ._entry import Entry

# Far above the largest catalogue, whose entries are limited in number.
_MAX_DECODED_BYTES = 16 * 1024 * 1024


class Configuration(msgspec.Struct, frozen=True):
    """Everything that an operator declares at once.

    It replaces all services, routes, client accounts and keys. Data centres
    and backend servers keep their entries: they are taken out and in on
    their own.

    Parameters
    ----------
    version : ConfigurationVersion
        Chosen by the operator; the highest one is in force.
    entries : tuple of Entry
        The declared entries; their own versions do not count.
    document : bytes
        The text that the operator wrote, returned to those who read it.
    """

    version: ConfigurationVersion
    entries: tuple[Entry, ...]
    document: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the compressed form in which a configuration is stored.

    Hundreds of similar routes shrink to about a twentieth, which matters
    on disks of 128 MB.
    """
    return zlib.compress(_encoder.encode(configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Read the stored form of a configuration.

    Raises
    ------
    ProtocolError
        If the bytes are no configuration.
    """
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(data, _MAX_DECODED_BYTES)
        if reader.unconsumed_tail or not reader.eof:
            raise ProtocolError('the configuration is too long or cut short')
        return _decoder.decode(content)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ProtocolError(f'not a configuration: {error}') from error
