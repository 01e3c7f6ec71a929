"""Metrics of a control instance."""

from collections import Counter

from wasabiturn.messages.kinds import Kind, OutcomeCode, TaskState
from wasabiturn.process.daemon import Context
from wasabiturn.process.sampler import Sampler
from wasabiturn.utils.metrics import Metrics
from wasabiturn.version.replica import AppliedCommand, Replica


def create_control_metrics(context: Context, replica: Replica) -> Sampler:
    """Create the counter of applied commands and gauges of state and role."""
    metrics = context.metrics

    def count(applied: AppliedCommand) -> None:
        metrics.incr('commands.applied')
        if applied.outcome.code is not OutcomeCode.ok:
            metrics.incr(f'commands.refused.{applied.outcome.code.name}')

    def sample(sink: Metrics) -> None:
        now = context.reactor.seconds()
        sink.gauge('control.leads', int(replica.holds_lease(now)))
        sink.gauge('control.fresh', int(replica.is_fresh(now)))
        sink.gauge('control.revision', replica.state.revision)
        _sample_tasks(sink, replica)

    replica.on_applied.append(count)
    return Sampler(context, sample)


def _sample_tasks(sink: Metrics, replica: Replica) -> None:
    count_by_state: Counter[TaskState] = Counter()
    evictions = 0
    crashes = 0
    for task in replica.state.resources_by_kind[Kind.task].values():
        if task.task_spec is not None:
            count_by_state[task.task_spec.state] += 1
            evictions += task.task_spec.evictions
            crashes += len(task.task_spec.crashed_workers)
    for state in TaskState:
        sink.gauge(f'tasks.{state.name}', count_by_state[state])
    sink.gauge('tasks.evictions', evictions)
    sink.gauge('tasks.crashes', crashes)
