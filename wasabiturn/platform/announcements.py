"""HTTP requests of a worker to its agent: announce and deregister."""

from typing import final

import attrs

from wasabiturn.connection.http_messages import HttpRequest
from wasabiturn.platform.announced_fields import (
    DEFAULT_WORKER_LIMITS,
    MAX_ID_LENGTH,
    WorkerLimits,
)
from wasabiturn.platform.http_server import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    Response,
)
from wasabiturn.platform.workers import decode_identity
from wasabiturn.process.agent.runs import RunReconciler
from wasabiturn.utils.logs import create_component_log

_ANNOUNCE_PREFIX = '/api/Instances.Heartbeat/'
_DEREGISTER_PREFIX = '/api/Instances.Deregister/'

_log = create_component_log('announcements')


@final
@attrs.frozen
class AnnouncementHandler:
    """Passes the announcements of the worker to the agent's run manager."""

    run_reconciler: RunReconciler
    data_centre: str
    limits: WorkerLimits = DEFAULT_WORKER_LIMITS

    def handle(self, request: HttpRequest) -> Response:
        """Handle one request."""
        path = request.path
        if request.method != 'POST':
            return Response(status=BAD_REQUEST)
        if path.startswith(_DEREGISTER_PREFIX):
            _log.event(
                'worker deregistered',
                worker=path.removeprefix(_DEREGISTER_PREFIX)[:MAX_ID_LENGTH],
            )
            return Response(status=OK)
        if not path.startswith(_ANNOUNCE_PREFIX):
            return Response(status=NOT_FOUND)
        worker = path.removeprefix(_ANNOUNCE_PREFIX)
        self.run_reconciler.announce(
            decode_identity(worker, request.body, self.data_centre, self.limits)
        )
        return Response(status=OK)
