"""Decoding of the queues that the platform's operators configure."""

from typing import Any

from wasabiturn.messages.batch import ClientLimits, Queue, Routing, Terms
from wasabiturn.platform.fields import (
    MAX_EXACT,
    InvalidBodyError,
    decode_object,
    read_float,
    read_int,
    read_list,
    read_required_str,
)

DEFAULT_STRETCH = 2.0


def decode_routing(body: bytes) -> Routing:
    """Return the configuration of an operator once it has been checked.

    Raises:
        InvalidBodyError: a field is missing or invalid, a queue names a service
            that is not declared, two queues share host and prefix, or a queue
            has no timeout.
    """
    fields = decode_object(body)
    services = {
        read_required_str(service, 'name')
        for service in read_list(fields, 'services')
    }
    _check_queues(_decode_queues(fields), services)
    if not isinstance(fields.get('limits'), dict):
        raise InvalidBodyError('there are no limits')
    version = read_int(fields, 'version', MAX_EXACT)
    if version < 1:
        raise InvalidBodyError('there is no version')
    return Routing(version=version, document=body)


def read_queues(document: bytes) -> list[Queue]:
    """Return the queues that a checked configuration declares."""
    return _decode_queues(decode_object(document))


def read_client_limits(document: bytes) -> ClientLimits:
    """Return the limits on callers that a checked configuration sets.

    A limit that is no whole number counts as not set, since earlier versions
    have stored such configurations.
    """
    limits = decode_object(document).get('limits')
    fields = limits if isinstance(limits, dict) else {}
    return ClientLimits(
        max_head_bytes=_read_limit(fields, 'max_header_bytes'),
        max_body_bytes=_read_limit(fields, 'max_body_bytes'),
        head_timeout_ms=_read_limit(fields, 'header_timeout_ms'),
        idle_timeout_ms=_read_limit(fields, 'idle_timeout_ms'),
    )


def _read_limit(fields: dict[str, Any], key: str) -> int:
    try:
        return read_int(fields, key)
    except InvalidBodyError:
        return 0


def _decode_queues(fields: dict[str, Any]) -> list[Queue]:
    return [_decode_queue(queue) for queue in read_list(fields, 'routes')]


def _check_queues(queues: list[Queue], services: set[str]) -> None:
    places = {(queue.host, queue.prefix) for queue in queues}
    if len(places) < len(queues):
        raise InvalidBodyError('two queues share host and prefix')
    for queue in queues:
        if queue.terms.service_name not in services:
            raise InvalidBodyError(f'{queue.name} names an unknown service')


def _decode_queue(fields: Any) -> Queue:
    if not isinstance(fields, dict):
        raise InvalidBodyError('a queue is no object')
    timeout_ms = read_int(fields, 'timeout_ms')
    if not timeout_ms:
        raise InvalidBodyError('a queue has no timeout')
    return Queue(
        name=read_required_str(fields, 'name'),
        host=read_required_str(fields, 'host'),
        prefix=read_required_str(fields, 'prefix'),
        timeout_ms=timeout_ms,
        terms=Terms(
            service_name=read_required_str(fields, 'service'),
            priority=read_int(fields, 'priority'),
            attempts=max(read_int(fields, 'attempts'), 1),
            stretch=read_float(fields, 'stretch') or DEFAULT_STRETCH,
            # Time allowed in addition to the chain of dependent steps.
            slack_ms=read_int(fields, 'slo_ms'),
        ),
    )
