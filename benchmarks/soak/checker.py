"""Checks of the invariants on the records of a soak test."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from itertools import pairwise
from pathlib import Path
from typing import Any, final

import attrs

from benchmarks.soak.callers import CallOutcome, CallRecord, RequestKind

# Time after a data centre was taken out in which tasks may still start there.
START_GRACE_SECONDS = 3.0
FINISHED = 'finished'


@final
@attrs.define
class Report:
    """Counts of checks by name, and descriptions of the violations."""

    counts_by_name: Counter[str] = attrs.field(factory=Counter)
    violations: list[str] = attrs.field(factory=list)

    def check(self, name: str, holds: bool, detail: str) -> None:
        """Count one check of the invariant ``name``."""
        self.counts_by_name[f'{name}: checked'] += 1
        if not holds:
            self.counts_by_name[f'{name}: violated'] += 1
            self.violations.append(f'{name}: {detail}')


@final
@attrs.frozen
class TaskRun:
    """Run of one attempt of a task on a worker; times in seconds since boot.

    ``ended`` is ``None`` if neither an end nor a kill is known.
    """

    worker: str
    task: str
    attempt: int
    started: float
    ended: float | None


@final
@attrs.frozen
class Outage:
    """Time between the API's responses to taking out and bringing back."""

    data_centre: str
    since: float
    until: float


def check_calls(
    report: Report,
    records: Iterable[CallRecord],
    runs_by_id: Counter[str],
) -> None:
    """Check each caller's request against its runs at backend servers."""
    for record in records:
        runs = runs_by_id[record.request_id]
        for call_outcome in record.outcomes:
            name = f'{record.kind.value} {call_outcome.value}'
            report.counts_by_name[name] += 1
        _check_call(report, record, runs)


def _check_call(report: Report, record: CallRecord, runs: int) -> None:
    outcomes = record.outcomes
    detail = f'{record.request_id}: runs {runs}, {record.texts}'
    is_own = CallOutcome.wrong_answer not in outcomes
    report.check('answer is whole and its own', is_own, detail)
    if record.kind is not RequestKind.idempotent:
        report.check('non-idempotent runs at most once', runs <= 1, detail)
    if set(outcomes) == {CallOutcome.not_run}:
        report.check('not-run did not run', runs == 0, detail)
    if record.kind is RequestKind.unkeyed and CallOutcome.answered in outcomes:
        report.check('answered request ran', runs == 1, detail)
    if record.kind is RequestKind.keyed and CallOutcome.answered in outcomes:
        report.check('confirmation is not lost', runs == 1, detail)


def read_backend_runs(files: Iterable[Path]) -> Counter[str]:
    """Count the runs of each caller's request at all backend servers."""
    runs_by_id: Counter[str] = Counter()
    for records in files:
        for line in _read_lines(records):
            runs_by_id[line.rpartition('/')[2]] += 1
    return runs_by_id


def read_task_runs(
    worker: str,
    records: Path,
    killed_at: Iterable[float],
) -> list[TaskRun]:
    """Read the runs of one worker; a kill of the worker ends all its runs."""
    started: dict[tuple[str, int], float] = {}
    runs: list[TaskRun] = []
    for line in _read_lines(records):
        event: dict[str, Any] = json.loads(line)
        key = (event['task'], event['attempt'])
        if event['event'] == 'start':
            started[key] = event['at']
        elif key in started:
            runs.append(_create_run(worker, key, started.pop(key), event['at']))
    kills = sorted(killed_at)
    for key, at in started.items():
        ended = next((kill for kill in kills if kill > at), None)
        runs.append(_create_run(worker, key, at, ended))
    return runs


def _create_run(
    worker: str,
    key: tuple[str, int],
    started: float,
    ended: float | None,
) -> TaskRun:
    return TaskRun(
        worker=worker,
        task=key[0],
        attempt=key[1],
        started=started,
        ended=ended,
    )


def check_tasks(report: Report, runs: Iterable[TaskRun]) -> None:
    """Check that no task ran twice at once, and no attempt started twice."""
    runs_by_task: dict[str, list[TaskRun]] = defaultdict(list)
    for run in runs:
        runs_by_task[run.task].append(run)
    for task, own_runs in runs_by_task.items():
        ordered = sorted(own_runs, key=lambda each: each.started)
        attempts = [each.attempt for each in ordered]
        is_unique = len(set(attempts)) == len(attempts)
        report.check('attempt starts once', is_unique, f'{task}: {ordered}')
        for first, second in pairwise(ordered):
            is_apart = first.ended is not None and first.ended <= second.started
            detail = f'{first} and {second}'
            report.check('task runs in one place', is_apart, detail)


def check_outages(
    report: Report,
    runs: Iterable[TaskRun],
    outages: Iterable[Outage],
    data_centre_by_worker: dict[str, str],
) -> None:
    """Check that no task started in a data centre that was taken out."""
    for run in runs:
        data_centre = data_centre_by_worker[run.worker]
        for outage in outages:
            if outage.data_centre != data_centre:
                continue
            begin = outage.since + START_GRACE_SECONDS
            is_outside = not begin < run.started < outage.until
            detail = f'{run} in {outage}'
            report.check('no start in a data centre out', is_outside, detail)


def _read_lines(records: Path) -> list[str]:
    if not records.exists():
        return []
    return records.read_text(encoding='utf-8').split('\n')[:-1]
