"""Callers as the API keys of their requests identify them."""

import msgspec

from siskinsail_types import AccountId
from siskinsail_types import KeyDigest

# Account of requests without an API key on routes with open access. Names of
# catalogue entries are not empty, so no client account has this name.
ANONYMOUS_ACCOUNT = AccountId('')


class Caller(msgspec.Struct):
    """The sender of a request.

    Parameters
    ----------
    account : AccountId
        Client account of the API key, ``ANONYMOUS_ACCOUNT`` without a key.
    key : KeyDigest or None
        Digest of the API key, which is checked again before each statement.
    weight : float
        Weight of the account in the fair queues of the connection pools.
    service_class : str
        Service class of the account, a label of metrics.
    """

    account: AccountId
    key: KeyDigest | None
    weight: float
    service_class: str
