"""Room on the disk that is kept for the next snapshot.

A full disk has no room for the snapshot that would let the log be compacted, so
a member sets some aside while there is room.
"""

from itertools import repeat
from pathlib import Path
from typing import final

import attrs

from wasabiturn.exceptions import DiskFullError
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.storage import disk

MIN_RESERVE_BYTES = 1024 * 1024
_BLOCK = bytes(MIN_RESERVE_BYTES)
# A snapshot may have grown since the one before.
_SNAPSHOT_FACTOR = 2

_log = create_component_log('storage')


@final
@attrs.define
class Reserve:
    """File whose content is worth nothing."""

    path: Path
    size: int = 0

    def fill(self, snapshot_bytes: int) -> None:
        """Set aside room for a snapshot that is to replace one of this size."""
        blocks = _SNAPSHOT_FACTOR * snapshot_bytes // len(_BLOCK) + 1
        wanted = blocks * len(_BLOCK)
        if self.size >= wanted:
            return
        # It would take its room twice while it is replaced.
        self.release()
        try:
            disk.replace_file_by_parts(self.path, repeat(_BLOCK, blocks))
        except DiskFullError as error:
            _log.warning(
                'no room to set aside for a snapshot', error=str(error)
            )
            return
        self.size = wanted

    def release(self) -> None:
        """Give the room back."""
        if self.size:
            disk.remove_file(self.path)
        self.size = 0


def open_reserve(folder: Path) -> Reserve:
    """Return the reserve in a data folder, which may be empty."""
    path = folder / 'reserve'
    with disk.storage_errors('read', path):
        size = path.stat().st_size if path.exists() else 0
    return Reserve(path=path, size=size)
