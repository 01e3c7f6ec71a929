"""Why the tasks of a job wait, for the log lines about idle jobs.

Tells for each waiting task whose turn has come the first reason that keeps it
from starting. Only jobs that run nothing are looked at, as each look weighs all
workers.
"""

import enum
from collections import Counter
from typing import final

import attrs

from wasabiturn.batch.fleet import NEVER, Fleet, Worker
from wasabiturn.batch.placing.acceptance import accepts_work
from wasabiturn.batch.placing.candidates import (
    UNSUITABLE,
    Candidates,
    can_take,
    count_by_worker,
    score_worker,
)
from wasabiturn.batch.queueing.ordering import Moment, list_due_parts
from wasabiturn.batch.queueing.progress import known_at
from wasabiturn.batch.state.batch_state import BatchState
from wasabiturn.batch.state.jobs import Job, Part, Task

# A job that runs nothing for longer is reported.
REPORTED_AFTER_SECONDS = 3.0


@final
class WaitingReason(enum.Enum):
    """First reason that keeps a task from starting."""

    # An order that may yet be carried out binds it to one worker name.
    held_by_order = 'held by an open order'
    # It may have crashed its worker.
    suspect = 'suspect'
    # Members of its gang run, or don't all find room.
    gang = 'gang'
    # No worker of its service accepts work.
    no_worker = 'no worker accepts work'
    no_room = 'no room'
    # All workers with room have failed run after run.
    avoided = 'avoided workers'
    # All workers with room are kept for suspects.
    isolation = 'workers kept for suspects'
    low_pace = 'pace too low'
    # It found no worker at its last turn.
    refused = 'refused a moment ago'
    # It has had no turn yet.
    turn = 'awaits its turn'


@final
@attrs.frozen
class AssumedRun:
    """A run that the leader counts, whether it works or not.

    ``heard_seconds`` is since its worker was heard, ``known_seconds`` since the
    run was known to work; None if that never was.
    """

    task: str
    worker: str
    heard_seconds: float | None
    known_seconds: float | None


@final
@attrs.frozen
class Waiting:
    """Why the tasks of an idle job wait, and what it is assumed to run."""

    tasks_by_reason: Counter[WaitingReason]
    # Until the last of the open orders expires; 0 if there are none.
    held_seconds: float
    assumed_runs: list[AssumedRun]


@final
@attrs.frozen
class WaitingView:
    """All that the reasons depend on at one moment."""

    fleet: Fleet
    # Workers without failures; ``avoided`` are those with.
    candidates: Candidates
    avoided: Candidates
    moment: Moment

    @property
    def accepting(self) -> list[Worker]:
        """Return the workers that accept work, with failures or without."""
        return self.candidates.workers + self.avoided.workers


def create_view(
    batch_state: BatchState,
    fleet: Fleet,
    candidates: Candidates,
    moment: Moment,
) -> WaitingView:
    """Return a view for the jobs that are idle at one moment."""
    avoided = attrs.evolve(
        candidates,
        workers=[
            worker
            for worker in fleet.workers_by_incarnation.values()
            if worker.avoided_until > moment.now
            and accepts_work(worker, batch_state, moment.now)
        ],
    )
    return WaitingView(fleet, candidates, avoided, moment)


def explain_waiting(job: Job, view: WaitingView) -> Waiting:
    """Return why the tasks of a job wait."""
    tasks_by_reason: Counter[WaitingReason] = Counter()
    held_until = [view.moment.now]
    for part in list_due_parts(job, view.moment):
        tasks_by_reason.update(_explain_part(part, view))
        held_until.extend(
            view.fleet.bound_until_by_task[name]
            for name in part.waiting_by_name
            if name in view.fleet.bound_until_by_task
        )
    return Waiting(
        tasks_by_reason=tasks_by_reason,
        held_seconds=max(held_until) - view.moment.now,
        assumed_runs=[
            _describe_run(task, view) for task in job.active_by_name.values()
        ],
    )


def _describe_run(task: Task, view: WaitingView) -> AssumedRun:
    now = view.moment.now
    worker = view.fleet.worker_of(task)
    return AssumedRun(
        task=task.name,
        worker=task.worker,
        heard_seconds=_seconds_since(worker.heard_at if worker else NEVER, now),
        known_seconds=_seconds_since(known_at(view.fleet, task), now),
    )


def _seconds_since(at: float, now: float) -> float | None:
    return None if at == NEVER else round(now - at, 3)


def _explain_part(part: Part, view: WaitingView) -> Counter[WaitingReason]:
    reasons: Counter[WaitingReason] = Counter()
    for task in part.waiting_by_name.values():
        if task.name in view.candidates.bound_tasks:
            reasons[WaitingReason.held_by_order] += 1
        elif task.is_suspect:
            reasons[WaitingReason.suspect] += 1
        else:
            reasons[WaitingReason.turn] += 1
    others = reasons.pop(WaitingReason.turn, 0)
    if others:
        reasons[_explain_others(part, view)] += others
    return reasons


def _explain_others(part: Part, view: WaitingView) -> WaitingReason:
    """Return why the tasks wait that no order and no suspicion holds back."""
    if part.step.gang:
        return WaitingReason.gang
    if not _list_of_service(part, view.accepting):
        return WaitingReason.no_worker
    counts = count_by_worker(part)
    with_room = [
        worker for worker in view.accepting if can_take(part, worker, counts)
    ]
    if not with_room:
        return WaitingReason.no_room
    return _explain_choice(part, with_room, view)


def _explain_choice(
    part: Part, with_room: list[Worker], view: WaitingView
) -> WaitingReason:
    """Return why none of the workers with room was chosen."""
    now = view.moment.now
    sound = [worker for worker in with_room if worker.avoided_until <= now]
    if not sound:
        return WaitingReason.avoided
    reserved = view.fleet.isolation.reserved
    if all((each.name, each.born_ms) in reserved for each in sound):
        return WaitingReason.isolation
    counts = count_by_worker(part)
    scores = [
        score_worker(part, worker, view.candidates, counts) for worker in sound
    ]
    if max(scores) == UNSUITABLE:
        return WaitingReason.low_pace
    is_refused = part.name in view.fleet.refused_at_by_part
    return WaitingReason.refused if is_refused else WaitingReason.turn


def _list_of_service(part: Part, workers: list[Worker]) -> list[Worker]:
    service_name = part.job.accepted.terms.service_name
    return [
        each for each in workers if each.report.service_name == service_name
    ]
