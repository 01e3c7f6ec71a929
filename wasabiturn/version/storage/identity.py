"""Name and incarnation of the instance that owns a data folder.

An incarnation identifies one disk, with the votes and acknowledgements stored
on it. An empty folder gets a new one, so that a member whose disk was lost is
never mistaken for its previous incarnation.
"""

from pathlib import Path

from wasabiturn.exceptions import StorageError
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.raft import Identity
from wasabiturn.version.storage import disk
from wasabiturn.version.storage.records import decode_record, encode_record

_FILE_NAME = 'identity'


def read_identity(folder: Path, name: str) -> Identity | None:
    """Return the identity of the folder, or ``None`` if it has none.

    Raises:
        StorageError: it is damaged, or belongs to another instance.
    """
    path = folder / _FILE_NAME
    if not path.exists():
        return None
    record = decode_record(disk.read_file(path), 0)
    if record is None:
        raise StorageError(
            f'{path} is damaged; restore the disk, or empty the data folder '
            'so that this instance rejoins as a new member',
        )
    identity = unpack(Identity, record.payload)
    if identity.name != name:
        raise StorageError(
            f'{folder} belongs to the instance {identity.name}, not {name}; '
            'correct name or data_folder in the settings',
        )
    return identity


def write_identity(folder: Path, identity: Identity) -> None:
    """Write the identity durably."""
    disk.replace_file(folder / _FILE_NAME, encode_record(1, pack(identity)))
