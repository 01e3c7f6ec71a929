"""Tests of requests that crash the backend servers they are sent to."""

from pathlib import Path

import attrs
import pytest

from tests.process.entry.fakes import SERVICE
from tests.sessions.crash_fakes import AGENTS, SLOTS, CrashHarness

DEADLY_GET = 'GET /standdesk/deadly HTTP/1.1\r\nHost: x\r\n\r\n'
GET = 'GET /standdesk/stands HTTP/1.1\r\nHost: x\r\n\r\n'
DEADLY_POST = (
    'POST /standdesk/deadly HTTP/1.1\r\nHost: x\r\n'
    'Content-Length: 5\r\n\r\nhello'
)
KEYED = DEADLY_POST.replace('Host: x', 'Host: x\r\nIdempotency-Key: k1')


@pytest.fixture
def harness(tmp_path: Path) -> CrashHarness:
    return CrashHarness(tmp_path)


def test_idempotent_request_crashes_no_third_backend_server(
    harness: CrashHarness,
) -> None:
    caller = harness.call(DEADLY_GET)
    harness.advance(1)
    assert harness.crashes() == 2
    assert caller.received.startswith('HTTP/1.1 502')
    assert 'Wasabiturn-Outcome: unknown' in caller.received
    assert 'Retry-After' not in caller.received
    assert 'backend servers crashed under the request' in caller.received


def test_crashing_request_on_busy_servers_crashes_no_third_one(
    harness: CrashHarness,
) -> None:
    bystanders = [harness.call(GET) for _ in range(3 * SLOTS)]
    caller = harness.call(DEADLY_GET)
    assert harness.crashes() == 2
    assert 'backend servers crashed under the request' in caller.received
    harness.answer_all()
    assert all(each.received.endswith('booked') for each in bystanders)


def test_request_beside_a_crashing_one_is_retried(
    harness: CrashHarness,
) -> None:
    bystanders = [harness.call(GET) for _ in range(4)]
    victim = next(each for each in harness.servers if each.waiting())
    waiting = victim.waiting()
    victim.crash()
    harness.pump()
    assert waiting
    harness.answer_all()
    assert all(each.received.endswith('booked') for each in bystanders)


@pytest.mark.parametrize('text', [DEADLY_POST, KEYED])
def test_non_idempotent_request_crashes_one_backend_server(
    harness: CrashHarness, text: str
) -> None:
    callers = [harness.call(text)]
    harness.advance(1)
    assert harness.crashes() == 1
    assert 'Wasabiturn-Outcome: unknown' in callers[0].received
    if text is KEYED:
        resent = harness.call(text)
        harness.advance(5)
        assert harness.crashes() == 1
        assert 'Wasabiturn-Outcome: unknown' in resent.received


def test_lost_connection_to_a_living_server_is_no_crash(
    harness: CrashHarness,
) -> None:
    for server in harness.servers:
        server.only_cuts = True
    caller = harness.call(DEADLY_GET)
    assert 'crashed' not in caller.received
    assert len(harness.pool.find_candidates(SERVICE)) == AGENTS


def test_request_of_a_server_that_leaves_is_not_suspected(
    harness: CrashHarness,
) -> None:
    caller = harness.call(DEADLY_GET.replace('deadly', 'slow'))
    for _ in range(2):
        agent = harness.busy_agent()
        agent.backends.announce(attrs.evolve(agent.record, leaving=True))
        agent.server.crash()
        harness.pump()
    harness.answer_all()
    assert caller.received.endswith('booked')


def test_agent_out_of_service_suspects_no_request(
    harness: CrashHarness,
) -> None:
    caller = harness.call(DEADLY_GET.replace('deadly', 'slow'))
    for _ in range(2):
        agent = harness.busy_agent()
        agent.backends.is_closed = True
        agent.server.crash()
        harness.pump()
    harness.answer_all()
    assert caller.received.endswith('booked')


def test_suspects_of_one_crash_are_sent_to_different_servers(
    harness: CrashHarness,
) -> None:
    callers = [harness.call(GET) for _ in range(6)]
    victim = max(harness.servers, key=lambda each: each.waiting())
    for each in harness.servers:
        if each is not victim:
            each.answer()
    harness.pump()
    suspects = victim.waiting()
    victim.crash()
    harness.pump()
    assert sum(bool(each.waiting()) for each in harness.servers) == suspects
    harness.answer_all()
    assert all(each.received.endswith('booked') for each in callers)
