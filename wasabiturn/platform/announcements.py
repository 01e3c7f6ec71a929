"""HTTP of the worker beside an agent: announcements and farewells."""

from typing import final

import attrs
from twisted.web.server import Request

from wasabiturn.platform.http_server import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    Reply,
    method_of,
    path_of,
)
from wasabiturn.platform.workers import decode_identity
from wasabiturn.process.agent.runs import RunReconciler
from wasabiturn.utils.logs import create_part_log

_ANNOUNCE_PREFIX = '/api/Instances.Heartbeat/'
_LEAVE_PREFIX = '/api/Instances.Deregister/'

_log = create_part_log('announcements')


@final
@attrs.frozen
class AnnouncementDesk:
    """Hands what the worker says of itself to the keeper of its runs."""

    keeper: RunReconciler
    data_centre: str

    def handle(self, request: Request, body: bytes) -> Reply:
        """Handle one request."""
        path = path_of(request)
        if method_of(request) != 'POST':
            return Reply(status=BAD_REQUEST)
        if path.startswith(_LEAVE_PREFIX):
            _log.event('worker ends', worker=path.removeprefix(_LEAVE_PREFIX))
            return Reply(status=OK)
        if not path.startswith(_ANNOUNCE_PREFIX):
            return Reply(status=NOT_FOUND)
        worker = path.removeprefix(_ANNOUNCE_PREFIX)
        self.keeper.announce(decode_identity(worker, body, self.data_centre))
        return Reply(status=OK)
