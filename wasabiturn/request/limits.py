"""Limits on the requests that one entry has in flight."""

import math
from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.ids import ServiceName
from wasabiturn.request.refusal import Refusal, refuse_not_run

CONFIGURATION_NAME = 'requests'
SERVICE_LIMIT_KEY = 'service_limit'
CALLER_LIMIT_KEY = 'caller_limit'
# A caller's requests in flight at a service may not exceed this many times the
# free part of the service's limit.
DYNAMIC_THRESHOLD_FACTOR = 8
RETRY_AFTER_SECONDS = 1


@final
@attrs.frozen
class Limits:
    """Limits in force; the empty name holds the default of each mapping."""

    limits_by_service: Mapping[str, int] = attrs.field(factory=dict)
    limits_by_caller: Mapping[str, int] = attrs.field(factory=dict)


@final
@attrs.define
class InFlight:
    """Requests in flight at one entry."""

    count_by_service: Counter[ServiceName] = attrs.field(factory=Counter)
    count_by_caller: Counter[str] = attrs.field(factory=Counter)
    count_by_service_and_caller: Counter[tuple[ServiceName, str]] = attrs.field(
        factory=Counter,
    )


def read_limits(settings: Mapping[str, str]) -> Limits:
    """Read the limits of a configuration; ignore malformed ones.

    ``service_limit`` and ``caller_limit`` are the defaults;
    ``service_limit.NAME`` and ``caller_limit.NAME`` override them.
    """
    return Limits(
        limits_by_service=_read_limits_of(settings, SERVICE_LIMIT_KEY),
        limits_by_caller=_read_limits_of(settings, CALLER_LIMIT_KEY),
    )


def check_limits(settings: Mapping[str, str]) -> Result[None, str]:
    """Validate the limits of a configuration written by an operator."""
    for setting, text in settings.items():
        if setting.partition('.')[0] not in {
            SERVICE_LIMIT_KEY,
            CALLER_LIMIT_KEY,
        }:
            return Error(f'{setting}: not a setting of requests')
        if not text.isascii() or not text.isdigit():
            return Error(f'{setting}: {text!r} is not a whole number')
    return Ok(None)


def admit(
    in_flight: InFlight,
    limits: Limits,
    service_name: ServiceName,
    caller: str,
) -> Result[None, Refusal]:
    """Admit a request and count it as in flight, or refuse it.

    The limit of each caller is proportional to the free part of the
    service's limit and shrinks as the service fills up. A new caller is
    therefore admitted however many requests another one sends.
    """
    caller_limit = _find_limit(limits.limits_by_caller, caller)
    if in_flight.count_by_caller[caller] >= caller_limit:
        return Error(_refuse('the caller has too many requests in flight'))
    service_limit = _find_limit(limits.limits_by_service, service_name)
    remaining = service_limit - in_flight.count_by_service[service_name]
    in_use = in_flight.count_by_service_and_caller[service_name, caller]
    if remaining <= 0 or in_use >= remaining * DYNAMIC_THRESHOLD_FACTOR:
        return Error(_refuse('the service has too many requests in flight'))
    _add(in_flight, service_name, caller, 1)
    return Ok(None)


def release(
    in_flight: InFlight,
    service_name: ServiceName,
    caller: str,
) -> None:
    """Remove a request from the counts in flight."""
    _add(in_flight, service_name, caller, -1)


def _add(
    in_flight: InFlight,
    service_name: ServiceName,
    caller: str,
    change: int,
) -> None:
    in_flight.count_by_service[service_name] += change
    in_flight.count_by_caller[caller] += change
    in_flight.count_by_service_and_caller[service_name, caller] += change
    if in_flight.count_by_caller[caller] <= 0:
        in_flight.count_by_caller.pop(caller)
    if in_flight.count_by_service_and_caller[service_name, caller] <= 0:
        in_flight.count_by_service_and_caller.pop((service_name, caller))


def _find_limit(limits_by_name: Mapping[str, int], name: str) -> float:
    default = limits_by_name.get('', math.inf)
    return limits_by_name.get(name, default)


def _read_limits_of(settings: Mapping[str, str], key: str) -> dict[str, int]:
    limits_by_name = {}
    for setting, text in settings.items():
        kind, _, name = setting.partition('.')
        if kind == key and text.strip().isdecimal():
            limits_by_name[name] = int(text)
    return limits_by_name


def _refuse(reason: str) -> Refusal:
    return refuse_not_run(
        HTTPStatus.TOO_MANY_REQUESTS,
        reason,
        RETRY_AFTER_SECONDS,
    )
