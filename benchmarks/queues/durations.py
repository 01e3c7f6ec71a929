"""True durations of simulated tasks, and what their callers declare."""

import math
from random import Random
from typing import final

import attrs

from benchmarks.queues.deployments import Deployment
from wasabiturn.batch.state.jobs import Job, Task
from wasabiturn.messages.batch import AcceptJob, Step

MS_PER_SECOND = 1000
FULL_PERCENT = 100


@final
@attrs.define
class DurationModel:
    """Draws the durations of tasks, and errors of the declared estimates."""

    deployment: Deployment
    random: Random
    # Work of each task, and what is left of it since its checkpoint.
    _seconds_by_task: dict[str, float] = attrs.field(factory=dict)
    _saved_by_task: dict[str, float] = attrs.field(factory=dict)
    _steps_by_job: dict[str, list[Step]] = attrs.field(factory=dict)
    _mean_by_step: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _longest_by_step: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def declare(self, accepted: AcceptJob) -> None:
        """Draw the mean durations of the steps; declare rough estimates."""
        declaration = accepted.declaration
        self._steps_by_job[declaration.job_id] = declaration.steps
        for number, step in enumerate(declaration.steps):
            if step.lasting:
                continue
            mean = step.estimate_ms / MS_PER_SECOND * self._draw_spread()
            self._mean_by_step[declaration.job_id, number] = mean
            step.estimate_ms = int(mean * MS_PER_SECOND * self._draw_error())

    def remaining_seconds(self, task: Task) -> float:
        """Return the work that is left of a task, at full pace."""
        if task.name not in self._seconds_by_task:
            seconds = self._draw_task_seconds(task)
            self._seconds_by_task[task.name] = seconds
            self._record_work(task, seconds)
        seconds = self._seconds_by_task[task.name]
        return self._saved_by_task.get(task.name, seconds)

    def save(self, task: Task, remaining_seconds: float) -> None:
        """Keep what a stopped run has done, if the task saves checkpoints."""
        if task.step.checkpoints:
            self._saved_by_task[task.name] = remaining_seconds

    def record_failure(self, task: Task, remaining_seconds: float) -> None:
        """Record the work that a failed run has lost."""
        lost = self.remaining_seconds(task) - remaining_seconds
        self._record_work(task, self._seconds_by_task[task.name] + lost)

    def percent(self, task: Task, remaining_seconds: float) -> int:
        """Return how much of a task is done."""
        done = 1 - remaining_seconds / self._seconds_by_task[task.name]
        return int(FULL_PERCENT * max(done, 0))

    def objective_ms(self, job: Job) -> float:
        """Return the objective by the work that the tasks have had."""
        terms = job.accepted.terms
        chain = self._longest_chain_seconds(job.job_id)
        return terms.stretch * chain * MS_PER_SECOND + terms.slack_ms

    def _longest_chain_seconds(self, job_id: str) -> float:
        """Return the critical path if all tasks of a step run at once."""
        ends: list[float] = []
        for number, step in enumerate(self._steps_by_job[job_id]):
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            longest = self._longest_by_step.get((job_id, number), 0.0)
            ends.append(begin + longest)
        return max(ends, default=0.0)

    def _draw_task_seconds(self, task: Task) -> float:
        spread = self.deployment.task_spread
        key = (task.job.job_id, task.part.number)
        mean = self._mean_by_step.get(key, 1.0)
        seconds = mean * self.random.uniform(1 - spread, 1 + spread)
        if self.random.random() < self.deployment.slow_share:
            seconds *= self.deployment.slow_factor
        return seconds

    def _record_work(self, task: Task, seconds: float) -> None:
        """Record the work of a task, with that of its failed runs."""
        key = (task.job.job_id, task.part.number)
        longest = self._longest_by_step.get(key, 0.0)
        self._longest_by_step[key] = max(longest, seconds)

    def _draw_spread(self) -> float:
        """Return a factor with a mean of 1."""
        sigma = self.deployment.step_spread
        return self.random.lognormvariate(-sigma * sigma / 2, sigma)

    def _draw_error(self) -> float:
        error = math.log(1 + self.deployment.estimate_error)
        return math.exp(self.random.uniform(-error, error))
