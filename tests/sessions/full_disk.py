"""Disks of limited size for the data folders of a control group."""

import errno
import os
from pathlib import Path
from typing import Any

import pytest


def limit_disks(
    monkeypatch: pytest.MonkeyPatch, folder: Path, max_bytes: int
) -> None:
    """Refuse writes that would bring a data folder below ``folder`` over."""
    write = os.write

    def write_within_limit(descriptor: int, content: Any) -> int:
        path = Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if folder not in path.parents:
            return int(write(descriptor, content))
        room = max_bytes - used_bytes(path.parent)
        if room <= 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return int(write(descriptor, content[:room]))

    monkeypatch.setattr(os, 'write', write_within_limit)


def used_bytes(data_folder: Path) -> int:
    return sum(path.stat().st_size for path in data_folder.iterdir())
