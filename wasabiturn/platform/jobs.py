"""Decoding of the jobs that the platform's callers submit."""

from typing import Any

from wasabiturn.messages.batch import JobDeclaration, Step
from wasabiturn.platform.fields import (
    MAX_EXACT,
    InvalidBodyError,
    check_int,
    decode_object,
    read_bool,
    read_int,
    read_list,
    read_str,
)

MAX_TASKS_PER_JOB = 20_000


def decode_job(body: bytes) -> JobDeclaration:
    """Return the job that a caller submits; its id is part of the path.

    Raises:
        InvalidBodyError: a field is missing or invalid, a step depends on
            itself or a later step, or the job has too many tasks.
    """
    fields = decode_object(body)
    steps = [
        _decode_step(index, step)
        for index, step in enumerate(read_list(fields, 'steps'))
    ]
    if not steps:
        raise InvalidBodyError('a job has no steps')
    declaration = JobDeclaration(
        payload=read_str(fields, 'spec'),
        steps=steps,
        occurrences=read_int(fields, 'repeats'),
        first_ms=read_int(fields, 'first_ms', MAX_EXACT),
        interval_ms=read_int(fields, 'interval_ms', MAX_EXACT),
    )
    tasks = sum(step.tasks for step in steps)
    if tasks * max(declaration.occurrences, 1) > MAX_TASKS_PER_JOB:
        raise InvalidBodyError(f'a job has more than {MAX_TASKS_PER_JOB} tasks')
    return declaration


def _decode_step(index: int, fields: Any) -> Step:
    if not isinstance(fields, dict):
        raise InvalidBodyError(f'step {index} is no object')
    dependencies = [
        check_int(step_index, 'after')
        for step_index in read_list(fields, 'after')
    ]
    if any(step_index >= index for step_index in dependencies):
        raise InvalidBodyError(f'step {index} waits for itself or a later one')
    step = Step(
        tasks=read_int(fields, 'count'),
        millicores=read_int(fields, 'cpu'),
        memory_mb=read_int(fields, 'mem_mb'),
        accelerators=read_int(fields, 'gpu'),
        estimate_ms=read_int(fields, 'est_ms'),
        after=dependencies,
        checkpoints=read_bool(fields, 'checkpoint'),
        gang=read_bool(fields, 'gang'),
        same_rack=read_bool(fields, 'same_rack'),
        required_label=read_str(fields, 'requires'),
        # The rack that stores the task's data.
        preferred_rack=read_str(fields, 'affinity'),
        max_per_worker=read_int(fields, 'max_per_server'),
        speculative=read_bool(fields, 'speculative'),
        lasting=read_bool(fields, 'long_running'),
        image=read_str(fields, 'image'),
        tail_goal_ms=read_int(fields, 'goal_ms'),
        fills=read_bool(fields, 'fills'),
        max_unavailable=read_int(fields, 'max_unavailable'),
    )
    if step.tasks < 1:
        raise InvalidBodyError(f'step {index} has no tasks')
    return step
