"""Measure how long a snapshot of the state blocks the loop, by its size."""

import tempfile
import time
from pathlib import Path

from benchmarks.control_group import put_command
from wasabiturn.messages.raft import SnapshotHead
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.raft.state import Snapshot
from wasabiturn.version.state import create_state
from wasabiturn.version.storage import open_store

RESOURCES = (1_000, 10_000, 50_000)


def main() -> None:
    """Print one line for each number of resources."""
    for resources in RESOURCES:
        with tempfile.TemporaryDirectory() as folder:
            _measure(Path(folder), resources)


def _measure(folder: Path, resources: int) -> None:
    state = create_state()
    for number in range(resources):
        apply_command(state, put_command(f'settings-{number}'))
    store = open_store(folder, 'control-1', 'first')
    started = time.perf_counter()
    content = dump_state(state)
    dumped = time.perf_counter()
    store.save_snapshot(
        Snapshot(SnapshotHead(index=1, term=1), content), tail=[]
    )
    saved = time.perf_counter()
    load_state(content)
    loaded = time.perf_counter()
    store.close()
    print(
        f'{resources:6} resources, {len(content) / 1e6:6.2f} MB: '
        f'dump {(dumped - started) * 1000:6.1f} ms, '
        f'save {(saved - dumped) * 1000:6.1f} ms, '
        f'load {(loaded - saved) * 1000:6.1f} ms',
        flush=True,
    )


if __name__ == '__main__':
    main()
