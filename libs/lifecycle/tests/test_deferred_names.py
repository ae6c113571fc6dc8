"""Tests of names that a package imports at their first use.

They guard against modules that are loaded by a process that does not use them,
and against names that can no longer be imported.
"""

import sys

import pytest

from siskinsail_lifecycle import deferred_names

PACKAGE = 'package_of_deferred_names'


@pytest.fixture
def package(tmp_path, monkeypatch):
    folder = tmp_path / PACKAGE
    folder.mkdir()
    (folder / '__init__.py').write_text('')
    (folder / '_names.py').write_text('Deferred = 1\n_private = 2\n')
    monkeypatch.syspath_prepend(str(tmp_path))
    yield PACKAGE
    for name in [name for name in sys.modules if name.startswith(PACKAGE)]:
        del sys.modules[name]


def test_a_name_is_imported_at_its_first_use(package):
    get_name = deferred_names(package, '_names')
    assert f'{package}._names' not in sys.modules
    assert get_name('Deferred') == 1


@pytest.mark.parametrize(
    ('name', 'is_module_loaded'),
    [
        # The import system asks the package for each private module.
        ('_private', False),
        ('__path__', False),
        ('Missing', True),
    ],
)
def test_any_other_name_is_no_attribute(package, name, is_module_loaded):
    get_name = deferred_names(package, '_names')
    with pytest.raises(AttributeError, match=name):
        get_name(name)
    assert (f'{package}._names' in sys.modules) == is_module_loaded
