"""Routes of the operators' API and the roles that they require."""

import enum
from http import HTTPStatus
from typing import final

import attrs

from wasabiturn.messages.kinds import Kind
from wasabiturn.messages.session import ApiRequest
from wasabiturn.process.control.tokens import Operator, OperatorRole
from wasabiturn.version.resources import KINDS_BY_ROUTE

SETTLE = 'settle'
STATUS_PATH = '/v1/status'
ANY_REVISION = -1

_TEAM_KINDS = frozenset((Kind.service, Kind.job, Kind.task))
_WRITABLE_KINDS = frozenset(
    (
        Kind.service,
        Kind.job,
        Kind.data_centre,
        Kind.configuration,
        Kind.team,
    ),
)


@final
class Action(enum.Enum):
    """Action of a request: an HTTP method or a special operation."""

    read = 'GET'
    put = 'PUT'
    delete = 'DELETE'
    settle = SETTLE
    status = 'status'


@final
@attrs.frozen
class Route:
    """Action on all resources of a kind, or on one resource by name."""

    action: Action
    kind: Kind = Kind.none
    name: str = ''


@final
class RouteError(Exception):
    """Request that is rejected with an HTTP status and a message."""

    def __init__(self, status: int, message: str, field: str = '') -> None:
        """Create the error; ``field`` names the invalid part, if known."""
        super().__init__(message)
        self.status = status
        self.message = message
        self.field = field


def find_route(request: ApiRequest) -> Route:
    """Return the route of ``request``.

    Raises:
        RouteError: the path does not exist or does not allow the method.
    """
    if request.path == STATUS_PATH:
        return _find_status(request)
    parts = request.path.strip('/').split('/')
    kind = KINDS_BY_ROUTE.get(parts[1]) if len(parts) > 1 else None
    if kind is None or parts[0] != 'v1' or not all(parts):
        raise RouteError(
            HTTPStatus.NOT_FOUND, f'there is no path {request.path}'
        )
    if len(parts) == 2:
        return Route(_find_action(request, (Action.read,)), kind)
    if len(parts) == 3:
        return _find_resource_route(request, kind, parts[2])
    if kind is Kind.task and parts[3:] == [SETTLE] and request.method == 'PUT':
        return Route(Action.settle, kind, parts[2])
    raise RouteError(
        HTTPStatus.NOT_FOUND, f'there is no {request.method} {request.path}'
    )


def check_operator(route: Route, operator: Operator | None) -> Operator:
    """Return the operator if its role allows the route.

    Raises:
        RouteError: 401 without an operator, 403 if its role is not enough.
    """
    if operator is None:
        raise RouteError(
            HTTPStatus.UNAUTHORIZED, 'a known bearer token is needed'
        )
    if route.action in {Action.read, Action.status}:
        return operator
    if operator.role is OperatorRole.admin:
        return operator
    if operator.role is OperatorRole.member and route.kind in _TEAM_KINDS:
        return operator
    text = f'role {operator.role.value} may not write here'
    raise RouteError(HTTPStatus.FORBIDDEN, text)


def get_actor_team(operator: Operator) -> str:
    """Return the team that ``operator`` may write for; empty means any."""
    return '' if operator.role is OperatorRole.admin else operator.team


def parse_if_match(if_match: str) -> int:
    """Return the revision that the ``If-Match`` header of a write expects.

    Raises:
        RouteError: the header is not a revision.
    """
    text = if_match.strip().strip('"')
    if not text:
        return ANY_REVISION
    if not text.isascii() or not text.isdigit():
        raise RouteError(
            HTTPStatus.BAD_REQUEST, 'a revision is expected', field='If-Match'
        )
    return int(text)


def _find_status(request: ApiRequest) -> Route:
    _find_action(request, (Action.read,))
    return Route(Action.status)


def _find_resource_route(request: ApiRequest, kind: Kind, name: str) -> Route:
    if kind in _WRITABLE_KINDS:
        allowed = (Action.read, Action.put, Action.delete)
        return Route(_find_action(request, allowed), kind, name)
    return Route(_find_action(request, (Action.read,)), kind, name)


def _find_action(
    request: ApiRequest,
    allowed: tuple[Action, ...],
) -> Action:
    methods = [action.value for action in allowed]
    if request.method in methods:
        return Action(request.method)
    text = f'allowed are {", ".join(methods)}'
    raise RouteError(HTTPStatus.METHOD_NOT_ALLOWED, text, field='method')
