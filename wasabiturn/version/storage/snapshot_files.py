"""Files of state machine snapshots, one for each snapshot."""

from pathlib import Path

from wasabiturn.exceptions import StorageError
from wasabiturn.messages.codec import CodecError, pack, unpack
from wasabiturn.messages.raft import SnapshotHead
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.storage import disk
from wasabiturn.version.storage.records import (
    decode_records,
    encode_header,
    encode_record,
)

_PREFIX = 'snapshot-'
_HEAD_SEQUENCE = 1
_CONTENT_SEQUENCE = 2


def write_snapshot(folder: Path, snapshot: Snapshot) -> None:
    """Write a snapshot durably, then remove older ones.

    Raises:
        StorageError: the snapshot is not durable; the older one is kept.
    """
    path = folder / f'{_PREFIX}{snapshot.head.index:020d}'
    parts = (
        encode_record(_HEAD_SEQUENCE, pack(snapshot.head)),
        encode_header(_CONTENT_SEQUENCE, snapshot.content),
        snapshot.content,
    )
    disk.replace_file_by_parts(path, parts)
    for older in _list_files(folder):
        if older < path:
            disk.remove_file(older)


def read_newest_snapshot(folder: Path) -> Snapshot | None:
    """Return the newest snapshot, or ``None`` if there is none.

    Raises:
        StorageError: it is damaged.
    """
    for leftover in folder.glob(f'{_PREFIX}*.tmp'):
        disk.remove_file(leftover)
    paths = _list_files(folder)
    if not paths:
        return None
    path = paths[-1]
    payloads = [
        record.payload for record in decode_records(disk.read_file(path))
    ]
    if len(payloads) != _CONTENT_SEQUENCE:
        raise StorageError(
            f'{path} is damaged; restore the disk, or empty the data folder '
            'so that this instance rejoins as a new member',
        )
    try:
        head = unpack(SnapshotHead, payloads[0])
    except CodecError as error:
        raise StorageError(f'{path}: {error}') from error
    return Snapshot(head=head, content=payloads[1])


def _list_files(folder: Path) -> list[Path]:
    return sorted(
        path for path in folder.glob(f'{_PREFIX}*') if path.suffix != '.tmp'
    )
