"""Test the tokens of an agent between two of the leader."""

from twisted.python.failure import Failure

from wasabiturn.messages.limits import FENCE_STEP
from wasabiturn.process.agent.runs.contact import (
    HOLD_RETRY_SECONDS,
    NO_FENCE,
    WorkerContact,
)
from wasabiturn.process.agent.runs.fencing_token import FencingToken
from wasabiturn.process.agent.runs.port import WorkerNotListeningError

FENCE = 7 * FENCE_STEP


def test_token_stays_below_the_next_one_of_the_leader() -> None:
    token = FencingToken()
    token.follow(FENCE)
    for _ in range(2 * FENCE_STEP):
        token.raise_own('test')
    assert token.value == FENCE + FENCE_STEP - 1


def test_token_rises_though_a_leader_leaves_none_between() -> None:
    token = FencingToken()
    token.follow(FENCE)
    token.raise_own('test')
    token.raise_own('test')
    before = token.value
    token.follow(FENCE + 1)
    assert token.value > before
    assert token.fence_of(token.value) == FENCE + 1
    assert token.fence_of(before) is None


def test_list_under_an_older_token_of_the_agent_allows_no_start() -> None:
    contact = WorkerContact()
    contact.token.follow(FENCE)
    contact.listing_token = contact.token.value
    assert contact.has_listed
    contact.record_closed_port()
    assert not contact.has_listed
    assert contact.listing_fence() == FENCE


def test_life_without_an_announcement_is_told_once() -> None:
    contact = WorkerContact()
    contact.token.follow(FENCE)
    assert contact.take_over(born_ms=5)
    assert not contact.take_over(born_ms=5)
    assert contact.token.value == FENCE + 1


def test_list_of_an_earlier_fence_is_not_that_of_the_newest() -> None:
    contact = WorkerContact()
    contact.token.follow(FENCE)
    contact.listing_token = contact.token.value
    contact.token.follow(FENCE + FENCE_STEP)
    assert contact.listing_fence() == NO_FENCE


def test_closed_port_is_reported_at_once_and_then_now_and_then() -> None:
    contact = WorkerContact(is_listing_current=True)
    refused = Failure(WorkerNotListeningError('refused'))
    contact.record_failure('w', Failure(ValueError('connection lost')))
    assert contact.is_report_due(now=0)
    contact.record_failure('w', refused)
    assert contact.is_report_due(now=0.005)
    contact.record_failure('w', refused)
    assert not contact.is_report_due(now=0.025)
    assert contact.is_report_due(now=0.005 + HOLD_RETRY_SECONDS)
