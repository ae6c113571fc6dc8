"""Assignment of client accounts to the daemons that hold connections."""

from ._account_demand import AccountDemand as AccountDemand
from ._balance import HolderBalance as HolderBalance
from ._balance import HolderChoice as HolderChoice
from ._balance import MoveReason as MoveReason
from ._directory import HolderDirectory as HolderDirectory
from ._further_holders import FurtherHolders as FurtherHolders
from ._guest_accounts import GuestAccounts as GuestAccounts
from ._health import HolderHealth as HolderHealth
from ._settings import HolderSettings as HolderSettings
