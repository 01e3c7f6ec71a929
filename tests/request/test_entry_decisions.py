"""Tests of idempotency, request heads, retries and limits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wasabiturn.ids import RequestId, ServiceName
from wasabiturn.messages.state import Header
from wasabiturn.request.idempotency import classify
from wasabiturn.request.inbound import RequestLine, read_inbound
from wasabiturn.request.limits import (
    InFlight,
    admit,
    read_limits,
    release,
)
from wasabiturn.request.retry import (
    LatencyWindow,
    RetryBudget,
    UnansweredRequest,
    earn_retry,
    may_retry,
    spend_retry,
)

SERVICE = ServiceName('standdesk')


@pytest.mark.parametrize(
    ('method', 'declared', 'key', 'idempotent', 'expected_key'),
    [
        ('GET', None, None, True, None),
        ('PUT', None, 'a', True, None),
        ('POST', None, None, False, None),
        ('POST', None, 'a', False, 'a'),
        ('PATCH', None, 'a', False, 'a'),
        ('POST', 'true', 'a', True, None),
        ('GET', 'False', 'a', False, 'a'),
    ],
)
def test_classification_by_method_and_headers(
    method: str,
    declared: str | None,
    key: str | None,
    idempotent: bool,
    expected_key: str | None,
) -> None:
    classified = classify(method, declared, key).ok
    assert classified.idempotent is idempotent
    assert classified.key == expected_key


@pytest.mark.parametrize(('declared', 'key'), [('maybe', None), (None, '')])
def test_malformed_idempotency_headers_are_refused(
    declared: str | None, key: str | None
) -> None:
    assert classify('POST', declared, key).is_error()


@pytest.mark.parametrize(
    ('target', 'service', 'path'),
    [
        ('/standdesk/a/b?c=1', 'standdesk', '/a/b?c=1'),
        ('/standdesk', 'standdesk', '/'),
        ('/standdesk?c=/d', 'standdesk', '/?c=/d'),
        ('/standdesk//a', 'standdesk', '//a'),
    ],
)
def test_target_is_split_into_service_and_path(
    target: str, service: str, path: str
) -> None:
    line = RequestLine('GET', target, '192.0.2.1')
    read = read_inbound(RequestId('1'), line, [], 10, now=5).ok
    assert (read.service_name, read.path) == (service, path)
    assert read.deadline == 15
    assert read.caller == '192.0.2.1'


def test_caller_is_read_from_headers() -> None:
    line = RequestLine('GET', '/standdesk/x', '192.0.2.1')
    headers = [Header('X-Forwarded-For', '198.51.100.7, 192.0.2.1')]
    read = read_inbound(RequestId('1'), line, headers, 10, now=0).ok
    assert read.caller == '198.51.100.7'
    headers.append(Header('Wasabiturn-Caller', 'kiosk'))
    read = read_inbound(RequestId('1'), line, headers, 10, now=0).ok
    assert read.caller == 'kiosk'


@given(
    idempotent=st.booleans(),
    certainly_not_run=st.booleans(),
    repeatable=st.booleans(),
    attempts=st.integers(1, 6),
    now=st.floats(0, 20),
)
def test_request_is_retried_only_if_safe(
    idempotent: bool,
    certainly_not_run: bool,
    repeatable: bool,
    attempts: int,
    now: float,
) -> None:
    unanswered = UnansweredRequest(
        idempotent, certainly_not_run, repeatable, attempts, 10
    )
    if may_retry(unanswered, RetryBudget(), now):
        assert idempotent or certainly_not_run
        assert repeatable
        assert now < 10


def test_retry_budget_is_a_share_of_requests() -> None:
    budget = RetryBudget(tokens=0)
    retries = 0
    for _ in range(1000):
        earn_retry(budget)
        retries += spend_retry(budget)
    assert 95 <= retries <= 100


def test_hedge_waits_for_the_observed_p95() -> None:
    window = LatencyWindow()
    assert window.hedge_seconds is None
    for number in range(100):
        window.record(number / 1000)
    assert window.hedge_seconds == pytest.approx(0.091, abs=0.003)


def test_busy_caller_leaves_capacity_for_others() -> None:
    limits = read_limits({'service_limit': '90'})
    in_flight = InFlight()
    for _ in range(1000):
        admit(in_flight, limits, SERVICE, 'flood')
    assert in_flight.count_by_caller['flood'] == 80
    for number in range(10):
        assert admit(in_flight, limits, SERVICE, f'other-{number}').is_ok()
    assert admit(in_flight, limits, SERVICE, 'late').is_error()
    release(in_flight, SERVICE, 'flood')
    assert admit(in_flight, limits, SERVICE, 'late').is_ok()


def test_named_limits_override_the_default() -> None:
    limits = read_limits(
        {'caller_limit': '5', 'caller_limit.kiosk': '1', 'service_limit': 'x'},
    )
    in_flight = InFlight()
    assert admit(in_flight, limits, SERVICE, 'kiosk').is_ok()
    assert admit(in_flight, limits, SERVICE, 'kiosk').is_error()
    for _ in range(5):
        assert admit(in_flight, limits, SERVICE, 'desk').is_ok()
    refused = admit(in_flight, limits, SERVICE, 'desk')
    assert refused.error.status == 429
