"""Retry budget, which limits the load that retries add."""


class RetryBudget:
    """Token bucket of retries that is refilled by requests.

    Parameters
    ----------
    tokens_per_request : float
        Tokens that each request adds; a retry takes one token.
    capacity : float
        Maximum number of tokens, and the initial number.
    """

    def __init__(self, tokens_per_request: float, capacity: float) -> None:
        self._tokens_per_request = tokens_per_request
        self._capacity = capacity
        self._tokens = capacity

    def count_request(self) -> None:
        """Add the tokens of a request."""
        self._tokens = min(
            self._capacity, self._tokens + self._tokens_per_request
        )

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
