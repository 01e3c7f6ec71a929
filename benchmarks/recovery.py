"""Measure recovery time by length of the log, with and without a snapshot.

Fills a data folder and opens it again, in one process.
"""

import tempfile
import time
from pathlib import Path

from benchmarks.control_group import put_command
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import EntryKind
from wasabiturn.messages.raft import Ballot, Entry, SnapshotHead
from wasabiturn.messages.state import Command
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.state import State, create_state
from wasabiturn.version.storage import Store, open_store

LENGTHS = (1_000, 10_000, 100_000)
RESOURCES = 1_000
BATCH = 100


def main() -> None:
    """Print one line per log length, without and with a snapshot."""
    for length in LENGTHS:
        for with_snapshot in (False, True):
            with tempfile.TemporaryDirectory() as folder:
                _measure(Path(folder), length, with_snapshot)


def _measure(folder: Path, length: int, with_snapshot: bool) -> None:
    state = create_state()
    store = open_store(folder, 'control-1', 'first')
    store.save(Ballot(cluster='c', term=1), [], None)
    for first in range(1, length, BATCH):
        store.save(None, _create_entries(state, first), None)
    if with_snapshot:
        _save_snapshot(store, state, length)
    size = sum(path.stat().st_size for path in folder.iterdir())
    store.close()
    started = time.perf_counter()
    store = open_store(folder, 'control-1', 'other')
    recovered = _replay(store)
    elapsed = time.perf_counter() - started
    store.close()
    assert recovered.revision == state.revision
    kind = 'snapshot' if with_snapshot else 'log only'
    print(
        f'{length:7} entries, {kind}: {size / 1e6:7.2f} MB, '
        f'recovered in {elapsed:6.3f} s',
        flush=True,
    )


def _save_snapshot(store: Store, state: State, index: int) -> None:
    started = time.perf_counter()
    content = dump_state(state)
    store.save_snapshot(
        Snapshot(SnapshotHead(index=index, term=1), content), tail=[]
    )
    elapsed = time.perf_counter() - started
    print(f'snapshot of {len(content) / 1e6:.2f} MB took {elapsed:.3f} s')


def _create_entries(state: State, first: int) -> list[Entry]:
    entries = []
    for index in range(first, first + BATCH):
        command = put_command(f'settings-{index % RESOURCES}')
        apply_command(state, command)
        entries.append(Entry(1, index, EntryKind.command, pack(command)))
    return entries


def _replay(store: Store) -> State:
    snapshot = store.recovered.snapshot
    state = load_state(snapshot.content) if snapshot else create_state()
    for entry in store.recovered.entries:
        apply_command(state, unpack(Command, entry.payload))
    return state


if __name__ == '__main__':
    main()
