"""Parsing of the head of a caller's request."""

from http import HTTPStatus
from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.ids import RequestId, ServiceName
from wasabiturn.messages.state import Header
from wasabiturn.request.headers import find_value
from wasabiturn.request.idempotency import (
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    Idempotency,
    classify,
)
from wasabiturn.request.refusal import Refusal, refuse_not_run

TIMEOUT_HEADER = 'wasabiturn-timeout-ms'
CALLER_HEADER = 'wasabiturn-caller'
FORWARDED_HEADER = 'x-forwarded-for'
MAX_TIMEOUT_MS = 3_600_000
MAX_CALLER_LENGTH = 128

_MS_PER_SECOND = 1000


@final
@attrs.frozen
class RequestLine:
    """Method and target of a request, and the IP address of its sender."""

    method: str
    target: str
    peer: str


@final
@attrs.frozen
class InboundRequest:
    """A caller's request.

    ``path`` is sent to the backend server: it starts with a slash and
    includes the query. ``deadline`` is in seconds of reactor time.
    """

    request_id: RequestId
    service_name: ServiceName
    method: str
    path: str
    headers: list[Header]
    idempotency: Idempotency
    caller: str
    deadline: float


def read_inbound(
    request_id: RequestId,
    line: RequestLine,
    headers: list[Header],
    default_timeout_seconds: float,
    now: float,
) -> Result[InboundRequest, Refusal]:
    """Parse a request that arrived at ``now``; refuse a malformed one."""
    service_name, path = _split_target(line.target)
    if not service_name:
        return Error(
            refuse_not_run(
                HTTPStatus.BAD_REQUEST, 'the path is /{service}/{path}'
            )
        )
    timeout = _read_timeout(headers, default_timeout_seconds)
    if timeout is None:
        return Error(
            refuse_not_run(
                HTTPStatus.BAD_REQUEST, 'Wasabiturn-Timeout-Ms is 1 to 3600000'
            ),
        )
    classified = classify(
        line.method,
        find_value(headers, IDEMPOTENT_HEADER),
        find_value(headers, KEY_HEADER),
    )
    if classified.is_error():
        return Error(classified.error)
    return Ok(
        InboundRequest(
            request_id=request_id,
            service_name=service_name,
            method=line.method,
            path=path,
            headers=headers,
            idempotency=classified.ok,
            caller=_read_caller(headers, line.peer),
            deadline=now + timeout,
        ),
    )


def _split_target(target: str) -> tuple[ServiceName, str]:
    if not target.startswith('/'):
        return ServiceName(''), ''
    name, slash, path = target[1:].partition('/')
    name, question_mark, query = name.partition('?')
    if question_mark:
        return ServiceName(name), f'/?{query}{slash}{path}'
    return ServiceName(name), f'/{path}'


def _read_timeout(headers: list[Header], default: float) -> float | None:
    text = find_value(headers, TIMEOUT_HEADER)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()):
        return None
    timeout_ms = int(text[:10])
    if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
        return None
    return timeout_ms / _MS_PER_SECOND


def _read_caller(headers: list[Header], peer: str) -> str:
    caller_name = find_value(headers, CALLER_HEADER)
    if caller_name is None:
        forwarded = find_value(headers, FORWARDED_HEADER)
        caller_name = forwarded.partition(',')[0].strip() if forwarded else ''
    return (caller_name or peer)[:MAX_CALLER_LENGTH]
