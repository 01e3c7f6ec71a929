"""Answers of the operators' API."""

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
    """Create an answer with ``content`` as JSON."""
    body = json.dumps(content, separators=(',', ':'))
    content_type = Header('Content-Type', 'application/json')
    return ApiResponse(
        status=status,
        headers=[content_type, *(headers or [])],
        body=f'{body}\n'.encode(),
    )


def create_error(
    status: int,
    message: str,
    field: str = '',
    code: str = '',
    **beside: Any,
) -> ApiResponse:
    """Create an error; ``beside`` stands next to it in the answer."""
    error = {
        'code': code or _CODES_BY_STATUS[HTTPStatus(status)],
        'message': message,
        'field': field,
    }
    return create_response(status, {'error': error, **beside})


def create_unavailable(error: CallError, is_write: bool) -> ApiResponse:
    """Create the answer to a request that control did not answer.

    It says whether a write certainly did not run.
    """
    is_open = is_write and error.code is not FailureCode.unavailable
    outcome = 'unknown' if is_open else 'not-run'
    message = error.text
    if is_open:
        message = f'{message}; send it again with the same Request-Id'
    answer = create_error(
        HTTPStatus.SERVICE_UNAVAILABLE, message, outcome=outcome
    )
    answer.headers.append(Header('Retry-After', RETRY_AFTER_SECONDS))
    answer.headers.append(Header(OUTCOME_HEADER, outcome))
    return answer
