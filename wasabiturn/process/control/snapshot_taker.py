"""Snapshots of the state machine by which a member compacts its log."""

from typing import final

import attrs

from wasabiturn.exceptions import DiskFullError
from wasabiturn.process.control.applier import Applier
from wasabiturn.process.control.snapshot_schedule import SnapshotSchedule
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.persistence import dump_state
from wasabiturn.version.raft import snapshots
from wasabiturn.version.raft.state import Effects, RaftState, Snapshot
from wasabiturn.version.storage import Store

RETAINED_LOG_ENTRIES = 1000
# Share of the byte period that stays in the log for members that lag behind.
RETAINED_BYTES_DIVISOR = 4
# How often a member without room tries to make some.
MAKE_ROOM_SECONDS = 1.0

_log = create_component_log('consensus')


@final
@attrs.define
class SnapshotTaker:
    """Takes the snapshots of one member."""

    raft: RaftState
    store: Store
    applier: Applier
    schedule: SnapshotSchedule
    _room_tried_at: float | None = None

    def take_if_due(self) -> None:
        """Take a snapshot if the log has grown by one of its periods."""
        applied_index = self.applier.applied_index
        appended_bytes = self.store.log.appended_bytes
        if not self.schedule.is_due(applied_index, appended_bytes):
            return
        if not self._has_news():
            return
        try:
            self._take(self.raft.log.last_index)
        except DiskFullError as error:
            self.schedule.postpone(applied_index, appended_bytes)
            _log.warning(
                'no room for a snapshot; tried again later', error=str(error)
            )

    def record_received(self, snapshot: Snapshot) -> None:
        """Count the periods from a snapshot that another member has sent."""
        self._count_from(snapshot)

    def make_room(self, unsaved: Effects, now: float) -> None:
        """Give up the reserve, and replace the applied entries by a snapshot.

        For a disk without room for ``unsaved``. Does nothing if it was tried a
        moment ago.
        """
        tried_at = self._room_tried_at
        if tried_at is not None and now < tried_at + MAKE_ROOM_SECONDS:
            return
        self._room_tried_at = now
        self.store.reserve.release()
        if not self._has_news():
            return
        last_saved = self.raft.log.last_index - len(unsaved.entries)
        try:
            self._take(last_saved)
        except DiskFullError as error:
            _log.warning('no room for a snapshot either', error=str(error))

    def record_room(self) -> None:
        """Fill the reserve again, as the disk has room."""
        self._room_tried_at = None
        self.store.fill_reserve()

    def _has_news(self) -> bool:
        """Return whether a snapshot would cover more than the newest one.

        A snapshot that was received and is not saved yet covers all entries
        that this member has applied.
        """
        applied_index = self.applier.applied_index
        newest = self.raft.snapshot
        return newest is None or newest.head.index < applied_index

    def _take(self, last_saved: int) -> None:
        index = self.applier.applied_index
        content = dump_state(self.applier.state)
        snapshot = snapshots.create_snapshot(self.raft, index, content)
        tail = self.raft.log.between(index + 1, last_saved)
        self.store.save_snapshot(snapshot, tail)
        self._adopt(snapshot)
        _log.event('took snapshot of the state', index=index, size=len(content))

    def _adopt(self, snapshot: Snapshot) -> None:
        snapshots.adopt_snapshot(
            self.raft,
            snapshot,
            RETAINED_LOG_ENTRIES,
            self.schedule.byte_period // RETAINED_BYTES_DIVISOR,
        )
        self._count_from(snapshot)

    def _count_from(self, snapshot: Snapshot) -> None:
        self.schedule.record_taken(
            snapshot.head.index, self.store.log.appended_bytes
        )
