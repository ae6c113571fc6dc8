"""Request path of the proxy, from authentication to database statements."""

from ._authentication import check_key as check_key
from ._authentication import OPEN_CALLER as OPEN_CALLER
from ._local_limit import LocalLimit as LocalLimit
from ._proxy import Proxy as Proxy
from ._request_context import Caller as Caller
from ._responses import bad_request as bad_request
from ._retry_budget import RetryBudget as RetryBudget
from ._settings import ProxySettings as ProxySettings
