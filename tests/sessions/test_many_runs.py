"""Jobs of very many tasks that need nothing of a worker."""

from typing import Any

import pytest

from tests.sessions import batch_fakes
from tests.sessions.batch_fakes import BatchFleet, create_step
from wasabiturn.batch.fleet import MAX_RUNS
from wasabiturn.connection.frames import MAX_FRAME_BYTES
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import JobState, Method
from wasabiturn.standins.batch_worker import SimulatedWork


def count_runs(fleet: BatchFleet) -> list[int]:
    leader_term: Any = fleet.leader._leader_term
    workers = leader_term.fleet.workers_by_incarnation.values()
    return [len(worker.allocations_by_task) for worker in workers]


def test_orders_fit_in_a_frame_however_little_tasks_need(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A link could not send them, so the worker would be lost for all jobs."""
    sizes: list[int] = []

    def pack_measured(message: Any) -> bytes:
        packed = pack(message)
        sizes.append(len(packed))
        return packed

    monkeypatch.setattr(batch_fakes, 'pack', pack_measured)
    fleet = BatchFleet()
    free = create_step(3000, millicores=0, memory_mb=0)
    call = fleet.create_submission('free', [free], SimulatedWork(0.5))
    assert call.declaration is not None
    call.declaration.payload = 'x' * 4000
    fleet.call_leader(Method.job, call)
    fleet.submit('other', [create_step(2)], SimulatedWork(0.5))
    fleet.run_until('other', JobState.done, seconds=60)
    assert max(sizes) < MAX_FRAME_BYTES
    assert max(count_runs(fleet)) <= MAX_RUNS
