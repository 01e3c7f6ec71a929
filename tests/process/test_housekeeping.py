"""The leader removes expired claims and done jobs, and nothing else."""

import pytest

from tests.process.group import Group
from tests.process.network import Network
from tests.version.resources import claim, job, move, put
from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.version import retention

HOUR_SECONDS = 3600


def test_claims_are_removed_after_the_retention_period() -> None:
    group = Group(Network())
    state = group.replicas[0].state
    group.commit(claim('c-1', key='early'))
    group.network.pump()
    for _ in range(5):
        group.network.advance(HOUR_SECONDS)
    group.commit(claim('c-2', key='late'))
    assert list(state.claims_by_key) == ['desk/early', 'desk/late']
    group.network.advance(HOUR_SECONDS)
    group.network.advance(HOUR_SECONDS)
    assert list(state.claims_by_key) == ['desk/late']


@pytest.mark.parametrize(
    ('target', 'remaining'),
    [('finished', 1), ('running', 2)],
)
def test_done_jobs_are_deleted_oldest_first(
    target: str,
    remaining: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(retention, 'KEPT_DONE_JOBS', 1)
    group = Group(Network())
    state = group.replicas[0].state
    for name in ('old', 'new'):
        declared = job(1)
        declared.name = name
        group.commit(put(declared))
        group.commit(move(state, f'{name}.0', TaskState[target]))
    group.network.advance(HOUR_SECONDS)
    assert len(state.resources_by_kind[Kind.job]) == remaining
    assert 'new' in state.resources_by_kind[Kind.job]
    assert len(state.resources_by_kind[Kind.task]) == remaining
