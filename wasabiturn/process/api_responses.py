"""HTTP responses of the operators' API."""

import json
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.messages.session import ApiResponse
from wasabiturn.messages.state import Header

OUTCOME_HEADER = 'Wasabiturn-Outcome'
REQUEST_ID_HEADER = 'Request-Id'
RETRY_AFTER_SECONDS = '1'

_CODES_BY_STATUS = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: 'malformed',
        HTTPStatus.UNAUTHORIZED: 'unauthorized',
        HTTPStatus.FORBIDDEN: 'forbidden',
        HTTPStatus.NOT_FOUND: 'not_found',
        HTTPStatus.METHOD_NOT_ALLOWED: 'method_not_allowed',
        HTTPStatus.CONFLICT: 'conflict',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: 'too_large',
        HTTPStatus.UNPROCESSABLE_ENTITY: 'invalid',
        HTTPStatus.INTERNAL_SERVER_ERROR: 'internal',
        HTTPStatus.SERVICE_UNAVAILABLE: 'unavailable',
    },
)


def create_response(
    status: int,
    content: dict[str, Any],
    headers: list[Header] | None = None,
) -> ApiResponse:
    """Create a response with ``content`` as its JSON body."""
    body = json.dumps(content, separators=(',', ':'))
    content_type = Header('Content-Type', 'application/json')
    return ApiResponse(
        status=status,
        headers=[content_type, *(headers or [])],
        body=f'{body}\n'.encode(),
    )


def create_error_response(
    status: int,
    message: str,
    field: str = '',
    code: str = '',
    **extra_fields: Any,
) -> ApiResponse:
    """Create an error response.

    ``extra_fields`` are added to the body next to ``error``.
    """
    error = {
        'code': code or _CODES_BY_STATUS[HTTPStatus(status)],
        'message': message,
        'field': field,
    }
    return create_response(status, {'error': error, **extra_fields})


def create_unavailable_response(
    error: CallError, is_write: bool
) -> ApiResponse:
    """Create the response to a request that got no reply from control.

    The outcome is ``not-run`` if the request certainly changed nothing, and
    ``unknown`` if a write may have run.
    """
    may_have_run = is_write and error.code is not FailureCode.unavailable
    outcome = 'unknown' if may_have_run else 'not-run'
    message = error.text
    if may_have_run:
        message = f'{message}; send it again with the same Request-Id'
    response = create_error_response(
        HTTPStatus.SERVICE_UNAVAILABLE, message, outcome=outcome
    )
    response.headers.append(Header('Retry-After', RETRY_AFTER_SECONDS))
    response.headers.append(Header(OUTCOME_HEADER, outcome))
    return response
