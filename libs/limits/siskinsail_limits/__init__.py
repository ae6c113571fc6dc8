"""Rate limiting with token buckets whose tokens are lent to daemons."""

from ._borrower import Borrower as Borrower
from ._borrower import UrgentBorrow as UrgentBorrow
from ._bucket import TokenBucket as TokenBucket
from ._lender import AccountLevel as AccountLevel
from ._lender import Lender as Lender
from ._loan import LoanBalance as LoanBalance
from ._loan import LoanGrant as LoanGrant
from ._loan import LoanReport as LoanReport
from ._loan import RateLimiter as RateLimiter
from ._settings import AccountLimit as AccountLimit
from ._settings import LimitPolicy as LimitPolicy
from ._settings import LimitSettings as LimitSettings
