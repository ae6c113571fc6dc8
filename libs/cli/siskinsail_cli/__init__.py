"""The siskinsail command-line tool."""

from ._main import main as main
from ._outcome import ExitStatus as ExitStatus
