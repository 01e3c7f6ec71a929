"""Record of what was sent, answered and run."""

import time
from pathlib import Path
from typing import Any


class Record:
    """Lines of a record, with seconds since its start."""

    def __init__(self, path: Path) -> None:
        """Open the file at ``path`` anew."""
        self._file = path.open('w', encoding='utf-8', buffering=1 << 16)
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._begun_at

    def add(self, what: str, *details: Any) -> None:
        """Write one line."""
        text = ' '.join(str(each) for each in details)
        self._file.write(f'{self.now():9.3f} {what} {text}\n')

    def say(self, what: str, *details: Any) -> None:
        """Write one line, and show it."""
        self.add(what, *details)
        self._file.flush()
        print(f'{self.now():9.3f}', what, *details, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
