"""Start, pauses and stop of a process."""

from ._pause_detector import PauseDetector as PauseDetector
from ._signals import HANDLED_SIGNALS as HANDLED_SIGNALS
from ._signals import ProcessSignals as ProcessSignals
