"""HTTP endpoint on which backend servers announce themselves."""

import ipaddress
import json
import re
from collections.abc import Callable
from typing import Any, cast, final

from twisted.web.http import BAD_REQUEST, NO_CONTENT
from twisted.web.resource import NoResource, Resource
from twisted.web.server import Request, Site

from wasabiturn.connection.endpoint import parse_endpoint
from wasabiturn.exceptions import ProcessError
from wasabiturn.messages.session import BackendRecord
from wasabiturn.utils.json_text import read_json

# A backend server that has not announced itself for this long gets no work.
ANNOUNCEMENT_EXPIRY_SECONDS = 3.0
MAX_ANNOUNCEMENT_BYTES = 16384
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_PORT = 65535
NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')


class AnnouncementError(ProcessError):
    """A field of an announcement is missing or invalid."""

    def __init__(self, field: str, text: str) -> None:
        """Create the error for ``field``; empty if the body is invalid."""
        super().__init__(f'{field}: {text}')
        self.field = field
        self.text = text


def parse_announcement(content: bytes) -> BackendRecord:
    """Parse the JSON body of an announcement.

    Raises:
        AnnouncementError: the body is not a JSON object, or a field is
            missing or invalid.
    """
    try:
        fields = read_json(content)
    except ValueError as error:
        raise AnnouncementError('', f'body is not JSON: {error}') from error
    if not isinstance(fields, dict):
        raise AnnouncementError('', 'body is not an object')
    return BackendRecord(
        service_name=_parse_name(fields, 'service'),
        address=_parse_address(fields),
        slots=_parse_count(fields, 'slots', MAX_SLOTS),
        connections=_parse_count(fields, 'connections', MAX_CONNECTIONS),
        incarnation=_parse_name(fields, 'incarnation'),
        leaving=_parse_flag(fields, 'leaving'),
    )


def create_announcement_site(
    announce: Callable[[BackendRecord], None],
) -> Site:
    """Create the site that passes announcements to ``announce``."""
    root: Any = Resource()
    version: Any = Resource()
    root.putChild(b'v1', version)
    version.putChild(b'backend-server', _AnnouncementResource(announce))
    site = Site(root)
    site.noisy = False
    site.displayTracebacks = False
    return site


@final
class _AnnouncementResource(Resource):
    """Handle ``PUT /v1/backend-server``."""

    isLeaf = True  # noqa: N815 - name required by Twisted
    allowedMethods = (b'PUT',)  # noqa: N815 - name required by Twisted

    def __init__(self, announce: Callable[[BackendRecord], None]) -> None:
        super().__init__()
        self._announce = announce

    def render_PUT(self, request: Request) -> bytes:
        """Accept one announcement; 204, or 400 with the invalid field."""
        content = cast(Any, request.content).read(MAX_ANNOUNCEMENT_BYTES + 1)
        if request.postpath:
            return NoResource().render(request)
        try:
            record = _parse_bounded(content)
        except AnnouncementError as error:
            return _render_error(request, error)
        self._announce(record)
        request.setResponseCode(NO_CONTENT)
        return b''


def _parse_bounded(content: bytes) -> BackendRecord:
    if len(content) > MAX_ANNOUNCEMENT_BYTES:
        limit = f'body is over {MAX_ANNOUNCEMENT_BYTES} bytes'
        raise AnnouncementError('', limit)
    return parse_announcement(content)


def _render_error(request: Request, error: AnnouncementError) -> bytes:
    request.setResponseCode(BAD_REQUEST)
    request.setHeader(b'content-type', b'application/json')
    described = {
        'code': 'invalid',
        'message': error.text,
        'field': error.field,
    }
    return json.dumps({'error': described}).encode()


def _parse_name(fields: dict[str, Any], key: str) -> str:
    name = fields.get(key)
    if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
        raise AnnouncementError(
            key,
            'expected 1 to 128 letters, digits, dots, dashes or underscores',
        )
    return name


def _parse_address(fields: dict[str, Any]) -> str:
    address = fields.get('address')
    if not isinstance(address, str):
        raise AnnouncementError('address', 'expected a text ip:port')
    try:
        endpoint = parse_endpoint(address)
        ipaddress.ip_address(endpoint.host)
    except ValueError as error:
        raise AnnouncementError(
            'address', f'expected ip:port: {error}'
        ) from error
    if not 1 <= endpoint.port <= MAX_PORT:
        raise AnnouncementError('address', 'expected a port from 1 to 65535')
    return str(endpoint)


def _parse_count(fields: dict[str, Any], key: str, limit: int) -> int:
    number = fields.get(key)
    is_flag = isinstance(number, bool)
    if isinstance(number, int) and not is_flag and 1 <= number <= limit:
        return number
    text = f'expected a whole number from 1 to {limit}'
    raise AnnouncementError(key, text)


def _parse_flag(fields: dict[str, Any], key: str) -> bool:
    flag = fields.get(key, False)
    if not isinstance(flag, bool):
        raise AnnouncementError(key, 'expected true or false')
    return flag
