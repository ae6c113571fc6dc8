"""Record of what was sent, answered and run."""

from pathlib import Path
import time


class Record:
    """Lines with the time since the start, for ``record.txt``."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        spent_s = time.monotonic() - self._started_s
        self._lines.append(f'{spent_s:8.3f} {text}')

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text('\n'.join(self._lines) + '\n')
