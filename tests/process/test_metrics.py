"""Metrics as a statsd server receives them."""

import socket

from wasabiturn.process.control.metrics import create_control_metrics
from wasabiturn.process.daemon import Context
from wasabiturn.utils.metrics import create_metrics


def test_statsd_receives_a_counter_and_a_timing() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(5)
        metrics = create_metrics(server.getsockname(), 'wasabiturn.entry-1')
        metrics.incr('requests.2xx')
        metrics.timing('requests.time', 12.5)
        received = {server.recv(512) for _ in range(4)} - {b''}
    assert received == {
        b'wasabiturn.entry-1.requests.2xx:1|c',
        b'wasabiturn.entry-1.requests.time:12.500000|ms',
    }


class RecordedMetrics:
    def __init__(self) -> None:
        self.gauges: dict[str, float] = {}
        self.counters: dict[str, int] = {}

    def incr(self, stat: str, count: int = 1) -> None:
        self.counters[stat] = self.counters.get(stat, 0) + count

    def gauge(self, stat: str, value: float) -> None:
        self.gauges[stat] = value

    def timing(self, stat: str, delta: float) -> None:
        raise AssertionError(stat)


def test_control_counts_commands_and_samples_tasks() -> None:
    from tests.process.group import Group
    from tests.process.network import Network
    from tests.version.resources import job, put

    group = Group(Network())
    metrics = RecordedMetrics()
    context = Context(settings=None, reactor=group.network, metrics=metrics)
    meters = create_control_metrics(context, group.replicas[0])
    meters.start()
    group.commit(put(job(2)))
    group.network.run(6)
    meters.close()
    assert metrics.counters == {'commands.applied': 1}
    assert metrics.gauges['tasks.waiting'] == 2
    assert metrics.gauges['control.revision'] == 3
