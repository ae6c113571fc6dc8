"""The siskinsail daemon, ``siskinsaild``."""

from ._command import main as main
from ._daemon import Daemon as Daemon
from ._settings import DaemonSettings as DaemonSettings
