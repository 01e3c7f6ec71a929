"""Durable file operations; errors name the file and the failed action."""

import errno
import os
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from wasabiturn.exceptions import DiskFullError, StorageError

_FILE_MODE = 0o600
_NO_ROOM_CODES = frozenset((errno.ENOSPC, errno.EDQUOT))


@contextmanager
def storage_errors(action: str, path: Path) -> Iterator[None]:
    """Convert an ``OSError`` to a ``StorageError`` that names ``path``."""
    try:
        yield
    except OSError as error:
        raise StorageError(_describe(action, path, error)) from error


@contextmanager
def room_errors(action: str, path: Path) -> Iterator[None]:
    """Like ``storage_errors``, but raise ``DiskFullError`` on a full disk.

    Only for actions after which the caller can restore the state before them.
    """
    try:
        yield
    except OSError as error:
        text = _describe(action, path, error)
        if error.errno in _NO_ROOM_CODES:
            raise DiskFullError(text) from error
        raise StorageError(text) from error


def _describe(action: str, path: Path, error: OSError) -> str:
    return f'cannot {action} {path}: {error.strerror or error}'


def sync_folder(folder: Path) -> None:
    """Make creations, renames and removals in ``folder`` durable."""
    with storage_errors('sync', folder):
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        with ExitStack() as stack:
            stack.callback(os.close, descriptor)
            os.fsync(descriptor)


def open_file(path: Path, flags: int) -> int:
    """Open a file; the caller closes the descriptor."""
    with room_errors('open', path):
        return os.open(path, flags, _FILE_MODE)


def truncate_file(path: Path, size: int) -> None:
    """Truncate a file durably."""
    descriptor = open_file(path, os.O_WRONLY)
    with ExitStack() as stack, storage_errors('truncate', path):
        stack.callback(os.close, descriptor)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)


def write_all(descriptor: int, content: bytes, path: Path) -> None:
    """Write all of ``content``; part of it may be written on an error."""
    view = memoryview(content)
    with room_errors('write', path):
        while view:
            view = view[os.write(descriptor, view) :]


def cut_file(descriptor: int, size: int, path: Path) -> None:
    """Cut an open file to ``size``, after a write that failed midway."""
    with storage_errors('truncate', path):
        os.ftruncate(descriptor, size)


def sync_file(descriptor: int, path: Path) -> None:
    """Make the content of a file durable; a failure must not be retried."""
    with storage_errors('sync', path):
        os.fdatasync(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new content."""
    replace_file_by_parts(path, (content,))


def replace_file_by_parts(path: Path, parts: Iterable[bytes]) -> None:
    """Replace a file as ``replace_file``; large parts are not joined."""
    temporary = path.with_suffix('.tmp')
    try:
        _write_file(temporary, parts)
    except DiskFullError:
        temporary.unlink(missing_ok=True)
        raise
    with storage_errors('rename', temporary):
        temporary.replace(path)
    sync_folder(path.parent)


def _write_file(path: Path, parts: Iterable[bytes]) -> None:
    descriptor = open_file(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    with ExitStack() as stack:
        stack.callback(os.close, descriptor)
        for part in parts:
            write_all(descriptor, part, path)
        sync_file(descriptor, path)


def read_file(path: Path) -> bytes:
    """Read a whole file."""
    with storage_errors('read', path):
        return path.read_bytes()


def remove_file(path: Path) -> None:
    """Remove a file; ``sync_folder`` makes that durable."""
    with storage_errors('remove', path):
        path.unlink()
