"""Wrapper that keeps secrets out of logs, errors and metrics."""


class Secret:
    """A secret string that ``str`` and ``repr`` do not reveal.

    Parameters
    ----------
    value : str
        The secret text.

    Examples
    --------
    >>> str(Secret('s3cret')), Secret('s3cret').reveal()
    ('***', 's3cret')
    """

    __slots__ = ('_value',)

    def __init__(self, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        return '***'

    __str__ = __repr__

    def __bool__(self) -> bool:
        return bool(self._value)

    def reveal(self) -> str:
        """Return the secret text."""
        return self._value
