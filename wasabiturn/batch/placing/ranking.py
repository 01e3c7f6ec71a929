"""Scores of all workers for the tasks of one part.

Made for wide steps on hundreds of workers: starting a task changes the score
of its worker only, so the others need not be weighed again for the next task.
The choice is the same as that of ``placing.choose_worker``.
"""

from typing import final

import attrs

from wasabiturn.batch.fleet import Worker
from wasabiturn.batch.placing.candidates import (
    UNSUITABLE,
    Candidates,
    count_by_worker,
    may_start_at,
    penalize_failure,
    score_worker,
)
from wasabiturn.batch.state.jobs import Part, Task


@final
@attrs.define
class Ranking:
    """Score of each candidate, in the order of the candidates."""

    part: Part
    candidates: Candidates
    scores: list[float]
    count_by_worker: dict[str, int]

    def choose(self, task: Task) -> Worker | None:
        """Return the worker with the best score for ``task``, if any."""
        scores = self.scores
        if task.failures:
            scores = self._penalize_last_worker(task)
        if task.name in self.candidates.bound_tasks:
            scores = self._exclude_other_workers(task)
        best_score = max(scores, default=UNSUITABLE)
        if best_score == UNSUITABLE:
            return None
        return self.candidates.workers[scores.index(best_score)]

    def record_start(self, worker: Worker) -> None:
        """Score ``worker`` again after a task of the part was started there."""
        if self.part.step.max_per_worker:
            count = self.count_by_worker.get(worker.name, 0) + 1
            self.count_by_worker[worker.name] = count
        position = self.candidates.workers.index(worker)
        self.scores[position] = self._score(worker)

    def _score(self, worker: Worker) -> float:
        return score_worker(
            self.part, worker, self.candidates, self.count_by_worker
        )

    def _penalize_last_worker(self, task: Task) -> list[float]:
        return [
            penalize_failure(score, task, worker)
            for score, worker in zip(
                self.scores, self.candidates.workers, strict=True
            )
        ]

    def _exclude_other_workers(self, task: Task) -> list[float]:
        return [
            score if may_start_at(task, worker, self.candidates) else UNSUITABLE
            for score, worker in zip(
                self.scores, self.candidates.workers, strict=True
            )
        ]


def create_ranking(part: Part, candidates: Candidates) -> Ranking:
    """Score all candidates for the tasks of ``part``."""
    counts = count_by_worker(part)
    return Ranking(
        part=part,
        candidates=candidates,
        scores=[
            score_worker(part, worker, candidates, counts)
            for worker in candidates.workers
        ],
        count_by_worker=counts,
    )
