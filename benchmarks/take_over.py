"""Take-over of the queues beside many jobs: python -m benchmarks.take_over.

Measures on one state what holds the loop of a control instance: the load of a
snapshot, its dump, the copy for a new leader, and the start of its term. Prints
the longest turn of each in ms, and the memory of the process in MB.
"""

import gc
import resource
import time
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from twisted.internet.task import Clock

from wasabiturn.batch import BatchState, apply_batch_change, copy_in_slices
from wasabiturn.batch.state.clock import StateClock
from wasabiturn.messages.batch import (
    AcceptJob,
    BatchChange,
    JobDeclaration,
    StartRun,
    Step,
    Terms,
)
from wasabiturn.process.control.batch.leader_term import LeaderTerm
from wasabiturn.process.control.batch.starts import TermSettings
from wasabiturn.process.control.batch.take_over import SLICE_SECONDS
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.state import State, create_state

ENDED_JOBS = 4000
TASKS_OF_ENDED = 160
PERIODIC_JOBS = 50
OCCURRENCES = 10_080
RUNNING_TASKS = 8200
WORKERS = 800
_MS = 1000
_KB_PER_MB = 1024


def main() -> None:
    """Print one line for each state."""
    _measure('ended jobs', _add_ended_jobs)
    _measure('running tasks', _add_running_tasks)
    _measure('periodic jobs', _add_periodic_jobs)
    _measure('all', _add_ended_jobs, _add_running_tasks, _add_periodic_jobs)


def _measure(name: str, *parts: Callable[[BatchState], None]) -> None:
    state = create_state()
    for part in parts:
        part(state.batch)
    gc.collect()
    dumped, packed = _time(lambda: dump_state(state))
    loaded, state = _time(lambda: load_state(packed))
    copied, longest, batch_state = _copy(state)
    begun, _ = _time(lambda: _begin_term(batch_state))
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / _KB_PER_MB
    print(
        f'{name}: snapshot {len(packed) / 1e6:.2f} MB, dump {dumped:.0f} ms, '
        f'load {loaded:.0f} ms, copy {copied:.0f} ms in turns of at most '
        f'{longest:.0f} ms, start of the term {begun:.0f} ms, '
        f'peak memory until then {memory_mb:.0f} MB',
        flush=True,
    )


def _time(call: Callable[[], Any]) -> tuple[float, Any]:
    started = time.perf_counter()
    outcome = call()
    return (time.perf_counter() - started) * _MS, outcome


def _copy(state: State) -> tuple[float, float, BatchState]:
    target = BatchState()
    run_turn = partial(_run_turn, copy_in_slices(state.batch, target))
    total = 0.0
    longest = 0.0
    is_over = False
    while not is_over:
        elapsed, is_over = _time(run_turn)
        total += elapsed
        longest = max(longest, elapsed)
    return total, longest, target


def _run_turn(slices: Iterator[None]) -> bool:
    """Copy for one turn; return whether nothing is left."""
    until = time.perf_counter() + SLICE_SECONDS
    return all(time.perf_counter() < until for _ in slices)


def _begin_term(batch_state: BatchState) -> LeaderTerm:
    return LeaderTerm(
        replica=None,  # type: ignore[arg-type]
        clock=Clock(),
        batch_state=batch_state,
        state_clock=StateClock(noted_at=0),
        settings=TermSettings(lease_ms=6000),
        fence=1,
        on_failure=lambda: None,
    )


def _accept(
    batch_state: BatchState, job_id: str, tasks: int, occurrences: int = 0
) -> None:
    step = Step(tasks=tasks, millicores=100, memory_mb=10, estimate_ms=1000)
    declaration = JobDeclaration(
        job_id=job_id,
        queue='callers.example/queue/',
        payload='payload',
        steps=[step],
        occurrences=occurrences,
        interval_ms=60_000,
    )
    accepted = AcceptJob(
        declaration=declaration,
        terms=Terms(service_name='service', attempts=2, stretch=2),
        accepted_ms=1,
    )
    apply_batch_change(batch_state, BatchChange(accepts=[accepted]))


def _add_ended_jobs(batch_state: BatchState) -> None:
    for number in range(ENDED_JOBS):
        job_id = f'ended-{number:011}'
        _accept(batch_state, job_id, TASKS_OF_ENDED)
        apply_batch_change(batch_state, BatchChange(cancels=[job_id]))


def _add_running_tasks(batch_state: BatchState) -> None:
    _accept(batch_state, 'running', RUNNING_TASKS)
    for number in range(RUNNING_TASKS):
        start = StartRun(
            task=f'running.0.0.{number}',
            run=1,
            worker=f'worker-{number % WORKERS}',
            born_ms=1,
            agent=f'agent-{number % WORKERS}',
        )
        apply_batch_change(batch_state, BatchChange(starts=[start]))


def _add_periodic_jobs(batch_state: BatchState) -> None:
    for number in range(PERIODIC_JOBS):
        _accept(batch_state, f'periodic-{number}', 1, OCCURRENCES)


if __name__ == '__main__':
    main()
