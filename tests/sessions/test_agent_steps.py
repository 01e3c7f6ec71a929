"""Tests that inject each fault at each step of a keyed booking request.

Each snapshot holds what the entry received, how often the booking reached the
backend server, and the state of its claim. The agent may report ``not_run``
only if ``runs`` is 0, and a booking must never run twice.
"""

from collections.abc import Callable
from typing import Any

import attrs
import pytest

from tests.process.agent.fakes import (
    ANSWER,
    ANSWER_HEAD,
    AgentHarness,
    EntryStream,
)
from wasabiturn.messages.kinds import Method
from wasabiturn.messages.session import ClaimVerdict, RefuseClaim
from wasabiturn.request.claims import LATE_ANSWER_SECONDS

BODY = b'stand=7'


def reach_opened(harness: AgentHarness) -> EntryStream:
    return send_booking(harness, end=False)


def reach_queued(harness: AgentHarness) -> EntryStream:
    harness.request(BODY, request_id='other')
    return send_booking(harness)


def reach_connecting(harness: AgentHarness) -> EntryStream:
    harness.reactor.accepts = False
    return send_booking(harness)


def reach_written(harness: AgentHarness) -> EntryStream:
    return send_booking(harness)


def reach_head(harness: AgentHarness) -> EntryStream:
    seen = send_booking(harness)
    harness.reactor.connections[0].send(ANSWER_HEAD)
    harness.settle()
    return seen


def reach_body(harness: AgentHarness) -> EntryStream:
    seen = reach_head(harness)
    harness.reactor.connections[0].send(b'boo')
    harness.settle()
    return seen


def reach_answered(harness: AgentHarness) -> EntryStream:
    seen = send_booking(harness)
    harness.reactor.connections[0].send(ANSWER)
    harness.settle()
    return seen


def reach_lost_connection(harness: AgentHarness) -> EntryStream:
    seen = reach_connecting(harness)
    harness.reactor.accept()
    harness.reactor.connections[0].lose()
    harness.reactor.accepts = True
    return seen


def send_booking(harness: AgentHarness, end: bool = True) -> EntryStream:
    return harness.request(
        BODY,
        end=end,
        request_id='booking',
        claim_id='claim-1',
        claim_key='key-1',
    )


STEPS: list[Callable[[AgentHarness], EntryStream]] = [
    reach_opened,
    reach_queued,
    reach_connecting,
    reach_written,
    reach_head,
    reach_body,
    reach_answered,
    reach_lost_connection,
]


def kill_entry(harness: AgentHarness, seen: EntryStream) -> None:
    harness.pipes[0].left.abort('killed')
    harness.settle()
    harness.advance(0.2)


def freeze_entry(harness: AgentHarness, seen: EntryStream) -> None:
    harness.pipes[0].cut_to_right = True
    harness.advance(2.0)


def reset_stream(harness: AgentHarness, seen: EntryStream) -> None:
    if seen.stream is not None:
        seen.stream.reset('caller hung up')
    harness.settle()
    harness.advance(0.2)


def kill_agent(harness: AgentHarness, seen: EntryStream) -> None:
    harness.pipes[0].right.abort('killed')
    harness.settle()
    for connection in list(harness.reactor.connections):
        connection.lose()
    harness.settle()


def kill_backend(harness: AgentHarness, seen: EntryStream) -> None:
    harness.reactor.refuse()
    for connection in list(harness.reactor.connections):
        connection.lose()
    harness.settle()
    harness.advance(0.2)


def freeze_backend(harness: AgentHarness, seen: EntryStream) -> None:
    harness.advance(16.0 + LATE_ANSWER_SECONDS, step=0.1)


def leave_backend(harness: AgentHarness, seen: EntryStream) -> None:
    harness.backends.announce(attrs.evolve(harness.record, leaving=True))
    harness.settle()
    for connection in harness.reactor.connections:
        connection.send(ANSWER)
    harness.settle()
    harness.advance(0.2)


FAULTS: list[Callable[[AgentHarness, EntryStream], None]] = [
    kill_entry,
    freeze_entry,
    reset_stream,
    kill_agent,
    kill_backend,
    freeze_backend,
    leave_backend,
]


def booking_runs(harness: AgentHarness) -> int:
    return sum(
        connection.received.count(b'POST /confirm')
        for connection in harness.reactor.connections
    )


def refuse_booking_claim(harness: AgentHarness) -> str:
    """Refuse the booking's claim if it is new; return the claim's state."""
    message = RefuseClaim(claim_id='claim-1', agent_incarnation='a1')
    verdict: ClaimVerdict = harness.request_server.refuse_claim(Any, message)  # type: ignore[arg-type]
    return verdict.state.name


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('step', STEPS)
def test_booking(
    step: Callable[[AgentHarness], EntryStream],
    fault: Callable[[AgentHarness, EntryStream], None],
    snapshot: Any,
) -> None:
    harness = AgentHarness(slots=1)
    seen = step(harness)
    other_runs = 1 if step is reach_queued else 0
    fault(harness, seen)
    runs = harness.runs() - other_runs
    claim = refuse_booking_claim(harness)
    event_names = [event.split()[0] for event in seen.events]
    if 'not_run' in event_names:
        assert runs == 0
    assert runs <= 1
    assert claim != 'refused' or runs == 0
    assert claim != 'done' or runs == 1
    assert {
        'entry saw': seen.events,
        'body': seen.body.decode(),
        'runs': runs,
        'claim': claim,
        'slots in use': len(harness.table.started_by_ticket),
        'waiting': len(harness.table.queue),
        'backend connections': harness.reactor.open_connections(),
    } == snapshot


def test_request_with_refused_claim_does_not_run() -> None:
    harness = AgentHarness()
    call = harness.pipes[0].left.call(
        Method.refuse_claim,
        RefuseClaim(claim_id='claim-1', agent_incarnation='a1'),
        ClaimVerdict,
        timeout_seconds=1.0,
    )
    verdicts: list[str] = []
    call.addCallback(lambda reply: verdicts.append(reply.state.name))
    harness.settle()
    seen = send_booking(harness)
    assert verdicts == ['refused']
    assert seen.events == ['not_run 0', 'end after 0 bytes']
    assert harness.runs() == 0


def test_claim_of_another_incarnation_is_unknown() -> None:
    harness = AgentHarness()
    message = RefuseClaim(claim_id='claim-1', agent_incarnation='earlier')
    verdict = harness.request_server.refuse_claim(Any, message)  # type: ignore[arg-type]
    assert verdict.state.name == 'unknown'
