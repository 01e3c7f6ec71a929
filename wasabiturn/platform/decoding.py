"""Bodies of the platform, decoded once into typed messages.

What cannot be read in full is refused whole.
"""

import json
from typing import Any, final

from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.batch import (
    EndedRow,
    JobDeclaration,
    Queue,
    Routing,
    RunningRow,
    Step,
    Terms,
)
from wasabiturn.messages.kinds import RunEnding
from wasabiturn.process.agent.runs.port import Listing, WorkerIdentity

MAX_TASKS = 20_000
DEFAULT_STRETCH = 2.0
_RACK_PREFIX = 'r'
_ENDINGS = {
    'done': RunEnding.done,
    'failed': RunEnding.failed,
    'stopped': RunEnding.stopped,
    'lapsed': RunEnding.lapsed,
    'broken': RunEnding.broken,
    'alone': RunEnding.alone,
}


@final
class InvalidBodyError(PlatformError):
    """A body is not what its call takes; the text says why."""


def decode_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    Raises:
        InvalidBodyError: there is none.
    """
    try:
        decoded = json.loads(body)
    except ValueError as error:
        raise InvalidBodyError(f'no JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise InvalidBodyError('no JSON object')
    return decoded


def decode_job(body: bytes) -> JobDeclaration:
    """Return the job that a caller declares; its id stands in the path.

    Raises:
        InvalidBodyError: a field is missing or wrong, or steps wait for
            themselves.
    """
    written = decode_object(body)
    steps = [
        _decode_step(number, step)
        for number, step in enumerate(_list(written, 'steps'))
    ]
    if not steps:
        raise InvalidBodyError('a job has no steps')
    declaration = JobDeclaration(
        payload=_text(written, 'spec'),
        steps=steps,
        occurrences=_count(written, 'repeats'),
        first_ms=_count(written, 'first_ms'),
        interval_ms=_count(written, 'interval_ms'),
    )
    tasks = sum(step.tasks for step in steps)
    if tasks * max(declaration.occurrences, 1) > MAX_TASKS:
        raise InvalidBodyError(f'a job has more than {MAX_TASKS} tasks')
    return declaration


def decode_routing(body: bytes) -> Routing:
    """Return the queues that an operator declares.

    Raises:
        InvalidBodyError: it cannot be read in full, a queue names a service
            that is not declared, two queues share a place, or a queue has no
            timeout.
    """
    written = decode_object(body)
    services = {
        _name(service, 'name') for service in _list(written, 'services')
    }
    queues = [_decode_queue(queue) for queue in _list(written, 'routes')]
    places = {(queue.host, queue.prefix) for queue in queues}
    if len(places) < len(queues):
        raise InvalidBodyError('two queues share host and prefix')
    for queue in queues:
        if queue.terms.service_name not in services:
            raise InvalidBodyError(f'{queue.name} names an unknown service')
    if not isinstance(written.get('limits'), dict):
        raise InvalidBodyError('there are no limits')
    version = _count(written, 'version')
    if version < 1:
        raise InvalidBodyError('there is no version')
    return Routing(version=version, queues=queues, document=body)


def decode_identity(
    worker: str,
    body: bytes,
    data_centre: str,
) -> WorkerIdentity:
    """Return what a worker announces of itself.

    Raises:
        InvalidBodyError: a field is missing or wrong.
    """
    written = decode_object(body)
    capacity = written.get('capacity')
    if not isinstance(capacity, dict):
        raise InvalidBodyError('a worker has no capacity')
    state = _text(written, 'state')
    if state not in {'ready', 'draining'}:
        raise InvalidBodyError(f'a worker is {state!r}')
    labels = tuple(str(label) for label in _list(written, 'labels'))
    return WorkerIdentity(
        worker=worker,
        born_ms=_count(written, 'born'),
        service_name=_name(written, 'service'),
        data_centre=str(written.get('zone') or data_centre),
        # The rack is the label of this form; the others name the worker's kind.
        rack=next((each for each in labels if _is_rack(each)), ''),
        labels=labels,
        millicores=_count(capacity, 'cpu'),
        memory_mb=_count(capacity, 'mem_mb'),
        accelerators=_count(capacity, 'gpu'),
        is_leaving=state == 'draining',
        sequence=_count(written, 'seq'),
    )


def decode_listing(body: bytes) -> Listing:
    """Return what a worker lists of its runs.

    Raises:
        InvalidBodyError: a field is missing or wrong.
    """
    written = decode_object(body)
    try:
        return Listing(
            born_ms=_count(written, 'born'),
            clock_ms=_count(written, 'clock_ms'),
            running=[_decode_running(row) for row in _list(written, 'running')],
            ended=[_decode_ended(row) for row in _list(written, 'ended')],
        )
    except (TypeError, ValueError, IndexError, KeyError) as error:
        raise InvalidBodyError(f'a row is wrong: {error!r}') from error


def _decode_running(row: list[Any]) -> RunningRow:
    return RunningRow(
        task=str(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2]),
        percent=int(row[3]),
        figure=float(row[4]) if len(row) > 4 else 0.0,
    )


def _decode_ended(row: list[Any]) -> EndedRow:
    return EndedRow(
        number=int(row[0]),
        task=str(row[1]),
        run=int(row[2]),
        ending=_ENDINGS[row[3]],
        checkpoint=str(row[4]),
    )


def _decode_step(number: int, written: Any) -> Step:
    if not isinstance(written, dict):
        raise InvalidBodyError(f'step {number} is no object')
    after = [_whole(earlier) for earlier in _list(written, 'after')]
    if any(earlier < 0 or earlier >= number for earlier in after):
        raise InvalidBodyError(f'step {number} waits for itself or a later one')
    step = Step(
        tasks=_count(written, 'count'),
        millicores=_count(written, 'cpu'),
        memory_mb=_count(written, 'mem_mb'),
        accelerators=_count(written, 'gpu'),
        estimate_ms=_count(written, 'est_ms'),
        after=after,
        checkpoints=_flag(written, 'checkpoint'),
        gang=_flag(written, 'gang'),
        same_rack=_flag(written, 'same_rack'),
        required_label=_text(written, 'requires'),
        # The rack where the task's data lies.
        preferred_rack=_text(written, 'affinity'),
        max_per_worker=_count(written, 'max_per_server'),
        speculative=_flag(written, 'speculative'),
        lasting=_flag(written, 'long_running'),
        image=_text(written, 'image'),
        tail_goal_ms=_count(written, 'goal_ms'),
        fills=_flag(written, 'fills'),
        max_unavailable=_count(written, 'max_unavailable'),
    )
    if step.tasks < 1:
        raise InvalidBodyError(f'step {number} has no tasks')
    return step


def _decode_queue(written: Any) -> Queue:
    if not isinstance(written, dict):
        raise InvalidBodyError('a queue is no object')
    timeout_ms = _count(written, 'timeout_ms')
    if not timeout_ms:
        raise InvalidBodyError('a queue has no timeout')
    return Queue(
        name=_name(written, 'name'),
        host=_name(written, 'host'),
        prefix=_name(written, 'prefix'),
        timeout_ms=timeout_ms,
        terms=Terms(
            service_name=_name(written, 'service'),
            priority=_count(written, 'priority'),
            attempts=max(_count(written, 'attempts'), 1),
            stretch=_number(written, 'stretch') or DEFAULT_STRETCH,
            # The time granted beside the chain of work.
            slack_ms=_count(written, 'slo_ms'),
        ),
    )


def _is_rack(label: str) -> bool:
    return label.startswith(_RACK_PREFIX) and '-' in label


def _list(written: Any, key: str) -> list[Any]:
    found = written.get(key, []) if isinstance(written, dict) else None
    if not isinstance(found, list):
        raise InvalidBodyError(f'{key} is no list')
    return found


def _text(written: dict[str, Any], key: str) -> str:
    found = written.get(key, '')
    if not isinstance(found, str):
        raise InvalidBodyError(f'{key} is no text')
    return found


def _name(written: Any, key: str) -> str:
    if not isinstance(written, dict):
        raise InvalidBodyError('an entry is no object')
    found = _text(written, key)
    if not found:
        raise InvalidBodyError(f'{key} is missing')
    return found


def _flag(written: dict[str, Any], key: str) -> bool:
    found = written.get(key, False)
    if not isinstance(found, bool):
        raise InvalidBodyError(f'{key} is neither true nor false')
    return found


def _count(written: dict[str, Any], key: str) -> int:
    return _whole(written.get(key, 0))


def _whole(found: Any) -> int:
    if isinstance(found, bool) or not isinstance(found, int):
        raise InvalidBodyError(f'{found!r} is no whole number')
    if found < 0:
        raise InvalidBodyError(f'{found!r} is negative')
    return found


def _number(written: dict[str, Any], key: str) -> float:
    found = written.get(key, 0)
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise InvalidBodyError(f'{key} is no number')
    return float(found)
