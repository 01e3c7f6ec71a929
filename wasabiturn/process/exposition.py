"""Metrics of one process in the Prometheus text format."""

from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import ClientGuard
from wasabiturn.connection.endpoint import Endpoint
from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.connection.http_site import HttpSite, SiteClients
from wasabiturn.connection.rejections import RejectionCause
from wasabiturn.process.daemon import listen

# From a commit on an idle system (5 ms) to the usual caller deadline (5 s).
BUCKETS_SECONDS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)

_OK = 200

registry = CollectorRegistry()

calls = Counter(
    'wasabiturn_calls',
    'Calls of callers and operators, by kind and status.',
    ('kind', 'status'),
    registry=registry,
)
call_seconds = Histogram(
    'wasabiturn_call_seconds',
    'Time until a call was answered.',
    ('kind',),
    buckets=BUCKETS_SECONDS,
    registry=registry,
)
runs = Counter(
    'wasabiturn_runs',
    'Runs of tasks, by what became of them.',
    ('event',),
    registry=registry,
)
start_orders = Counter(
    'wasabiturn_start_orders',
    'Orders to start a run that an agent sent, and what became of them.',
    ('event',),
    registry=registry,
)
given_up_runs = Counter(
    'wasabiturn_given_up_runs',
    'Runs that the leader declared lost, by reason.',
    ('reason',),
    registry=registry,
)
missed_offers = Counter(
    'wasabiturn_missed_offers',
    'Starts that were withdrawn, as no agent acknowledged their offer.',
    registry=registry,
)
bound_tasks = Counter(
    'wasabiturn_bound_tasks',
    'Tasks that start at one worker name only, as an order is open there.',
    ('event',),
    registry=registry,
)
idle_jobs = Gauge(
    'wasabiturn_idle_jobs',
    'Jobs with no run known to work for 3 s though tasks wait to start.',
    registry=registry,
)
suspects = Counter(
    'wasabiturn_suspects',
    'Runs that may have crashed their workers.',
    registry=registry,
)
given_up_tasks = Counter(
    'wasabiturn_given_up_tasks',
    'Tasks given up, and their jobs failed, for crashes of workers.',
    registry=registry,
)
refused_jobs = Counter(
    'wasabiturn_refused_jobs',
    'Jobs that were refused as the state has no room for them.',
    ('reason',),
    registry=registry,
)
rack_wait_seconds = Histogram(
    'wasabiturn_rack_wait_seconds',
    'Time for which tasks of a step waited for a rack, by outcome.',
    ('outcome',),
    buckets=BUCKETS_SECONDS,
    registry=registry,
)
group_gaps = Gauge(
    'wasabiturn_group_gap',
    '1 for what this process lacks to reach or form the control group.',
    ('missing',),
    registry=registry,
)
turns_left = Counter(
    'wasabiturn_turns_left',
    'Times that this member led, stood still and left the turn to others.',
    registry=registry,
)
commit_seconds = Histogram(
    'wasabiturn_commit_seconds',
    'Time until a change of the book was committed.',
    buckets=BUCKETS_SECONDS,
    registry=registry,
)
report_seconds = Histogram(
    'wasabiturn_report_seconds',
    'Time until the leader answered a report of an agent.',
    buckets=BUCKETS_SECONDS,
    registry=registry,
)

rejected_clients = Counter(
    'wasabiturn_rejected_clients',
    'Connections closed and requests rejected for a limit, by cause and rank.',
    ('cause', 'rank'),
    registry=registry,
)


unsent_messages = Counter(
    'wasabiturn_unsent_messages',
    'Calls and notices not sent, as their link keeps too much unsent.',
    registry=registry,
)


def count_rejection(cause: RejectionCause, rank: Rank) -> None:
    """Count a client that has met a limit."""
    rejected_clients.labels(cause.value, rank.name).inc()


def create_metrics_response(request: HttpRequest) -> HttpResponse:
    """Return the metrics of the registry, in Prometheus' text format."""
    return HttpResponse(
        status=_OK,
        body=generate_latest(registry),
        content_type='text/plain; version=0.0.4',
    )


def open_metrics_site(
    reactor: Any, endpoint: Endpoint, guard: ClientGuard
) -> Any:
    """Listen on ``endpoint``; the caller owns the returned port.

    Raises:
        ProcessError: the port cannot be used.
    """
    site = HttpSite(
        create_metrics_response, reactor, clients=SiteClients(guard)
    )
    return listen(reactor, endpoint, site, guard.bounds.backlog)
