"""Resources outside the replicated log: workers and backend servers.

They are soft state from the directory of agents and have no revision.
"""

from collections.abc import Iterator
from typing import Any

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.session import AgentRecord, BackendRecord
from wasabiturn.process.control.directory import Directory
from wasabiturn.version.resources import ROUTES_BY_KIND

SOFT_KINDS = frozenset((Kind.worker, Kind.backend_server))


def render_soft_resources(
    kind: Kind,
    directory: Directory,
) -> list[dict[str, Any]]:
    """Return the workers or backend servers in the directory, for JSON."""
    if kind is Kind.worker:
        return [_render_worker(record) for record in directory.records()]
    return [
        _render_backend(record, backend)
        for record, backend in _iterate_backends(directory)
    ]


def _iterate_backends(
    directory: Directory,
) -> Iterator[tuple[AgentRecord, BackendRecord]]:
    for record in directory.records():
        for backend in record.backends:
            yield record, backend


def _render_worker(record: AgentRecord) -> dict[str, Any]:
    spec = {
        'data_centre': record.data_centre,
        'rack': record.rack,
        'region': record.region,
        'agent_address': record.address,
        'incarnation': record.incarnation,
        'leaving': record.leaving,
        'backend_servers': len(record.backends),
    }
    return _render(Kind.worker, record.name, spec)


def _render_backend(
    record: AgentRecord,
    backend: BackendRecord,
) -> dict[str, Any]:
    spec = {
        'service': backend.service_name,
        'agent': record.name,
        'data_centre': record.data_centre,
        'address': backend.address,
        'slots': backend.slots,
        'connections': backend.connections,
        'leaving': backend.leaving or record.leaving,
    }
    name = f'{backend.service_name}@{record.name}'
    return _render(Kind.backend_server, name, spec)


def _render(kind: Kind, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {'kind': ROUTES_BY_KIND[kind], 'name': name, 'spec': spec}
