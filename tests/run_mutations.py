"""Shows that each proof can fail, and that it fails for the right reason.

Every file ``tests/mutations/*.json`` lists mechanisms and the test that
proves each. A mechanism is switched off by replacements in a copy of the
tree, and the test must fail there; on the tree itself it must pass, which
``make test`` shows. A row counts only if the reason of the failure matches
its ``because``: a crash at start or a time limit proves nothing.

Run it as ``make check-proofs``, with words that the names must contain as
``make check-proofs ONLY="lease key"``, and with rows side by side as
``make check-proofs JOBS=2``.
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
# A row starts a fleet of up to 15 processes; more rows at a time than this
# make tests miss their deadlines on a machine with ten cores.
MAX_JOBS = 3
# Exit status of pytest when tests ran and some of them failed. Any other
# status would mean that the test was not found or could not start.
PYTEST_TESTS_FAILED = 1
MAX_REASON_CHARS = 300
LEAF_ERROR = re.compile(
    r'^[\s|E]*((?:[\w.]+\.)?\w*(?:Error|Failure|Exception)\b: .*)$',
    re.MULTILINE,
)


class MutationError(Exception):
    """A mechanism cannot be switched off as its row says."""


class Replacement(NamedTuple):
    """A text that occurs once in a source file, and its replacement.

    Attributes
    ----------
    file : str
        Source file, relative to the root.
    """

    file: str
    old: str
    new: str


class Mutation(NamedTuple):
    """One mechanism switched off.

    Attributes
    ----------
    guarantee : int
        Number in the list of what must always hold.
    name : str
        What is switched off.
    replacements : list of Replacement
        How it is switched off.
    test : str
        The test that must fail.
    because : str
        Pattern found in the reason of the failure if the test failed
        because of the broken guarantee. Empty if nobody has stated it.
    """

    guarantee: int
    name: str
    replacements: list[Replacement]
    test: str
    because: str


class Outcome(NamedTuple):
    """What became of a row: its verdict and why the test failed."""

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

    A row has one replacement in its fields ``file``, ``old`` and ``new``,
    and may have more of the same form in the list ``also``.
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
        Takes the test, so that it can be ended from outside.
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
            return Outcome('NO PROOF', f'not ended after {TIMEOUT_S} s')
        finally:
            kill_process_group(process)
    if status not in (0, PYTEST_TESTS_FAILED):
        tail = (folder / 'output').read_text(errors='replace')[-2000:]
        return Outcome('NO PROOF', f'pytest ended with {status}: {tail}')
    if status == 0:
        return Outcome('MISSED', 'the test passed')
    return classify_failure(mutation, failure_reason(report))


def kill_process_group(process: subprocess.Popen) -> None:
    """End a test and the fleet that it started, if any of it is left."""
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
    """Return in one line why the first test of a report failed."""
    for element in ElementTree.parse(report).iter():
        if element.tag == 'error':
            return f'not in the test: {one_line(element.get("message"))}'
        if element.tag == 'failure':
            message = one_line(element.get('message'))
            if 'ExceptionGroup' not in message:
                return message
            # The error that counts is inside the group.
            leaves = LEAF_ERROR.findall(element.text or '')
            return one_line(leaves[-1]) if leaves else message
    return 'no failure in the report'


def one_line(text: str | None) -> str:
    """Return a text on one line."""
    return ' '.join((text or '').split())


def run_rows(
    rows: list[Mutation], folder: Path, jobs: int
) -> Iterator[tuple[Mutation, Outcome]]:
    """Run rows side by side; yield each as its test ends."""
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
    """Run all mutations; exit with 1 if one is no proof.

    Parameters
    ----------
    words : str
        Only rows whose name contains all of them.
    jobs : int
        How many rows run side by side.
    """
    if not 1 <= jobs <= MAX_JOBS:
        raise SystemExit(f'jobs must be from 1 to {MAX_JOBS}')
    rows = list(mutations([str(word) for word in words]))
    if not rows:
        raise SystemExit('no row has such a name')
    # SIGTERM ends the tests that run, as SIGINT does.
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
