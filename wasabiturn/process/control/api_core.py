"""Request handling of the operators' API; only the leader reads and writes."""

from collections.abc import Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, final

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure as TwistedFailure

from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.kinds import Kind, Method, OutcomeCode
from wasabiturn.messages.session import ApiRequest, ApiResponse
from wasabiturn.messages.state import (
    Command,
    DeleteResource,
    Header,
    Outcome,
    PutResource,
    Resource,
)
from wasabiturn.process.api_responses import (
    create_error_response,
    create_response,
)
from wasabiturn.process.control.api_routes import (
    Action,
    Route,
    RouteError,
    check_operator,
    find_route,
    get_actor_team,
    parse_if_match,
)
from wasabiturn.process.control.directory import Directory
from wasabiturn.process.control.pages import create_page
from wasabiturn.process.control.settlement import (
    create_settlement,
    find_task,
    parse_settlement,
)
from wasabiturn.process.control.soft_resources import (
    SOFT_KINDS,
    render_soft_resources,
)
from wasabiturn.process.control.submission import read_barrier, submit
from wasabiturn.process.control.tokens import Operator, Tokens
from wasabiturn.version.replica import Replica
from wasabiturn.version.resources import (
    FieldError,
    MalformedError,
    parse_json,
    parse_resource,
    render_resource,
)
from wasabiturn.version.task_plans import OWNER_KINDS

_STATUS_BY_CODE = MappingProxyType(
    {
        OutcomeCode.conflict: HTTPStatus.CONFLICT,
        OutcomeCode.not_found: HTTPStatus.NOT_FOUND,
        OutcomeCode.invalid: HTTPStatus.UNPROCESSABLE_ENTITY,
        OutcomeCode.quota: HTTPStatus.UNPROCESSABLE_ENTITY,
        OutcomeCode.forbidden: HTTPStatus.FORBIDDEN,
    }
)


@final
class ApiCore:
    """Serve requests of operators from the replicated state."""

    def __init__(
        self,
        replica: Replica,
        directory: Directory,
        tokens: Tokens,
    ) -> None:
        """Create the request handlers of one member."""
        self._replica = replica
        self._directory = directory
        self._tokens = tokens
        self._handlers: dict[Action, Callable[..., Any]] = {
            Action.read: self._read,
            Action.put: self._put,
            Action.delete: self._delete,
            Action.settle: self._settle,
            Action.status: self._show_status,
        }

    def serve(self, request: ApiRequest) -> Deferred[ApiResponse]:
        """Return the response to ``request``.

        Fails with ``CallError``: ``not_leader`` or ``outcome_unknown``.
        """
        response = maybeDeferred(self._dispatch, request)
        return response.addErrback(_create_error_response)

    def _dispatch(self, request: ApiRequest) -> Any:
        route = find_route(request)
        identified = self._tokens.identify(request.authorization)
        operator = check_operator(route, identified)
        return self._handlers[route.action](request, route, operator)

    def _show_status(
        self,
        request: ApiRequest,
        route: Route,
        operator: Operator,
    ) -> ApiResponse:
        return create_response(HTTPStatus.OK, describe_member(self._replica))

    def _read(
        self,
        request: ApiRequest,
        route: Route,
        operator: Operator,
    ) -> Deferred[ApiResponse]:
        return read_barrier(self._replica).addCallback(
            lambda _: self._render(route, request.after),
        )

    def _put(
        self,
        request: ApiRequest,
        route: Route,
        operator: Operator,
    ) -> Deferred[ApiResponse]:
        document = parse_json(request.body)
        if route.kind in OWNER_KINDS and not document.get('team'):
            document['team'] = operator.team
        body = PutResource(
            resource=parse_resource(route.kind, route.name, document),
            expected_revision=parse_if_match(request.if_match),
            actor_team=get_actor_team(operator),
        )
        command = Command(request_id=request.request_id, put=body)
        return submit(self._replica, command).addCallback(
            _create_outcome_response,
        )

    def _delete(
        self,
        request: ApiRequest,
        route: Route,
        operator: Operator,
    ) -> Deferred[ApiResponse]:
        body = DeleteResource(
            kind=route.kind,
            name=route.name,
            expected_revision=parse_if_match(request.if_match),
            actor_team=get_actor_team(operator),
        )
        command = Command(request_id=request.request_id, remove=body)
        return submit(self._replica, command).addCallback(
            _create_outcome_response,
        )

    def _settle(
        self,
        request: ApiRequest,
        route: Route,
        operator: Operator,
    ) -> Deferred[ApiResponse]:
        target_state = parse_settlement(request.body)

        def propose(_: None) -> Any:
            state = self._replica.state
            task = find_task(state, route.name, get_actor_team(operator))
            if request.request_id in state.outcomes_by_request_id:
                return _create_resource_response(task)
            command = create_settlement(task, target_state, request.request_id)
            return submit(self._replica, command).addCallback(
                lambda outcome: self._create_settlement_response(task, outcome),
            )

        return read_barrier(self._replica).addCallback(propose)

    def _create_settlement_response(
        self,
        task: Resource,
        outcome: Outcome,
    ) -> ApiResponse:
        tasks = self._replica.state.resources_by_kind[Kind.task]
        if outcome.codes != [OutcomeCode.ok]:
            return create_error_response(
                HTTPStatus.CONFLICT, 'the task has changed', field='state'
            )
        return _create_resource_response(tasks.get(task.name, task))

    def _render(self, route: Route, after: str) -> ApiResponse:
        if route.kind in SOFT_KINDS:
            return self._render_soft_resources(route)
        state = self._replica.state
        resources = state.resources_by_kind[route.kind]
        if not route.name:
            page = create_page(state.revision, resources.values(), after)
            return create_response(HTTPStatus.OK, page)
        found = resources.get(route.name)
        if found is None:
            return _create_not_found_response(route)
        return _create_resource_response(found)

    def _render_soft_resources(self, route: Route) -> ApiResponse:
        rendered = render_soft_resources(route.kind, self._directory)
        if not route.name:
            revision = self._replica.state.revision
            return create_response(
                HTTPStatus.OK,
                {'revision': revision, 'items': rendered, 'next': ''},
            )
        for each in rendered:
            if each['name'] == route.name:
                return create_response(HTTPStatus.OK, each)
        return _create_not_found_response(route)


