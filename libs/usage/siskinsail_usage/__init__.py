"""Counts of the requests of client accounts, and how they are reported."""

from ._call_plan import UsageCallPlan as UsageCallPlan
from ._closing import first_open_window as first_open_window
from ._closing import GatheringState as GatheringState
from ._closing import may_close as may_close
from ._collector import UsageCollector as UsageCollector
from ._counter import UsageCounter as UsageCounter
from ._fleet_time import FleetTime as FleetTime
from ._ledger import DecidedWindow as DecidedWindow
from ._ledger import LedgerSnapshot as LedgerSnapshot
from ._ledger import UsageLedger as UsageLedger
from ._metrics import CounterMetrics as CounterMetrics
from ._metrics import UsageMetrics as UsageMetrics
from ._report import UsageCount as UsageCount
from ._report import UsageReport as UsageReport
from ._settings import UsageSettings as UsageSettings
from ._window import window_at as window_at
from ._window import window_end_s as window_end_s
from ._window import WindowId as WindowId
