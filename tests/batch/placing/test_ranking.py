"""The ranking of workers chooses as weighing all workers for each task does."""

from collections.abc import Iterator
from random import Random

import pytest

from tests.batch.jobs_fakes import (
    accept,
    add_run,
    create_batch_state,
    create_fleet,
    create_worker,
    step,
)
from wasabiturn.batch import BatchState, apply_batch_change
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.batch.placing.candidates import (
    Candidates,
    choose_worker,
    find_candidates,
)
from wasabiturn.batch.placing.forecast import Forecasts
from wasabiturn.batch.placing.interference import Interference, Pressure
from wasabiturn.batch.placing.ranking import create_ranking
from wasabiturn.batch.state.jobs import Part
from wasabiturn.messages.batch import BatchChange, StartRun, Step

SEEDS = 40
WORKERS = 12
IMAGES = ('f1', 'f2', 'f3')
LASTING_IMAGES = ('s1', 's2')


def draw_step(random: Random) -> Step:
    kind = random.choice(('plain', 'fills', 'lasting'))
    fields: dict[str, object] = {
        'millicores': random.randint(200, 4000),
        'memory_mb': random.randint(50, 400),
        'max_per_worker': random.choice((0, 0, 1, 3)),
        'required_label': random.choice(('', '', 'ssd')),
        'preferred_rack': random.choice(('', 'r1')),
    }
    if kind == 'fills':
        fields |= {'fills': True, 'image': random.choice(IMAGES)}
    if kind == 'lasting':
        fields |= {
            'lasting': True,
            'image': random.choice(LASTING_IMAGES),
            'tail_goal_ms': 100,
        }
    return step(random.randint(1, 30), **fields)


def draw_worker(name: str, random: Random) -> Worker:
    return create_worker(
        name,
        millicores=random.choice((8000, 16_000)),
        memory_mb=random.randint(500, 4000),
        labels=random.choice(([], ['ssd'])),
        rack=random.choice(('r1', 'r2')),
    )


class Case:
    """Workers with some runs, and one part to place."""

    def __init__(self, seed: int) -> None:
        random = Random(seed)
        self.workers = [draw_worker(f'w{n}', random) for n in range(WORKERS)]
        self.fleet: Fleet = create_fleet(*self.workers)
        self.batch_state: BatchState = create_batch_state(
            *(accept(f'old{n}', draw_step(random)) for n in range(8)),
            accept('new', draw_step(random)),
        )
        self.interference = Interference(
            pressure_by_pair={
                (lasting, filling): Pressure(level=random.uniform(0, 6))
                for lasting in LASTING_IMAGES
                for filling in IMAGES
            }
        )
        for task in list(self.batch_state.tasks_by_name.values()):
            if task.job.job_id != 'new' and random.random() < 0.2:
                add_run(random.choice(self.workers), task, figure=40)
        for worker in self.workers:
            # The last report of some is overdue.
            worker.heard_at = random.choice((0, 0, -1.5))
        self.part: Part = self.batch_state.jobs_by_id['new'].parts_by_key[0, 0]
        for task in self.part.waiting_by_name.values():
            if random.random() < 0.2:
                task.failures = 1
                task.worker = random.choice(self.workers).name
        bound_tasks: list[str] = []
        for task in self.part.waiting_by_name.values():
            if random.random() < 0.2:
                task.worker = random.choice(self.workers).name
                bound_tasks.append(task.name)
        self.candidates: Candidates = find_candidates(
            self.workers,
            self.batch_state,
            Forecasts(self.interference),
            0,
            bound_tasks,
        )
        self.batch_state.on_start = lambda task: (
            self.fleet.workers_by_incarnation[
                task.worker, task.born_ms
            ].allocate(task, 0)
        )

    def start(self, name: str, worker: Worker) -> None:
        begun = StartRun(task=name, run=1, worker=worker.name, born_ms=1)
        apply_batch_change(self.batch_state, BatchChange(starts=[begun]))


def place_plainly(case: Case) -> Iterator[tuple[str, str]]:
    for task in list(case.part.waiting_by_name.values()):
        worker = choose_worker(task, case.candidates)
        if worker is None:
            continue
        yield task.name, worker.name
        case.start(task.name, worker)


def place_by_ranking(case: Case) -> Iterator[tuple[str, str]]:
    ranking = create_ranking(case.part, case.candidates)
    for task in list(case.part.waiting_by_name.values()):
        worker = ranking.choose(task)
        if worker is None:
            continue
        yield task.name, worker.name
        case.start(task.name, worker)
        ranking.record_start(worker)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_ranking_chooses_as_the_plain_form_does(seed: int) -> None:
    assert list(place_by_ranking(Case(seed))) == list(place_plainly(Case(seed)))


def test_the_cases_place_tasks() -> None:
    placed = [len(list(place_plainly(Case(seed)))) for seed in range(SEEDS)]
    assert sum(count > 3 for count in placed) > SEEDS // 2


def test_bound_tasks_start_only_at_their_names() -> None:
    for case in map(Case, range(SEEDS)):
        names = {
            name: case.batch_state.tasks_by_name[name].worker
            for name in case.candidates.bound_tasks
        }
        placed = dict(place_by_ranking(case))
        for task in names.keys() & placed.keys():
            assert placed[task] == names[task]
