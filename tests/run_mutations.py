"""Mutation tests: switches mechanisms off and checks that tests notice.

The files ``tests/mutations/*.json`` list mechanisms, each with the test that
covers it. A mechanism is switched off by text replacements in a copy of the
tree, where the test must fail. On the unchanged tree it must pass, which
``make test`` shows. A failure counts only if its reason matches the pattern
``because`` of the row: a crash at start or a timeout does not show that the
test checks the mechanism.

Run it as ``make check-proofs``. ``make check-proofs ONLY="lease key"`` runs
only rows whose names contain these words, and ``make check-proofs JOBS=2``
runs two rows at a time.
"""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import json
import os
from pathlib import Path
import re
import shutil
import signal
import subprocess
import sys
import tempfile
from typing import NamedTuple
from xml.etree import ElementTree

import fire

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 300
# A row starts a fleet of up to 15 processes. With more rows at a time, tests
# miss their deadlines on a machine with ten cores.
MAX_JOBS = 3
# Exit status of pytest if tests ran and some failed. Any other status except 0
# means that the test was not found or could not start.
PYTEST_TESTS_FAILED = 1
MAX_REASON_CHARS = 300
LEAF_ERROR = re.compile(
    r'^[\s|E]*((?:[\w.]+\.)?\w*(?:Error|Failure|Exception)\b: .*)$',
    re.MULTILINE,
)


class MutationError(Exception):
    """A replacement of a row does not fit the source."""


class Replacement(NamedTuple):
    """A text that occurs exactly once in a source file, and its replacement.

    Attributes
    ----------
    file : str
        Source file, relative to the root.
    """

    file: str
    old: str
    new: str


class Mutation(NamedTuple):
    """One mechanism to switch off, and the test that must notice it.

    Attributes
    ----------
    guarantee : int
        Number of the guarantee that the mechanism protects.
    name : str
        Name of the row: the mechanism that is switched off.
    replacements : list of Replacement
        Changes of the source that switch it off.
    test : str
        The test that must fail.
    because : str
        Regular expression that the reason of the failure must match. If it
        is empty, any failure gives the verdict ``UNCHECKED``.
    """

    guarantee: int
    name: str
    replacements: list[Replacement]
    test: str
    because: str


class Outcome(NamedTuple):
    """Result of a row: its verdict and the reason of the test's failure."""

    verdict: str
    reason: str


def mutations(words: list[str]) -> Iterator[Mutation]:
    """Yield the mutations whose name contains every word."""
    for path in sorted(ROOT.glob('tests/mutations/*.json')):
        for row in json.loads(path.read_text()):
            mutation = parse_row(row)
            if all(word in mutation.name for word in words):
                yield mutation


def parse_row(row: dict) -> Mutation:
    """Return the mutation of a row.

    The fields ``file``, ``old`` and ``new`` of a row are one replacement. The
    list ``also`` may hold more replacements of the same form.
    """
    parts = [row, *row.get('also', [])]
    return Mutation(
        row['guarantee'],
        row['name'],
        [Replacement(p['file'], p['old'], p['new']) for p in parts],
        row['test'],
        row.get('because', ''),
    )


def mutated_copy(mutation: Mutation, copy: Path) -> None:
    """Copy the tree and switch the mechanism off in the copy."""
    for name in ('libs', 'tests'):
        shutil.copytree(
            ROOT / name,
            copy / name,
            ignore=shutil.ignore_patterns('__pycache__'),
        )
    for name in ('pyproject.toml', 'conftest.py'):
        shutil.copy(ROOT / name, copy)
    for file, old, new in mutation.replacements:
        target = copy / file
        text = target.read_text()
        if text.count(old) != 1:
            raise MutationError(
                f'the text to replace occurs {text.count(old)} times in '
                f'{file}: {old.strip()}'
            )
        target.write_text(text.replace(old, new))


