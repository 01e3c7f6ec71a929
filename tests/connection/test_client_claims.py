"""Choice of the connections that are closed when something runs out."""

import pytest

from wasabiturn.connection.client_claims import (
    UNREAD_GRACE_SECONDS,
    Claim,
    Phase,
    Rank,
    choose_for_connection,
    choose_for_memory,
)
from wasabiturn.connection.client_deadlines import (
    MIN_BODY_BYTES_PER_SECOND,
    RATE_GRACE_SECONDS,
    READ_TIMEOUT_SECONDS,
    is_below_rate,
    is_read_overdue,
)

NOW = 1000.0


def claim(
    name: str,
    phase: Phase = Phase.receiving,
    age: float = 1.0,
    held_bytes: int = 1000,
    rank: Rank = Rank.caller,
    has_served: bool = False,
) -> Claim:
    return Claim(name, rank, phase, NOW - age, held_bytes, has_served)


def choose(
    claims: list[Claim], excess_bytes: int, rank: Rank = Rank.caller
) -> list[str]:
    chosen = choose_for_memory(claims, excess_bytes, rank, NOW)
    return [each.owner for each in chosen]


def test_the_lowest_rates_free_as_much_as_is_needed() -> None:
    claims = [
        claim('fast', age=1, held_bytes=4000),
        claim('slow', age=60, held_bytes=4000),
        claim('slowest', age=60, held_bytes=400),
    ]
    assert choose(claims, 4100) == ['slowest', 'slow']
    assert choose(claims, 300) == ['slowest']


def test_a_request_that_has_just_begun_is_not_slow() -> None:
    claims = [
        claim('new', age=0, held_bytes=100),
        claim('old', age=30, held_bytes=200_000),
    ]
    assert choose(claims, 1) == ['old']


@pytest.mark.parametrize('phase', [Phase.running, Phase.idle])
def test_a_whole_request_is_never_closed(phase: Phase) -> None:
    assert not choose([claim('a', phase, age=100)], 10**9, Rank.trusted)


def test_an_operator_never_yields_to_a_caller() -> None:
    operator = claim('operator', rank=Rank.trusted, age=100)
    caller = claim('caller', age=1)
    assert choose([operator, caller], 10**9) == ['caller']
    assert choose([operator, caller], 10**9, Rank.trusted) == [
        'caller',
        'operator',
    ]


def test_unread_responses_yield_after_unfinished_requests() -> None:
    claims = [
        claim('unread', Phase.sending, age=UNREAD_GRACE_SECONDS + 1),
        claim('reading', Phase.sending, age=UNREAD_GRACE_SECONDS - 1),
        claim('unfinished', age=1, held_bytes=10**6),
    ]
    assert choose(claims, 10**9) == ['unfinished', 'unread']


def test_connections_without_a_whole_request_are_closed_first() -> None:
    claims = [
        claim('served', Phase.idle, age=70, has_served=True),
        claim('silent', Phase.idle, age=5),
        claim('unfinished', Phase.receiving, age=9),
        claim('running', Phase.running, age=100),
        claim('operator', Phase.idle, age=100, rank=Rank.trusted),
    ]
    chosen = choose_for_connection(claims, 9, Rank.caller)
    assert [each.owner for each in chosen] == [
        'unfinished',
        'silent',
        'served',
    ]
    (last,) = choose_for_connection(claims[3:], 9, Rank.trusted)
    assert last.owner == 'operator'


def test_a_message_may_have_any_rate_at_first() -> None:
    rate = MIN_BODY_BYTES_PER_SECOND
    assert not is_below_rate(0, RATE_GRACE_SECONDS, rate)
    assert is_below_rate(0, RATE_GRACE_SECONDS + 1, rate)
    assert not is_below_rate(100 * rate, 100, rate)
    assert is_below_rate(100 * rate - 1, 100, rate)


def test_the_time_to_read_a_response_grows_with_it() -> None:
    assert is_read_overdue(0, READ_TIMEOUT_SECONDS + 1)
    assert not is_read_overdue(8_000_000, READ_TIMEOUT_SECONDS + 700)


def test_connections_beyond_the_reserve_count_as_those_of_callers() -> None:
    """Anyone may open one at an operators' address and send nothing."""
    claims = [
        claim('served', Phase.idle, age=70, has_served=True),
        claim('stranger', Phase.receiving, age=9, rank=Rank.trusted),
        claim(
            'operator',
            Phase.idle,
            age=100,
            rank=Rank.trusted,
            has_served=True,
        ),
    ]
    chosen = choose_for_connection(claims, 9, Rank.caller, is_reserve_used=True)
    assert [each.owner for each in chosen] == ['stranger', 'served']
