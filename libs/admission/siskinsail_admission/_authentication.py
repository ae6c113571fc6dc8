"""Authentication of callers by their API keys."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import key_digest
from siskinsail_catalogue import View
from siskinsail_types import ErrorCode
from siskinsail_types import KeyDigest
from siskinsail_types import KeyState
from siskinsail_types import RequestError
from siskinsail_types import Secret
from siskinsail_types import ServiceClass

from ._caller import ANONYMOUS_ACCOUNT
from ._caller import Caller

_SCHEME = 'bearer '
_MAX_AUTHORIZATION_CHARACTERS = 512

ANONYMOUS_CALLER = Caller(
    ANONYMOUS_ACCOUNT, None, 1.0, ServiceClass.BRONZE.value
)


def authenticate(
    view: View, authorization: str | None
) -> Result[Caller, RequestError]:
    """Return the caller that an ``Authorization`` header identifies."""
    if authorization is None:
        return Failure(_unauthorized_error('an API key is required'))
    if (
        authorization[: len(_SCHEME)].lower() != _SCHEME
        or len(authorization) > _MAX_AUTHORIZATION_CHARACTERS
    ):
        return Failure(
            _unauthorized_error('the Authorization header has no bearer key')
        )
    digest = key_digest(Secret(authorization[len(_SCHEME) :].strip()))
    return authenticate_key(view, digest)


def authenticate_key(
    view: View, digest: KeyDigest
) -> Result[Caller, RequestError]:
    """Return the caller of an API key, given by its digest."""
    key = view.keys.get(digest)
    if key is None:
        return Failure(_unauthorized_error('the API key is unknown'))
    if key.state is not KeyState.GIVEN:
        return Failure(
            RequestError(ErrorCode.KEY_WITHDRAWN, 'the API key was withdrawn')
        )
    account = view.accounts.get(key.account)
    if account is None:
        return Failure(
            _unauthorized_error(
                'the client account of the API key does not exist'
            )
        )
    return Success(
        Caller(
            account.name,
            digest,
            float(account.weight * account.service_class.weight),
            account.service_class.value,
        )
    )


def _unauthorized_error(message: str) -> RequestError:
    return RequestError(ErrorCode.UNAUTHORIZED, message)
