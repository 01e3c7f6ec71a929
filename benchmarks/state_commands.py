"""Measure CPU time and size of commands and snapshots, in one process.

Run as ``python -m benchmarks.state_commands``.
"""

import gc
import os
import sys
import time
import tracemalloc

import typer

from benchmarks.measurements import print_measurement
from wasabiturn.messages.codec import pack
from wasabiturn.messages.kinds import ClaimState, Kind
from wasabiturn.messages.state import (
    ClaimRequest,
    ClaimRequests,
    Command,
    ConfigurationSpec,
    JobSpec,
    PutResource,
    RecordAnswer,
    RecordAnswers,
    Resource,
    TaskTransition,
    UpdateTasks,
)
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.state import State, create_state

KB = 1024


def put_configuration(number: int) -> Command:
    """Create a command with a request ID that writes a configuration."""
    settings = {'weight': str(number), 'profile': 'letreria'}
    resource = Resource(
        kind=Kind.configuration,
        name=f'policy-{number % 50}',
        configuration_spec=ConfigurationSpec(settings=settings),
    )
    body = PutResource(resource=resource, expected_revision=-1)
    return Command(request_id=f'request-{number}', put=body)


def put_job(number: int, tasks: int) -> Command:
    """Create a command that declares a job."""
    resource = Resource(
        kind=Kind.job,
        name=f'job-{number}',
        team='default',
        job_spec=JobSpec(tasks=tasks, run_seconds=600, task_kind='render'),
    )
    return Command(put=PutResource(resource=resource, expected_revision=0))


def move_task(state: State, name: str) -> Command:
    """Create a transition of a task to its current state."""
    spec = state.resources_by_kind[Kind.task][name].task_spec
    assert spec is not None
    transition = TaskTransition(
        task=name,
        expected_attempt=spec.attempt,
        expected_state=spec.state,
        task_spec=spec,
    )
    return Command(update_tasks=UpdateTasks(transitions=[transition]))


def create_claim(number: int) -> Command:
    """Create a claim for a request with an idempotency key."""
    request = ClaimRequest(
        service_name='standdesk',
        key=f'booking-{number}',
        agent='agent-1',
        agent_incarnation='0123456789abcdef',
        entry='entry-1',
        claim_id=f'0123456789abcdef{number}',
        fingerprint='f' * 64,
    )
    return Command(claim=ClaimRequests(claims=[request]))


def create_record(number: int, body: bytes) -> Command:
    """Create a command that records the answer to a claimed request."""
    answer = RecordAnswer(
        service_name='standdesk',
        key=f'booking-{number}',
        claim_id=f'0123456789abcdef{number}',
        outcome=ClaimState.answered,
        status=200,
        body=body,
    )
    return Command(record=RecordAnswers(answers=[answer]))


def time_commands(title: str, state: State, commands: list[Command]) -> None:
    """Apply ``commands`` and print their CPU time and size."""
    gc.collect()
    started = time.process_time()
    effects = [apply_command(state, command) for command in commands]
    spent = time.process_time() - started
    packed = sum(len(pack(each)) for each in commands)
    print_measurement(
        f'apply {title}',
        commands=len(commands),
        changes=sum(len(effect.changes) for effect in effects),
        cpu_us_per_command=round(spent / len(commands) * 1e6, 1),
        bytes_per_command=round(packed / len(commands)),
    )


def time_snapshot(title: str, state: State, count: int) -> None:
    """Dump and load ``state``, and print the times and the size."""
    started = time.perf_counter()
    packed = dump_state(state)
    dumped = time.perf_counter()
    load_state(packed)
    loaded = time.perf_counter()
    print_measurement(
        f'snapshot {title}',
        count=count,
        bytes=len(packed),
        dump_ms=round((dumped - started) * 1e3, 1),
        load_ms=round((loaded - dumped) * 1e3, 1),
    )


def measure_commands() -> None:
    """Print the cost of each kind of command."""
    state = create_state()
    time_commands(
        'configuration with request id',
        state,
        [put_configuration(number) for number in range(5000)],
    )
    time_commands(
        'job of 10 tasks',
        state,
        [put_job(number, 10) for number in range(500)],
    )
    names = list(state.resources_by_kind[Kind.task])
    time_commands(
        'transition of a task',
        state,
        [move_task(state, name) for name in names],
    )
    time_commands(
        'claim', state, [create_claim(number) for number in range(5000)]
    )
    time_commands(
        'answer of 1 KB',
        state,
        [create_record(number, b'x' * KB) for number in range(5000)],
    )


def measure_snapshots() -> None:
    """Print the cost of snapshots by size."""
    for count in (0, 5000, 10_000, 20_000):
        state = create_state()
        for number in range(count // 10):
            apply_command(state, put_job(number, 10))
        time_snapshot('tasks', state, count)
    for count in (5000, 20_000, 100_000):
        tracemalloc.start()
        state = create_state()
        for number in range(count):
            apply_command(state, create_claim(number))
            apply_command(state, create_record(number, b'x' * 200))
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print_measurement(
            'memory of claims', count=count, bytes_each=held_bytes // count
        )
        time_snapshot('claims answered with 200 bytes', state, count)


def main() -> None:
    """Print one JSON line for each measurement."""
    print_measurement(
        'machine', cpus=os.cpu_count(), python=sys.version.split()[0]
    )
    measure_commands()
    measure_snapshots()


if __name__ == '__main__':
    typer.run(main)
