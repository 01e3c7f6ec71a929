"""Limits in an operator's configuration."""

import json
from typing import Any

import pytest

from benchmarks.platform_soak.settings import create_routing
from wasabiturn.messages.batch import ClientLimits
from wasabiturn.platform.fields import InvalidBodyError, decode_object
from wasabiturn.platform.routing import decode_routing, read_client_limits


def read(limits: Any) -> ClientLimits:
    routing = create_routing(1) | {'limits': limits}
    document = json.dumps(routing).encode()
    return read_client_limits(decode_routing(document).document)


def test_limits_are_read_from_a_configuration() -> None:
    assert read(create_routing(1)['limits']) == ClientLimits(
        max_head_bytes=16384,
        max_body_bytes=262144,
        head_timeout_ms=3000,
        idle_timeout_ms=15000,
    )


@pytest.mark.parametrize('value', [-1, 'x', None, 1.5, True, 2**40, [], {}])
def test_a_limit_that_is_no_amount_is_not_set(value: Any) -> None:
    """Such a configuration was accepted before, and still is."""
    assert read({'max_body_bytes': value}) == ClientLimits()


def test_a_body_of_many_values_is_not_decoded() -> None:
    """Its values would take many times the memory of its bytes."""
    body = b'{"routes": [' + b'[],' * 300_000 + b'[]]}'
    with pytest.raises(InvalidBodyError, match='too many values'):
        decode_object(body)


def test_a_configuration_of_some_megabytes_is_decoded() -> None:
    routing = create_routing(1)
    routing['routes'] *= 15_000
    body = json.dumps(routing).encode()
    assert len(body) > 2_500_000
    assert len(decode_object(body)['routes']) == 15_000
