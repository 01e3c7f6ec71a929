"""Crashes of workers, as the leader learns of them, and what follows.

The runs on a crashed worker are judged at once; the ends that are committed for
them tell their roles. Then tasks are given up, or cleared of suspicion.
"""

from typing import final

from wasabiturn.batch.crashes.crash import Crash, judge_crash
from wasabiturn.batch.crashes.proofs import find_acquitted, find_proven_suspects
from wasabiturn.batch.crashes.verdicts import CrashLog
from wasabiturn.batch.fleet import Fleet, Worker
from wasabiturn.messages.batch import BatchChange, GiveUp
from wasabiturn.process import exposition
from wasabiturn.process.control.batch.pipeline import Pipeline
from wasabiturn.utils.logs import create_component_log

_log = create_component_log('queues')


@final
class CrashWatch:
    """Judges the crashes of one leader term."""

    def __init__(self, fleet: Fleet, pipeline: Pipeline) -> None:
        """Create a watch that has seen no crashes."""
        self._fleet = fleet
        self._pipeline = pipeline
        self._crash_log = CrashLog()

    def record_crash(self, worker: Worker, heard_at: float, now: float) -> None:
        """Judge the runs on a crashed worker; once for each incarnation.

        To be called before the ends of its runs are stored; ``review`` after.
        ``heard_at`` is when its agent was heard before.
        """
        if worker.crashed_at is not None or worker.report.leaving:
            return
        acquitted = find_acquitted(worker, heard_at)
        self._clear(acquitted, 'its run worked on before this crash')
        crash = judge_crash(
            worker, heard_at, now, is_shared=self._is_shared(worker)
        )
        if crash.suspects or crash.bystanders:
            _log_crash(crash)
        self._note_in_isolation(worker, crash)
        batch_state = self._pipeline.batch_state
        cleared = self._crash_log.find_cleared(batch_state, crash)
        self._crash_log.record(crash)
        self._clear(cleared, 'another task is the only suspect now')

    def review(self, now: float) -> None:
        """Give up or clear the tasks about which enough is known."""
        batch_state = self._pipeline.batch_state
        workers = len(self._fleet.workers_by_incarnation)
        give_ups = list(self._crash_log.decide(batch_state, workers, now))
        if give_ups:
            self._give_up(give_ups)
        self._fleet.isolation.held_tasks = set(
            self._crash_log.undecided_by_task
        )
        proven = find_proven_suspects(batch_state, self._fleet, now)
        self._clear(proven, 'its run works on')
        self._crash_log.forget_unsuspected(batch_state)

    def _is_shared(self, worker: Worker) -> bool:
        shared = self._fleet.isolation.is_lasting_by_shared
        return (worker.name, worker.born_ms) in shared

    def _note_in_isolation(self, worker: Worker, crash: Crash) -> None:
        isolation = self._fleet.isolation
        isolation.record_crash(worker.report.service_name, crash.at)
        for position, suspicion in enumerate(crash.suspects):
            isolation.rank_by_task[suspicion.task] = (crash.at, position)
            if crash.is_shared:
                isolation.alone_tasks.add(suspicion.task)

    def _clear(self, tasks: list[str], reason: str) -> None:
        if tasks:
            _log.decision('clears suspects', tasks=tasks, reason=reason)
            self._pipeline.add(BatchChange(cleared=tasks))

    def _give_up(self, give_ups: list[GiveUp]) -> None:
        for give_up in give_ups:
            exposition.given_up_tasks.inc()
            task = self._pipeline.batch_state.tasks_by_name[give_up.task]
            _log.decision(
                'gives up job',
                job=task.job.job_id,
                task=task.name,
                crashes=task.crashes,
                workers=self._crash_log.list_workers(task.name),
                reason=give_up.reason,
            )
        self._pipeline.add(BatchChange(give_ups=give_ups))


def _log_crash(crash: Crash) -> None:
    exposition.suspects.inc(len(crash.suspects))
    _log.decision(
        'judges crash of worker',
        worker=crash.worker,
        suspects=[f'{each.task}/{each.run}' for each in crash.suspects],
        bystanders=list(crash.bystanders),
        culprit=crash.culprit,
        is_quick=crash.is_quick,
        is_shared=crash.is_shared,
    )
