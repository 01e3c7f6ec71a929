"""Queues as the platform's operators declare them."""

from typing import Any

from wasabiturn.messages.batch import Queue, Routing, Terms
from wasabiturn.platform.fields import (
    InvalidBodyError,
    decode_object,
    read_count,
    read_list,
    read_name,
    read_number,
)

DEFAULT_STRETCH = 2.0


def decode_routing(body: bytes) -> Routing:
    """Return the queues that an operator declares.

    Raises:
        InvalidBodyError: it cannot be read in full, a queue names a service
            that is not declared, two queues share a place, or a queue has no
            timeout.
    """
    written = decode_object(body)
    services = {
        read_name(service, 'name') for service in read_list(written, 'services')
    }
    queues = [_decode_queue(queue) for queue in read_list(written, 'routes')]
    _check_queues(queues, services)
    if not isinstance(written.get('limits'), dict):
        raise InvalidBodyError('there are no limits')
    version = read_count(written, 'version')
    if version < 1:
        raise InvalidBodyError('there is no version')
    return Routing(version=version, queues=queues, document=body)


def _check_queues(queues: list[Queue], services: set[str]) -> None:
    places = {(queue.host, queue.prefix) for queue in queues}
    if len(places) < len(queues):
        raise InvalidBodyError('two queues share host and prefix')
    for queue in queues:
        if queue.terms.service_name not in services:
            raise InvalidBodyError(f'{queue.name} names an unknown service')


def _decode_queue(written: Any) -> Queue:
    if not isinstance(written, dict):
        raise InvalidBodyError('a queue is no object')
    timeout_ms = read_count(written, 'timeout_ms')
    if not timeout_ms:
        raise InvalidBodyError('a queue has no timeout')
    return Queue(
        name=read_name(written, 'name'),
        host=read_name(written, 'host'),
        prefix=read_name(written, 'prefix'),
        timeout_ms=timeout_ms,
        terms=Terms(
            service_name=read_name(written, 'service'),
            priority=read_count(written, 'priority'),
            attempts=max(read_count(written, 'attempts'), 1),
            stretch=read_number(written, 'stretch') or DEFAULT_STRETCH,
            # The time granted beside the chain of work.
            slack_ms=read_count(written, 'slo_ms'),
        ),
    )
