"""Memory and disk that a snapshot and its reserve take while written."""

import tracemalloc
from pathlib import Path

import pytest

from wasabiturn.messages.raft import SnapshotHead
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.storage import disk
from wasabiturn.version.storage.reserve import MIN_RESERVE_BYTES, open_reserve
from wasabiturn.version.storage.snapshot_files import (
    read_newest_snapshot,
    write_snapshot,
)

CONTENT_BYTES = 16 * MIN_RESERVE_BYTES


def test_a_snapshot_is_written_without_a_copy(tmp_path: Path) -> None:
    content = bytes(CONTENT_BYTES)
    snapshot = Snapshot(head=SnapshotHead(index=5, term=1), content=content)
    tracemalloc.start()
    write_snapshot(tmp_path, snapshot)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < CONTENT_BYTES // 8
    assert read_newest_snapshot(tmp_path) == snapshot


def test_a_reserve_is_filled_in_small_parts(tmp_path: Path) -> None:
    reserve = open_reserve(tmp_path)
    tracemalloc.start()
    reserve.fill(CONTENT_BYTES)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < CONTENT_BYTES // 8
    assert reserve.size >= 2 * CONTENT_BYTES
    assert open_reserve(tmp_path).size == reserve.size


def test_a_reserve_that_grows_takes_its_room_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    reserve = open_reserve(tmp_path)
    reserve.fill(CONTENT_BYTES)
    used: list[int] = []
    sync_file = disk.sync_file

    def look(descriptor: int, path: Path) -> None:
        used.append(sum(each.stat().st_size for each in tmp_path.iterdir()))
        sync_file(descriptor, path)

    monkeypatch.setattr(disk, 'sync_file', look)
    reserve.fill(2 * CONTENT_BYTES)
    assert max(used) == reserve.size
