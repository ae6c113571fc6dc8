"""Names of a package whose modules are loaded at their first use."""

from collections.abc import Callable
import importlib
from typing import Any


def deferred_names(package: str, module: str) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package (PEP 562).

    A process that uses none of the names starts without their modules. One
    that does loads all of them with its own imports, before it starts.

    Parameters
    ----------
    package : str
        Name of the package.
    module : str
        Name of the module of the package that imports the names.
    """

    def get_name(name: str) -> Any:
        # The import system asks for private modules here as well.
        if not name.startswith('_'):
            names = importlib.import_module(f'{package}.{module}')
            if hasattr(names, name):
                return getattr(names, name)
        raise AttributeError(f'module {package!r} has no attribute {name!r}')

    return get_name
