"""Random sessions that end with new leaders beside lost machines.

Their last second has submissions, machines that are lost for good, new leaders
and pauses of agents, in any order. 14 s later the rule of a day's end holds.
"""

import pytest

from tests.sessions.batch_fakes import FakeAgent
from tests.sessions.test_jobs_at_the_end_properties import EndSession
from tests.sessions.test_lasting_tasks_wide_properties import Condition
from tests.sessions.test_start_orders_properties import FIRST_SEED, SEED_COUNT

# Each condition plays this share of the seeds.
SEEDS = range(FIRST_SEED, FIRST_SEED + max(SEED_COUNT // 4, 1))
CONDITIONS = (Condition.plain, Condition.racks, Condition.pauses)
EVENTS = (2, 6)
MAX_LOST = 2
# More are left, so that there is room.
MIN_SOUND = 3
GAP_SECONDS = (0.0, 0.03, 0.1, 0.2, 0.4)
AWAY_SECONDS = (0.05, 0.2, 1.0)
# Sessions in which a task waited for an order that was planned for a machine
# that was lost, and never sent.
REGRESSIONS = (
    (Condition.plain, 3026),
    (Condition.plain, 3032),
    (Condition.plain, 3059),
)


class NewLeadersSession(EndSession):
    """Session with new leaders and lost machines in its last second."""

    def play_actions(self) -> None:
        super().play_actions()
        self.lost = 0
        events = (
            self.lose_one,
            self.submit_more,
            self.replace_leader,
            self.pause_one,
        )
        for _ in range(self.random.randint(*EVENTS)):
            event = self.random.choice(events)
            if event(self.list_sound()):
                self.run(self.random.choice(GAP_SECONDS))

    def list_sound(self) -> list[FakeAgent]:
        return [
            agent
            for agent in self.fleet.agents
            if agent.name not in self.lost_at and agent.worker.is_up
        ]

    def lose_one(self, sound: list[FakeAgent]) -> bool:
        if self.lost >= MAX_LOST or len(sound) <= MIN_SOUND:
            return False
        self.lost += 1
        self._remove(self.random.choice(sound))
        return True

    def submit_more(self, sound: list[FakeAgent]) -> bool:
        self.submit_ordinary(sound[0])
        return True

    def replace_leader(self, sound: list[FakeAgent]) -> bool:
        self.fleet.change_leader(self.random.choice(AWAY_SECONDS))
        return True

    def pause_one(self, sound: list[FakeAgent]) -> bool:
        agent = self.random.choice(sound)
        agent.pause()
        self.run(self.random.choice(AWAY_SECONDS))
        agent.resume()
        return True


@pytest.mark.parametrize(
    ('condition', 'seed'),
    [*((each, seed) for each in CONDITIONS for seed in SEEDS), *REGRESSIONS],
)
def test_no_job_has_nothing_running_after_new_leaders_beside_lost_machines(
    condition: Condition, seed: int
) -> None:
    session = NewLeadersSession(seed, condition)
    session.play()
    assert session.find_kept_idle() == set()
