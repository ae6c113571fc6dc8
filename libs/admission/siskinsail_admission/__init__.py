"""Identity of callers, and local limits that both request paths share."""

from ._authentication import ANONYMOUS_CALLER as ANONYMOUS_CALLER
from ._authentication import authenticate as authenticate
from ._authentication import authenticate_key as authenticate_key
from ._caller import ANONYMOUS_ACCOUNT as ANONYMOUS_ACCOUNT
from ._caller import Caller as Caller
from ._local_token_bucket import LocalTokenBucket as LocalTokenBucket
from ._retry_budget import RetryBudget as RetryBudget
