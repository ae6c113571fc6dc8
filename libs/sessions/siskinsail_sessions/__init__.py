"""Signed session tokens that carry log positions."""

from ._codec import TokenCodec as TokenCodec
from ._errors import ForeignTokenError as ForeignTokenError
from ._errors import MalformedTokenError as MalformedTokenError
from ._errors import TokenError as TokenError
from ._errors import TooManyPositionsError as TooManyPositionsError
from ._session import MAX_POSITIONS as MAX_POSITIONS
from ._session import Session as Session
