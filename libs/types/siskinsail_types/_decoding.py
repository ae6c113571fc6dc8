"""Errors that the decoders of untrusted input raise."""

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors for input that is malformed, not UTF-8 or nested too deeply."""
