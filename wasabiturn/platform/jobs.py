"""Jobs as the platform's callers declare them."""

from typing import Any

from wasabiturn.messages.batch import JobDeclaration, Step
from wasabiturn.platform.fields import (
    InvalidBodyError,
    check_whole,
    decode_object,
    read_count,
    read_flag,
    read_list,
    read_text,
)

MAX_TASKS = 20_000


def decode_job(body: bytes) -> JobDeclaration:
    """Return the job that a caller declares; its id stands in the path.

    Raises:
        InvalidBodyError: a field is missing or wrong, or steps wait for
            themselves.
    """
    written = decode_object(body)
    steps = [
        _decode_step(number, step)
        for number, step in enumerate(read_list(written, 'steps'))
    ]
    if not steps:
        raise InvalidBodyError('a job has no steps')
    declaration = JobDeclaration(
        payload=read_text(written, 'spec'),
        steps=steps,
        occurrences=read_count(written, 'repeats'),
        first_ms=read_count(written, 'first_ms'),
        interval_ms=read_count(written, 'interval_ms'),
    )
    tasks = sum(step.tasks for step in steps)
    if tasks * max(declaration.occurrences, 1) > MAX_TASKS:
        raise InvalidBodyError(f'a job has more than {MAX_TASKS} tasks')
    return declaration


def _decode_step(number: int, written: Any) -> Step:
    if not isinstance(written, dict):
        raise InvalidBodyError(f'step {number} is no object')
    after = [check_whole(earlier) for earlier in read_list(written, 'after')]
    if any(earlier < 0 or earlier >= number for earlier in after):
        raise InvalidBodyError(f'step {number} waits for itself or a later one')
    step = Step(
        tasks=read_count(written, 'count'),
        millicores=read_count(written, 'cpu'),
        memory_mb=read_count(written, 'mem_mb'),
        accelerators=read_count(written, 'gpu'),
        estimate_ms=read_count(written, 'est_ms'),
        after=after,
        checkpoints=read_flag(written, 'checkpoint'),
        gang=read_flag(written, 'gang'),
        same_rack=read_flag(written, 'same_rack'),
        required_label=read_text(written, 'requires'),
        # The rack where the task's data lies.
        preferred_rack=read_text(written, 'affinity'),
        max_per_worker=read_count(written, 'max_per_server'),
        speculative=read_flag(written, 'speculative'),
        lasting=read_flag(written, 'long_running'),
        image=read_text(written, 'image'),
        tail_goal_ms=read_count(written, 'goal_ms'),
        fills=read_flag(written, 'fills'),
        max_unavailable=read_count(written, 'max_unavailable'),
    )
    if step.tasks < 1:
        raise InvalidBodyError(f'step {number} has no tasks')
    return step
