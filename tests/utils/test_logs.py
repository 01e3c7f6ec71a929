"""Test the form of log lines."""

import io
import json

from wasabiturn.process.agent.runs.hold_log import HoldLog
from wasabiturn.utils.logs import create_component_log, open_log_output


def read_lines(stream: io.BytesIO, worker: str) -> list[dict[str, object]]:
    """Return the lines about a worker; those of other tests come first."""
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    return [line for line in lines if line.get('worker') == worker]


def test_lines_hold_no_field_that_tells_nothing() -> None:
    stream = io.BytesIO()
    output = open_log_output(stream, 'decision')  # type: ignore[arg-type]
    create_component_log('runs').event(
        'worker announced', worker='worker-in-log'
    )
    output.close()
    (line,) = read_lines(stream, 'worker-in-log')
    assert line.keys() == {'text', 'worker', 'timestamp', 'message_type'}


def test_holds_at_a_dead_worker_do_not_fill_the_log() -> None:
    stream = io.BytesIO()
    output = open_log_output(stream, 'decision')  # type: ignore[arg-type]
    hold_log = HoldLog()
    for _ in range(100):
        hold_log.record_failure('worker-in-log', 'refused')
    hold_log.record_answer('worker-in-log')
    hold_log.record_answer('worker-in-log')
    output.close()
    failed, answered = read_lines(stream, 'worker-in-log')
    assert failed['error'] == 'refused'
    assert answered['failed_holds'] == 100
