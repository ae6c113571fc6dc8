"""Record of what the stand-ins sent, received and ran."""

from pathlib import Path
import time


class Record:
    """Text file with one line for each event."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', buffering=1)
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_s

    def write(self, who: str, text: str) -> None:
        """Write one event with its time."""
        self._file.write(f'{self.now_s():9.3f} {who}: {text}\n')
