"""Decides which reads run outside the data centre, from load figures."""

from ._candidates import Distance as Distance
from ._candidates import ReadCandidate as ReadCandidate
from ._candidates import ReadClass as ReadClass
from ._metrics import LocalityMetrics as LocalityMetrics
from ._near_primary import NearPrimary as NearPrimary
from ._placement import ReadPlacement as ReadPlacement
from ._pressure import Pressure as Pressure
from ._pressure import pressure_of as pressure_of
from ._settings import LocalitySettings as LocalitySettings
from ._share import SteppedShare as SteppedShare
from ._share import Trend as Trend
