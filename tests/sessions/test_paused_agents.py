"""Tasks that crash their workers while the agents of these stand still."""

import pytest

from tests.sessions.batch_fakes import (
    MAX_STARTS_AFTER_CRASHES,
    BatchFleet,
    create_step,
)
from tests.sessions.test_lost_machines import find_agent
from wasabiturn.messages.kinds import JobState
from wasabiturn.standins.batch_worker import SimulatedWork

CRASH_SECONDS = 0.3
# After each start its agent stands still, over the crash.
PAUSED_AFTER_SECONDS = 0.25
MAX_CRASHES_BEFORE = 3
SECONDS = 40


@pytest.mark.parametrize('pause_seconds', [0.4, 0.8, 1.2, 1.8])
def test_crashing_task_is_not_proven_by_the_silence_of_a_paused_agent(
    pause_seconds: float,
) -> None:
    fleet = BatchFleet(workers=8)
    fleet.run(1.5)
    work = SimulatedWork(10, crash_after_seconds=CRASH_SECONDS)
    fleet.submit('d', [create_step(1, millicores=500)], work)
    end = fleet.clock.seconds() + SECONDS
    seen = 0
    while fleet.clock.seconds() < end:
        if len(fleet.run_starts) > seen:
            seen = len(fleet.run_starts)
            agent = find_agent(fleet, fleet.run_starts[-1][3])
            fleet.clock.callLater(PAUSED_AFTER_SECONDS, agent.pause)
            fleet.clock.callLater(
                PAUSED_AFTER_SECONDS + pause_seconds, agent.resume
            )
        fleet.run(0.01)
    assert fleet.read_state('d') is JobState.failed
    starts = MAX_CRASHES_BEFORE + MAX_STARTS_AFTER_CRASHES
    assert len(fleet.run_starts) <= starts
