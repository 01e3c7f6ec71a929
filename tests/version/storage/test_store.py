"""Data folder: recovery, torn tails, damage, full disk, failed fsync."""

import errno
import os
from pathlib import Path
from typing import Any

import pytest

from wasabiturn.exceptions import DiskFullError, StorageError
from wasabiturn.messages.raft import Ballot, Entry, SnapshotHead
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.storage import Store, open_store, segments


def entry(index: int, term: int = 1, payload: bytes = b'command') -> Entry:
    return Entry(term=term, index=index, payload=payload)


def snapshot(index: int, term: int = 1) -> Snapshot:
    return Snapshot(SnapshotHead(index=index, term=term), b'state')


def reopen(store: Store) -> Store:
    store.close()
    return open_store(store.folder, 'control-1', 'other')


@pytest.fixture
def store(tmp_path: Path) -> Store:
    return open_store(tmp_path / 'data', 'control-1', 'first')


def recovered_positions(store: Store) -> list[tuple[int, int]]:
    return [(each.index, each.term) for each in store.recovered.entries]


def last_segment(store: Store) -> Path:
    return store.log.segments[-1].path


def test_ballot_and_entries_survive_a_restart(store: Store) -> None:
    ballot = Ballot(cluster='c', term=3, voted_for='control-2/x')
    store.save(ballot, [entry(1), entry(2)], None)
    again = reopen(store)
    assert again.recovered.ballot == ballot
    assert recovered_positions(again) == [(1, 1), (2, 1)]
    assert again.member_id == 'control-1/first'


def test_later_entry_at_the_same_index_replaces_the_rest(store: Store) -> None:
    store.save(None, [entry(1), entry(2), entry(3)], None)
    store.save(None, [entry(2, term=2)], None)
    assert recovered_positions(reopen(store)) == [(1, 1), (2, 2)]


@pytest.mark.parametrize('kept', [1, 10, 30])
def test_torn_tail_is_truncated_and_writes_continue(
    store: Store,
    kept: int,
) -> None:
    store.save(None, [entry(1)], None)
    whole = last_segment(store).stat().st_size
    store.save(None, [entry(2)], None)
    with last_segment(store).open('rb+') as torn:
        torn.truncate(whole + kept)
    again = reopen(store)
    assert recovered_positions(again) == [(1, 1)]
    again.save(None, [entry(2, term=2)], None)
    assert recovered_positions(reopen(again)) == [(1, 1), (2, 2)]


def test_trailing_zeros_after_a_crash_are_truncated(store: Store) -> None:
    store.save(None, [entry(1)], None)
    with last_segment(store).open('ab') as torn:
        torn.write(bytes(4096))
    assert recovered_positions(reopen(store)) == [(1, 1)]


@pytest.mark.parametrize('offset', [5, 20, 40])
def test_damage_before_the_tail_prevents_opening(
    store: Store,
    offset: int,
) -> None:
    start = last_segment(store).stat().st_size
    store.save(None, [entry(1)], None)
    store.save(None, [entry(2)], None)
    flip_bit(last_segment(store), start + offset)
    with pytest.raises(StorageError, match='is damaged at byte'):
        reopen(store)


def test_damage_in_an_older_segment_prevents_opening(store: Store) -> None:
    store.save(None, [entry(1)], None)
    older = last_segment(store)
    store.log.roll(Ballot())
    flip_bit(older, older.stat().st_size - 1)
    with pytest.raises(StorageError, match='is damaged at byte'):
        reopen(store)


def test_missing_segment_prevents_opening(store: Store) -> None:
    for index in range(1, 4):
        store.save(None, [entry(index)], None)
        store.log.roll(Ballot())
    store.log.segments[1].path.unlink()
    with pytest.raises(StorageError, match='before it is missing'):
        reopen(store)


def test_damaged_snapshot_prevents_opening(store: Store) -> None:
    store.save(None, [entry(1)], None)
    store.save_snapshot(snapshot(1), [])
    flip_bit(next(store.folder.glob('snapshot-*')), 80)
    with pytest.raises(StorageError, match='is damaged'):
        reopen(store)


@pytest.mark.parametrize(
    ('pattern', 'text'),
    [
        ('snapshot-*', 'lost its snapshot'),
        ('identity', 'lost its identity'),
        ('log-*', 'lost its log'),
    ],
)
def test_missing_file_prevents_opening(
    store: Store,
    pattern: str,
    text: str,
) -> None:
    store.save(Ballot(cluster='c'), [entry(1)], None)
    store.save_snapshot(snapshot(1), [])
    for path in store.folder.glob(pattern):
        path.unlink()
    with pytest.raises(StorageError, match=text):
        reopen(store)


def test_emptied_folder_gets_a_new_incarnation(store: Store) -> None:
    store.save(Ballot(cluster='c'), [entry(1)], None)
    for path in store.folder.iterdir():
        path.unlink()
    again = reopen(store)
    assert again.member_id == 'control-1/other'
    assert again.recovered.ballot == Ballot()


def test_folder_of_another_instance_is_refused(store: Store) -> None:
    store.close()
    with pytest.raises(StorageError, match='belongs to the instance control-1'):
        open_store(store.folder, 'control-2', 'x')


