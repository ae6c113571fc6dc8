"""Checks that the rows of ``tests/mutations`` still match the source."""

from pathlib import Path

import pytest
from run_mutations import Mutation
from run_mutations import mutations
from run_mutations import ROOT


@pytest.mark.parametrize(
    'mutation', list(mutations([])), ids=lambda row: row.name
)
def test_mutation_row_matches_the_source_once(mutation: Mutation):
    # Fails if the text that a row replaces has changed or is not unique, so
    # that the mechanism can no longer be switched off, or if its test is gone.
    for file, old, _ in mutation.replacements:
        assert (ROOT / file).read_text().count(old) == 1
    assert (ROOT / Path(mutation.test.partition('::')[0])).exists()
