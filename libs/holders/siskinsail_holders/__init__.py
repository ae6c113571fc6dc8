"""Assignment of client accounts to the daemons that hold connections."""

from ._directory import HolderDirectory as HolderDirectory
from ._health import HolderHealth as HolderHealth
from ._settings import HolderSettings as HolderSettings