def test_folder_in_use_is_refused(store: Store) -> None:
    with pytest.raises(StorageError, match='in use by another process'):
        open_store(store.folder, 'control-1', 'x')


def test_snapshot_removes_the_segments_that_it_covers(store: Store) -> None:
    store.save(None, [entry(1), entry(2)], None)
    store.save_snapshot(snapshot(2), [])
    store.save(None, [entry(3)], None)
    assert len(store.log.segments) == 1
    again = reopen(store)
    assert again.recovered.snapshot == snapshot(2)
    assert recovered_positions(again) == [(3, 1)]


def test_snapshot_keeps_the_saved_entries_after_it(store: Store) -> None:
    entries = [entry(index) for index in range(1, 6)]
    store.save(None, entries, None)
    store.save_snapshot(snapshot(3), entries[3:])
    assert len(store.log.segments) == 1
    again = reopen(store)
    assert recovered_positions(again) == [(4, 1), (5, 1)]
    again.save(None, [entry(6)], None)
    assert recovered_positions(reopen(again))[-1] == (6, 1)


def test_received_snapshot_replaces_other_entries(store: Store) -> None:
    store.save(None, [entry(index) for index in range(1, 6)], None)
    store.save(None, [], snapshot(3, term=2))
    store.save(None, [entry(4, term=2)], None)
    assert recovered_positions(reopen(store)) == [(4, 2)]


def test_crash_between_snapshot_and_reset_is_recovered(
    store: Store,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store.save(None, [entry(1), entry(2)], None)
    with monkeypatch.context() as patched:
        patched.setattr(segments.SegmentedLog, 'append', fail_to_append)
        with pytest.raises(StorageError):
            store.save(None, [], snapshot(8, term=2))
    again = reopen(store)
    assert recovered_positions(again) == []
    again.save(None, [entry(9, term=2)], None)
    assert recovered_positions(reopen(again)) == [(9, 2)]


@pytest.mark.parametrize(
    ('function', 'code', 'text'),
    [
        ('write', errno.ENOSPC, 'cannot write .*No space left'),
        ('fdatasync', errno.EIO, 'cannot sync .*Input/output error'),
    ],
)
def test_full_disk_and_failed_sync_are_errors(
    store: Store,
    monkeypatch: pytest.MonkeyPatch,
    function: str,
    code: int,
    text: str,
) -> None:
    def refuse(*arguments: object) -> int:
        raise OSError(code, os.strerror(code))

    monkeypatch.setattr(os, function, refuse)
    with pytest.raises(StorageError, match=text):
        store.save(None, [entry(1)], None)


@pytest.mark.parametrize('written', [0, 5])
def test_a_batch_that_found_no_room_can_be_saved_again(
    store: Store, monkeypatch: pytest.MonkeyPatch, written: int
) -> None:
    store.save(None, [entry(1)], None)
    with monkeypatch.context() as patched:
        patched.setattr(os, 'write', create_full_disk(written, os.write))
        for _ in range(2):
            with pytest.raises(DiskFullError):
                store.save(None, [entry(2)], None)
    store.save(None, [entry(2)], None)
    assert recovered_positions(reopen(store)) == [(1, 1), (2, 1)]


def test_a_snapshot_that_found_no_room_leaves_the_log_usable(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    store.save(None, [entry(1), entry(2)], None)
    with monkeypatch.context() as patched:
        patched.setattr(os, 'write', create_full_disk(3, os.write))
        for _ in range(2):
            with pytest.raises(DiskFullError):
                store.save_snapshot(snapshot(2), [])
    assert not list(store.folder.glob('*.tmp'))
    store.save(None, [entry(3)], None)
    again = reopen(store)
    assert recovered_positions(again) == [(1, 1), (2, 1), (3, 1)]
    again.save_snapshot(snapshot(3), [])
    assert recovered_positions(reopen(again)) == []


def test_a_new_segment_that_found_no_room_is_used_later(
    store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    store.save(None, [entry(1)], None)
    with monkeypatch.context() as patched:
        patched.setattr(os, 'write', create_full_disk(0, os.write))
        for _ in range(2):
            with pytest.raises(DiskFullError):
                store.log.roll(store.ballot)
    store.log.roll(store.ballot)
    store.save(None, [entry(2)], None)
    assert len(store.log.segments) == 2
    assert recovered_positions(reopen(store)) == [(1, 1), (2, 1)]


def create_full_disk(written: int, write: Any) -> Any:
    """Return a write that finds no room after ``written`` bytes of a call."""
    left = [written]

    def write_in_part(descriptor: int, content: Any) -> int:
        if left[0]:
            part = content[: left[0]]
            left[0] = 0
            return int(write(descriptor, part))
        left[0] = written
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    return write_in_part


def test_uncreatable_folder_is_reported(tmp_path: Path) -> None:
    (tmp_path / 'file').write_text('')
    with pytest.raises(StorageError, match='cannot create'):
        open_store(tmp_path / 'file' / 'data', 'control-1', 'x')


def fail_to_append(log: object, record: object) -> None:
    raise StorageError('crash')


def flip_bit(path: Path, offset: int) -> None:
    content = bytearray(path.read_bytes())
    content[offset] ^= 1
    path.write_bytes(content)