def run_row(
    mutation: Mutation, folder: Path, started: list[subprocess.Popen]
) -> Outcome:
    """Run the test of a mutation in a copy of the tree.

    Parameters
    ----------
    started : list of subprocess.Popen
        The process of the test is appended to it, so that the caller can
        end it.
    """
    copy = folder / 'tree'
    try:
        mutated_copy(mutation, copy)
    except MutationError as error:
        return Outcome('NO PROOF', str(error))
    report = folder / 'report.xml'
    paths = os.pathsep.join(str(p) for p in sorted(copy.glob('libs/*')))
    command = [sys.executable, '-m', 'pytest', mutation.test]
    with (folder / 'output').open('wb') as output:
        process = subprocess.Popen(
            [*command, f'--junitxml={report}', f'--basetemp={folder}/base'],
            cwd=copy,
            env=os.environ | {'PYTHONPATH': paths},
            stdout=output,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        started.append(process)
        try:
            status = process.wait(TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return Outcome('NO PROOF', f'timed out after {TIMEOUT_S} s')
        finally:
            kill_process_group(process)
    if status not in (0, PYTEST_TESTS_FAILED):
        tail = (folder / 'output').read_text(errors='replace')[-2000:]
        return Outcome('NO PROOF', f'pytest ended with {status}: {tail}')
    if status == 0:
        return Outcome('MISSED', 'the test passed')
    return classify_failure(mutation, failure_reason(report))


def kill_process_group(process: subprocess.Popen) -> None:
    """Kill a test and what is left of the fleet that it started."""
    with contextlib.suppress(ProcessLookupError):
        os.killpg(process.pid, signal.SIGKILL)
    process.wait()


def classify_failure(mutation: Mutation, reason: str) -> Outcome:
    """Return the verdict on a test that failed."""
    if not mutation.because:
        return Outcome('UNCHECKED', reason)
    if re.search(mutation.because, reason):
        return Outcome('caught', reason)
    return Outcome('NO PROOF', reason)


def failure_reason(report: Path) -> str:
    """Return, on one line, the reason of the first failure of a report."""
    for element in ElementTree.parse(report).iter():
        if element.tag == 'error':
            return f'outside the test: {one_line(element.get("message"))}'
        if element.tag == 'failure':
            message = one_line(element.get('message'))
            if 'ExceptionGroup' not in message:
                return message
            # The cause is the last error inside the exception group.
            leaves = LEAF_ERROR.findall(element.text or '')
            return one_line(leaves[-1]) if leaves else message
    return 'no failure in the report'


def one_line(text: str | None) -> str:
    """Replace each run of white space in a text by one space."""
    return ' '.join((text or '').split())


def run_rows(
    rows: list[Mutation], folder: Path, jobs: int
) -> Iterator[tuple[Mutation, Outcome]]:
    """Run rows concurrently; yield each with its outcome when it ends."""
    started: list[subprocess.Popen] = []

    def run(number: int, mutation: Mutation) -> Outcome:
        row_folder = folder / str(number)
        row_folder.mkdir()
        try:
            return run_row(mutation, row_folder, started)
        finally:
            shutil.rmtree(row_folder)

    pool = futures.ThreadPoolExecutor(jobs)
    try:
        running = {
            pool.submit(run, number, row): row
            for number, row in enumerate(rows)
        }
        for done in futures.as_completed(running):
            yield running[done], done.result()
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in started:
            if process.poll() is None:
                kill_process_group(process)
        pool.shutdown()


def main(*words: str, jobs: int = 1) -> None:
    """Run mutations; exit with 1 if a test missed one or failed otherwise.

    Parameters
    ----------
    words : str
        Run only rows whose names contain all of these words.
    jobs : int
        Number of rows that run at the same time.
    """
    if not 1 <= jobs <= MAX_JOBS:
        raise SystemExit(f'jobs must be from 1 to {MAX_JOBS}')
    rows = list(mutations([str(word) for word in words]))
    if not rows:
        raise SystemExit('no row has a name with all these words')
    # SIGTERM ends the running tests in the same way as SIGINT.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    verdicts = []
    with tempfile.TemporaryDirectory(prefix='siskinsail-proofs-') as name:
        for row, outcome in run_rows(rows, Path(name), jobs):
            verdicts.append(outcome.verdict)
            print(
                f'{row.guarantee:2} {outcome.verdict} {row.name}: '
                f'{row.test}: {outcome.reason[:MAX_REASON_CHARS]}',
                flush=True,
            )
    counts = {one: verdicts.count(one) for one in sorted(set(verdicts))}
    print(counts)
    if {'MISSED', 'NO PROOF'}.intersection(verdicts):
        raise SystemExit(1)


if __name__ == '__main__':
    fire.Fire(main)
