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
    read_short_str,
)
from wasabiturn.platform.job_limits import DEFAULT_JOB_LIMITS, JobLimits

MAX_TASKS_PER_JOB = 20_000


def decode_job(
    body: bytes, limits: JobLimits = DEFAULT_JOB_LIMITS
) -> JobDeclaration:
    """Return the job that a caller submits; its id is part of the path.

    Raises:
        InvalidBodyError: a field is missing or invalid, a step depends on
            itself or a later step, or the job exceeds a limit.
    """
    fields = decode_object(body)
    declared_steps = read_list(fields, 'steps')
    if not 0 < len(declared_steps) <= limits.max_steps:
        raise InvalidBodyError(f'a job has 1 to {limits.max_steps} steps')
    steps = [
        _decode_step(index, step, limits)
        for index, step in enumerate(declared_steps)
    ]
    declaration = JobDeclaration(
        payload=read_short_str(fields, 'spec', limits.max_spec_bytes),
        steps=steps,
        occurrences=read_int(fields, 'repeats'),
        first_ms=read_int(fields, 'first_ms', MAX_EXACT),
        interval_ms=read_int(fields, 'interval_ms', MAX_EXACT),
    )
    tasks = sum(step.tasks for step in steps)
    if tasks * max(declaration.occurrences, 1) > MAX_TASKS_PER_JOB:
        raise InvalidBodyError(f'a job has more than {MAX_TASKS_PER_JOB} tasks')
    return declaration


def _decode_step(index: int, fields: Any, limits: JobLimits) -> Step:
    if not isinstance(fields, dict):
        raise InvalidBodyError(f'step {index} is no object')
    max_bytes = limits.max_name_bytes
    step = Step(
        tasks=read_int(fields, 'count'),
        millicores=read_int(fields, 'cpu'),
        memory_mb=read_int(fields, 'mem_mb'),
        accelerators=read_int(fields, 'gpu'),
        estimate_ms=read_int(fields, 'est_ms'),
        after=_decode_dependencies(index, fields),
        checkpoints=read_bool(fields, 'checkpoint'),
        gang=read_bool(fields, 'gang'),
        same_rack=read_bool(fields, 'same_rack'),
        required_label=read_short_str(fields, 'requires', max_bytes),
        # The rack that stores the task's data.
        preferred_rack=read_short_str(fields, 'affinity', max_bytes),
        max_per_worker=read_int(fields, 'max_per_server'),
        speculative=read_bool(fields, 'speculative'),
        lasting=read_bool(fields, 'long_running'),
        image=read_short_str(fields, 'image', max_bytes),
        tail_goal_ms=read_int(fields, 'goal_ms'),
        fills=read_bool(fields, 'fills'),
        max_unavailable=read_int(fields, 'max_unavailable'),
    )
    if step.tasks < 1:
        raise InvalidBodyError(f'step {index} has no tasks')
    return step


def _decode_dependencies(index: int, fields: dict[str, Any]) -> list[int]:
    """Return the earlier steps that a step waits for."""
    declared = read_list(fields, 'after')
    if len(declared) > index:
        raise InvalidBodyError(f'step {index} waits for more than all earlier')
    dependencies = [check_int(each, 'after') for each in declared]
    if any(each >= index for each in dependencies):
        raise InvalidBodyError(f'step {index} waits for itself or a later one')
    return dependencies
