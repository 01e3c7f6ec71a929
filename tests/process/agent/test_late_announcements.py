"""Tests of announcements that arrive after newer ones."""

import attrs
import pytest

from tests.process.agent.fakes import AgentHarness
from wasabiturn.ids import ServiceName

SERVICE = ServiceName('standdesk')


def test_late_announcement_brings_no_leaving_server_back() -> None:
    harness = AgentHarness()
    harness.backends.announce(attrs.evolve(harness.record, leaving=True))
    harness.advance(0.5)
    harness.backends.announce(harness.record)
    seen = harness.request()
    assert seen.events[0] == 'not_run 0'
    assert harness.backends.records()[0].leaving


def test_server_that_stays_after_all_is_used_again() -> None:
    harness = AgentHarness()
    harness.backends.announce(attrs.evolve(harness.record, leaving=True))
    for _ in range(4):
        harness.advance(1)
        harness.backends.announce(harness.record)
    assert harness.backends.find(SERVICE) is not None


def test_new_incarnation_of_a_leaving_server_is_used_at_once() -> None:
    harness = AgentHarness()
    harness.backends.announce(attrs.evolve(harness.record, leaving=True))
    harness.backends.announce(attrs.evolve(harness.record, incarnation='b2'))
    assert harness.backends.find(SERVICE) is not None


@pytest.mark.parametrize('leaving', [True, False])
def test_late_announcement_of_an_ended_incarnation_changes_nothing(
    leaving: bool,
) -> None:
    harness = AgentHarness()
    successor = attrs.evolve(harness.record, incarnation='b2', slots=9)
    harness.backends.announce(successor)
    harness.backends.announce(attrs.evolve(harness.record, leaving=leaving))
    assert harness.backends.records() == [successor]
    assert harness.backends.find(SERVICE) is not None