def register_api(core: ApiCore, dispatch: Dispatch) -> None:
    """Register the API on ``dispatch`` for requests from HTTP servers."""
    dispatch.handle(
        Method.api,
        ApiRequest,
        lambda link, request: core.serve(request),
        drops_expired=True,
    )


def describe_member(replica: Replica) -> dict[str, Any]:
    """Return the content of ``GET /v1/status`` for this member."""
    member_status = replica.member_status()
    return {
        'member': replica.name,
        'role': member_status.role,
        'term': member_status.term,
        'leader': replica.leader(),
        'revision': replica.state.revision,
        'members': [
            {
                'member': each.member_id,
                'voter': each.voter,
                'lag': member_status.lag_by_id.get(each.member_id),
            }
            for each in member_status.members
        ],
    }


def _create_error_response(failure: TwistedFailure) -> ApiResponse:
    error: Any = failure.value
    if isinstance(error, RouteError):
        return create_error_response(error.status, error.message, error.field)
    if isinstance(error, FieldError):
        return create_error_response(
            HTTPStatus.UNPROCESSABLE_ENTITY, error.text, error.field
        )
    if isinstance(error, MalformedError):
        return create_error_response(HTTPStatus.BAD_REQUEST, str(error), 'body')
    failure.raiseException()
    raise AssertionError


def _create_not_found_response(route: Route) -> ApiResponse:
    text = f'there is no {route.kind.name} {route.name!r}'
    return create_error_response(HTTPStatus.NOT_FOUND, text, 'name')


def _create_outcome_response(outcome: Outcome) -> ApiResponse:
    resource = outcome.resource
    if outcome.code is OutcomeCode.ok and resource is not None:
        return _create_resource_response(resource)
    extra_fields = (
        {} if resource is None else {'resource': render_resource(resource)}
    )
    return create_error_response(
        _STATUS_BY_CODE.get(outcome.code, HTTPStatus.UNPROCESSABLE_ENTITY),
        outcome.text,
        outcome.field,
        code=outcome.code.name,
        **extra_fields,
    )


def _create_resource_response(resource: Resource) -> ApiResponse:
    etag = Header('ETag', f'"{resource.revision}"')
    return create_response(HTTPStatus.OK, render_resource(resource), [etag])
