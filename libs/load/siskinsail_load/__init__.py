"""What is known of the load of holders and databases, and how old it is."""

from ._figures import DatabaseLoad as DatabaseLoad
from ._figures import LoadSource as LoadSource
from ._settings import LoadSettings as LoadSettings
from ._table import LoadTable as LoadTable
