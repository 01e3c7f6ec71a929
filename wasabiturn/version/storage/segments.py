"""Segmented log: one record and one fsync for each batch."""

import os
from pathlib import Path
from typing import final

import attrs

from wasabiturn.exceptions import DiskFullError, StorageError
from wasabiturn.messages.codec import CodecError, pack, unpack
from wasabiturn.messages.raft import Ballot, LogRecord
from wasabiturn.utils.logs import create_component_log
from wasabiturn.version.storage import disk
from wasabiturn.version.storage.records import (
    Record,
    decode_records,
    encode_record,
    find_record_after,
)
from wasabiturn.version.storage.replay import Replay

SEGMENT_BYTES = 16_777_216
_PREFIX = 'log-'

_log = create_component_log('storage')


@final
@attrs.define
class Segment:
    """One log file, named by the sequence number of its first record."""

    path: Path
    first_sequence: int
    size: int = 0


@final
@attrs.define
class SegmentedLog:
    """Log of one data folder, open for appending."""

    folder: Path
    segments: list[Segment]
    next_sequence: int
    descriptor: int = -1
    # All bytes that were appended or recovered since the log was opened.
    appended_bytes: int = 0

    def append(self, record: LogRecord) -> None:
        """Write a record and sync it.

        Raises:
            DiskFullError: the log is as before.
            StorageError: the record may not be durable; the process must stop.
        """
        encoded = encode_record(self.next_sequence, pack(record))
        segment = self.segments[-1]
        try:
            disk.write_all(self.descriptor, encoded, segment.path)
        except DiskFullError:
            disk.cut_file(self.descriptor, segment.size, segment.path)
            raise
        disk.sync_file(self.descriptor, segment.path)
        self.next_sequence += 1
        segment.size += len(encoded)
        self.appended_bytes += len(encoded)

    def is_full(self) -> bool:
        """Return whether the next record belongs in a new segment."""
        return self.segments[-1].size >= SEGMENT_BYTES

    def roll(self, ballot: Ballot) -> None:
        """Start a new segment whose first record repeats the ballot.

        A segment that is still empty, as its first record found no room, is
        used again.
        """
        if not self.segments or self.segments[-1].size:
            self._add_segment()
        self.append(LogRecord(ballot=ballot))

    def _add_segment(self) -> None:
        name = f'{_PREFIX}{self.next_sequence:020d}'
        path = self.folder / name
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        descriptor = disk.open_file(path, flags)
        self.close()
        self.descriptor = descriptor
        disk.sync_folder(self.folder)
        self.segments.append(
            Segment(path=path, first_sequence=self.next_sequence),
        )

    def remove_older_segments(self) -> None:
        """Remove all segments but the newest, which must suffice by itself.

        One is durably gone before the next, as a gap between two would look
        like a lost segment.
        """
        while len(self.segments) > 1:
            disk.remove_file(self.segments.pop(0).path)
            disk.sync_folder(self.folder)

    def close(self) -> None:
        """Close the file that is open for appending."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def open_segments(folder: Path, replay: Replay) -> SegmentedLog:
    """Read the log into ``replay``, truncate a torn tail and open the log.

    Raises:
        StorageError: the log is damaged before its tail.
    """
    log = SegmentedLog(folder=folder, segments=[], next_sequence=1)
    paths = sorted(folder.glob(f'{_PREFIX}*'))
    for path in paths:
        _read_segment(log, path, replay, is_last=path == paths[-1])
    if log.segments:
        flags = os.O_WRONLY | os.O_APPEND
        log.descriptor = disk.open_file(log.segments[-1].path, flags)
    return log


def _read_segment(
    log: SegmentedLog,
    path: Path,
    replay: Replay,
    is_last: bool,
) -> None:
    first_sequence = int(path.name.removeprefix(_PREFIX))
    if log.segments and first_sequence != log.next_sequence:
        raise StorageError(
            f'{path}: the log segment before it is missing',
        )
    log.next_sequence = first_sequence
    segment = Segment(path=path, first_sequence=first_sequence)
    content = disk.read_file(path)
    for record in decode_records(content):
        _replay_record(log, segment, record, replay)
    if segment.size < len(content):
        _truncate_torn_tail(path, content, segment.size, is_last)
    log.appended_bytes += segment.size
    log.segments.append(segment)


def _replay_record(
    log: SegmentedLog,
    segment: Segment,
    record: Record,
    replay: Replay,
) -> None:
    try:
        decoded = unpack(LogRecord, record.payload)
    except CodecError as error:
        raise StorageError(f'{segment.path}: {error}') from error
    if record.sequence != log.next_sequence:
        raise StorageError(
            f'{segment.path}: found record {record.sequence} where '
            f'{log.next_sequence} was expected',
        )
    replay.apply(decoded)
    log.next_sequence += 1
    segment.size = record.end


def _truncate_torn_tail(
    path: Path,
    content: bytes,
    size: int,
    is_last: bool,
) -> None:
    if not is_last or find_record_after(content, size) is not None:
        raise StorageError(
            f'{path} is damaged at byte {size}; restore the disk, or empty '
            'the data folder so that this instance rejoins as a new member',
        )
    _log.warning(
        'truncated torn tail of the log',
        file=path.name,
        kept_bytes=size,
        cut_bytes=len(content) - size,
    )
    disk.truncate_file(path, size)
