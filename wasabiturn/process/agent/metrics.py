"""Metrics of the agent."""

from wasabiturn.process.agent.backends import Backends
from wasabiturn.process.daemon import Context
from wasabiturn.process.sampler import Sampler
from wasabiturn.utils.metrics import Metrics


def create_agent_metrics(context: Context, backends: Backends) -> Sampler:
    """Create a sampler that sends gauges of each local backend server."""

    def sample(sink: Metrics) -> None:
        for backend in backends.all_backends():
            report = backend.load_report()
            prefix = f'service.{report.service_name}'
            sink.gauge(f'{prefix}.running', report.running)
            sink.gauge(f'{prefix}.waiting', report.waiting)
            sink.gauge(f'{prefix}.slots', report.slots)
            sink.gauge(f'{prefix}.answered', backend.answered)
            sink.gauge(f'{prefix}.crashes', backend.crashes)
            sink.gauge(f'{prefix}.p95_ms', report.p95_ms)

    return Sampler(context, sample)
