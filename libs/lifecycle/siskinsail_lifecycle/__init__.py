"""Start, pauses and stop of a process."""

from ._deferred_names import deferred_names as deferred_names
from ._graceful_stop import GracefulStop as GracefulStop
from ._graceful_stop import Stoppable as Stoppable
from ._graceful_stop import StopSettings as StopSettings
from ._pause_detector import PauseDetector as PauseDetector
from ._phases import PhaseWaits as PhaseWaits
from ._phases import StopPhase as StopPhase
from ._signals import HANDLED_SIGNALS as HANDLED_SIGNALS
from ._signals import ProcessSignals as ProcessSignals
