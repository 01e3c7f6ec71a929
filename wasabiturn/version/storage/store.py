"""Data folder of one control instance."""

import fcntl
import os
from pathlib import Path
from typing import final

import attrs

from wasabiturn.exceptions import StorageError
from wasabiturn.messages.raft import (
    Ballot,
    Entry,
    Identity,
    LogRecord,
    SnapshotHead,
)
from wasabiturn.version.raft.state import Recovered, Snapshot
from wasabiturn.version.storage import disk
from wasabiturn.version.storage.identity import read_identity, write_identity
from wasabiturn.version.storage.replay import Replay
from wasabiturn.version.storage.reserve import Reserve, open_reserve
from wasabiturn.version.storage.segments import SegmentedLog, open_segments
from wasabiturn.version.storage.snapshot_files import (
    read_newest_snapshot,
    write_snapshot,
)


@final
@attrs.define
class Store:
    """Open data folder.

    The process must stop after a method fails, unless with ``DiskFullError``:
    then nothing was saved, and the same call may be made again.
    """

    folder: Path
    identity: Identity
    recovered: Recovered
    log: SegmentedLog
    reserve: Reserve
    ballot: Ballot
    lock: int
    # Size of the content of the newest snapshot.
    snapshot_bytes: int = 0

    @property
    def member_id(self) -> str:
        """Return the member id of the owner of this folder."""
        return f'{self.identity.name}/{self.identity.incarnation}'

    def save(
        self,
        ballot: Ballot | None,
        entries: list[Entry],
        snapshot: Snapshot | None,
    ) -> None:
        """Make one batch durable with one fsync of the log.

        A received snapshot replaces all entries before ``entries``.
        """
        reset_index = 0
        if snapshot is not None:
            self._write_snapshot(snapshot)
            reset_index = snapshot.head.index
        if ballot is None and not entries and not reset_index:
            return
        self.ballot = ballot or self.ballot
        if self.log.is_full():
            self.log.roll(self.ballot)
        record = LogRecord(
            ballot=ballot,
            entries=entries,
            reset_index=reset_index,
        )
        self.log.append(record)

    def save_snapshot(self, snapshot: Snapshot, tail: list[Entry]) -> None:
        """Make a snapshot durable and replace the log by what it lacks.

        ``tail`` are all entries after the snapshot that were saved.
        """
        self._write_snapshot(snapshot)
        self.log.roll(self.ballot)
        if tail:
            self.log.append(LogRecord(entries=tail))
        self.log.remove_older_segments()
        self.fill_reserve()

    def fill_reserve(self) -> None:
        """Set room aside for the next snapshot, if there is any."""
        self.reserve.fill(self.snapshot_bytes)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        write_snapshot(self.folder, snapshot)
        self.snapshot_bytes = len(snapshot.content)

    def close(self) -> None:
        """Close the files and unlock the folder."""
        self.log.close()
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1


def open_store(folder: Path, name: str, new_incarnation: str) -> Store:
    """Open the data folder of the instance ``name``; create it if needed.

    An empty folder gets ``new_incarnation``.

    Raises:
        StorageError: the folder cannot be used; the message says why.
    """
    with disk.storage_errors('create', folder):
        folder.mkdir(parents=True, exist_ok=True)
    lock = _lock_folder(folder)
    try:
        return _open_locked(folder, name, new_incarnation, lock)
    except StorageError:
        os.close(lock)
        raise


def _open_locked(
    folder: Path,
    name: str,
    new_incarnation: str,
    lock: int,
) -> Store:
    identity = read_identity(folder, name)
    replay = Replay()
    snapshot = read_newest_snapshot(folder)
    log = open_segments(folder, replay)
    if identity is None:
        _check_uninitialised(folder, replay, snapshot)
        identity = Identity(name=name, incarnation=new_incarnation)
        _initialise_folder(folder, identity, log)
    elif log.next_sequence == 1:
        raise StorageError(
            f'{folder} has lost its log; empty the folder so that this '
            'instance rejoins as a new member',
        )
    store = Store(
        folder=folder,
        identity=identity,
        recovered=_recover(folder, log, replay, snapshot),
        log=log,
        reserve=open_reserve(folder),
        ballot=replay.ballot,
        lock=lock,
        snapshot_bytes=0 if snapshot is None else len(snapshot.content),
    )
    store.fill_reserve()
    return store


def _initialise_folder(
    folder: Path,
    identity: Identity,
    log: SegmentedLog,
) -> None:
    if log.next_sequence == 1:
        for segment in log.segments:
            disk.remove_file(segment.path)
        log.segments.clear()
        log.roll(Ballot())
    write_identity(folder, identity)


def _check_uninitialised(
    folder: Path,
    replay: Replay,
    snapshot: Snapshot | None,
) -> None:
    if snapshot is not None or replay.entries or replay.ballot.cluster:
        raise StorageError(
            f'{folder} has lost its identity; empty the folder so that this '
            'instance rejoins as a new member',
        )


def _recover(
    folder: Path,
    log: SegmentedLog,
    replay: Replay,
    snapshot: Snapshot | None,
) -> Recovered:
    head = SnapshotHead() if snapshot is None else snapshot.head
    first_sequence = log.segments[0].first_sequence
    if head.index < replay.reset_index or (
        snapshot is None and first_sequence > 1
    ):
        raise StorageError(
            f'{folder} has lost its snapshot; empty the folder so that this '
            'instance rejoins as a new member',
        )
    entries = replay.entries_after(head)
    if replay.is_replaced_by(head):
        log.append(LogRecord(reset_index=head.index))
    return Recovered(
        ballot=replay.ballot,
        snapshot=snapshot,
        entries=entries,
    )


def _lock_folder(folder: Path) -> int:
    path = folder / 'lock'
    lock = disk.open_file(path, os.O_RDWR | os.O_CREAT)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock)
        raise StorageError(
            f'{folder} is in use by another process',
        ) from error
    return lock
