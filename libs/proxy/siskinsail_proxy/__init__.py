"""Request path of the proxy, from authentication to database statements."""

from ._proxy import Proxy as Proxy
from ._responses import bad_request_response as bad_request_response
from ._settings import ProxySettings as ProxySettings
