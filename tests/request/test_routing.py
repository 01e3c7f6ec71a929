"""Tests of the choice of an agent."""

from random import Random

from wasabiturn.ids import DataCentre, InstanceName
from wasabiturn.messages.session import LoadReport
from wasabiturn.request.health import (
    AgentHealth,
    is_ejected,
    record_failure,
    record_success,
)
from wasabiturn.request.load import (
    AgentLoad,
    estimate_in_use,
    estimate_wait,
    record_done,
    record_report,
    record_sent,
)
from wasabiturn.request.routing import (
    Candidate,
    choose_agent,
    may_take_hedge,
)

HERE = DataCentre('dc-a')
THERE = DataCentre('dc-b')


def candidate(name: str, data_centre: DataCentre = HERE) -> Candidate:
    return Candidate(
        name=InstanceName(name),
        data_centre=data_centre,
        load=AgentLoad(slots=8),
        health=AgentHealth(first_seen=-100),
    )


def choose(candidates: list[Candidate], now: float = 0.0) -> str:
    return choose_agent(candidates, HERE, Random(1), now).ok.candidate.name


def report(waiting: int, service_ms: float = 10) -> LoadReport:
    return LoadReport(
        running=8,
        waiting=waiting,
        slots=8,
        mean_service_ms=service_ms,
    )


def test_shorter_wait_wins() -> None:
    busy = candidate('busy')
    record_report(busy.load, report(waiting=4), now=0)
    assert choose([busy, candidate('idle')]) == 'idle'


def test_own_data_centre_wins_until_its_wait_is_worse() -> None:
    near = candidate('near')
    far = candidate('far', THERE)
    assert choose([near, far]) == 'near'
    record_report(near.load, report(waiting=4), now=0)
    assert choose([near, far]) == 'far'


def test_report_loses_weight_with_age() -> None:
    load = AgentLoad(slots=8)
    record_sent(load, 0)
    record_report(load, report(waiting=8), now=0)
    record_done(load)
    assert estimate_in_use(load, 0) == 16
    assert estimate_in_use(load, 0.25) == 8
    assert estimate_wait(load, 16, 1) == 9 * 0.01 / 8
    assert estimate_wait(load, 7, 1) == 0


def test_own_requests_are_not_counted_twice() -> None:
    load = AgentLoad(slots=8)
    for _ in range(5):
        record_sent(load, 0)
    record_report(load, report(waiting=0), now=0)
    record_done(load)
    assert load.others_in_flight == 4
    assert estimate_in_use(load, 0) == 8


def test_hedge_needs_free_slots() -> None:
    busy = candidate('busy')
    assert may_take_hedge(choose_agent([busy], HERE, Random(1), 0).ok)
    record_report(busy.load, report(waiting=0), now=0)
    assert not may_take_hedge(choose_agent([busy], HERE, Random(1), 0).ok)


def test_slow_agent_is_avoided() -> None:
    slow = candidate('slow')
    record_report(slow.load, report(waiting=0, service_ms=80), now=0)
    others = [candidate('fast'), candidate('other')]
    for each in others:
        each.load.in_flight = 5
        each.load.waiting_since = 9
    assert choose([slow, *others], now=9) in {'fast', 'other'}


def test_agent_with_an_overdue_answer_is_avoided() -> None:
    overdue = candidate('overdue')
    record_sent(overdue.load, 0)
    others = [candidate('busy'), candidate('other')]
    for each in others:
        each.load.in_flight = 5
        each.load.waiting_since = 0.3
    assert choose([overdue, *others], now=0.02) == 'overdue'
    assert choose([overdue, *others], now=0.3) != 'overdue'
    record_report(overdue.load, report(waiting=-8), now=0.3)
    assert choose([overdue, *others], now=0.3) == 'overdue'


def test_small_differences_in_service_time_are_ignored() -> None:
    slower = candidate('slower')
    record_report(slower.load, report(waiting=0, service_ms=14), now=0)
    others = [candidate('fast'), candidate('other')]
    for each in others:
        each.load.in_flight = 5
        each.load.waiting_since = 9
    assert choose([slower, *others], now=9) == 'slower'


def test_unreachable_agent_is_never_chosen() -> None:
    lost = candidate('lost')
    lost.reachable = False
    assert choose([lost, candidate('other')]) == 'other'
    assert choose_agent([lost], HERE, Random(1), 0).is_error()


def test_failures_eject_for_longer_each_time() -> None:
    health = AgentHealth(first_seen=0)
    for _ in range(3):
        record_failure(health, now=10)
    assert is_ejected(health, 10.9)
    assert not is_ejected(health, 11.1)
    for _ in range(3):
        record_failure(health, now=20)
    assert is_ejected(health, 21.9)
    record_success(health)
    assert health.ejections == 0


def test_ejected_agents_are_used_if_no_other_is_left() -> None:
    ejected = candidate('ejected')
    ejected.health.ejected_until = 100
    assert choose([ejected, candidate('healthy')]) == 'healthy'
    assert choose([ejected]) == 'ejected'


def test_new_agent_starts_slowly() -> None:
    new = candidate('new')
    new.health.first_seen = 0
    old = candidate('old')
    for each in (new, old):
        record_sent(each.load, 0)
        record_sent(each.load, 0)
    assert choose([new, old], now=0.1) == 'old'
