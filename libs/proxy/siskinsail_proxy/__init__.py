"""Request path of the proxy, from authentication to database statements."""

from ._authentication import ANONYMOUS_CALLER as ANONYMOUS_CALLER
from ._authentication import authenticate_key as authenticate_key
from ._local_token_bucket import LocalTokenBucket as LocalTokenBucket
from ._proxy import Proxy as Proxy
from ._request_context import Caller as Caller
from ._responses import bad_request_response as bad_request_response
from ._retry_budget import RetryBudget as RetryBudget
from ._settings import ProxySettings as ProxySettings
