"""Durable file operations; errors name the file and the failed action."""

import os
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from wasabiturn.exceptions import StorageError

_FILE_MODE = 0o600


@contextmanager
def storage_errors(action: str, path: Path) -> Iterator[None]:
    """Convert an ``OSError`` to a ``StorageError`` that names ``path``."""
    try:
        yield
    except OSError as error:
        raise StorageError(
            f'cannot {action} {path}: {error.strerror or error}',
        ) from error


def sync_folder(folder: Path) -> None:
    """Make creations, renames and removals in ``folder`` durable."""
    with storage_errors('sync', folder):
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        with ExitStack() as stack:
            stack.callback(os.close, descriptor)
            os.fsync(descriptor)


def open_file(path: Path, flags: int) -> int:
    """Open a file; the caller closes the descriptor."""
    with storage_errors('open', path):
        return os.open(path, flags, _FILE_MODE)


def truncate_file(path: Path, size: int) -> None:
    """Truncate a file durably."""
    descriptor = open_file(path, os.O_WRONLY)
    with ExitStack() as stack, storage_errors('truncate', path):
        stack.callback(os.close, descriptor)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)


def write_all(descriptor: int, content: bytes, path: Path) -> None:
    """Write all of ``content``."""
    view = memoryview(content)
    with storage_errors('write', path):
        while view:
            view = view[os.write(descriptor, view) :]


def sync_file(descriptor: int, path: Path) -> None:
    """Make the content of a file durable; a failure must not be retried."""
    with storage_errors('sync', path):
        os.fdatasync(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new content."""
    temporary = path.with_suffix('.tmp')
    descriptor = open_file(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    with ExitStack() as stack:
        stack.callback(os.close, descriptor)
        write_all(descriptor, content, temporary)
        sync_file(descriptor, temporary)
    with storage_errors('rename', temporary):
        temporary.replace(path)
    sync_folder(path.parent)


def read_file(path: Path) -> bytes:
    """Read a whole file."""
    with storage_errors('read', path):
        return path.read_bytes()


def remove_file(path: Path) -> None:
    """Remove a file; ``sync_folder`` makes that durable."""
    with storage_errors('remove', path):
        path.unlink()
