"""Watches: no gap and no repeat, whatever happens between the ends."""

from typing import Any

from tests.process.group import Group
from tests.process.network import Network
from tests.process.operators import OperatorClient, parse_response
from tests.process.test_session import create_session
from tests.version.resources import configuration, put

WATCH = '/v1/configurations?watch=1'


def create_operators(group: Group) -> OperatorClient:
    return OperatorClient(group, create_session(group))


def follow(lines: list[Any]) -> tuple[str, list[int]]:
    """Return the value that a watcher holds, and the revisions it saw."""
    value = ''
    revisions = []
    for line in lines:
        if line['type'] == 'heartbeat':
            continue
        revisions.append(line['revision'])
        resources = line.get('items') or [line.get('resource')]
        if resources[0]:
            value = resources[0]['spec']['settings']['value']
    return value, revisions


def test_watch_begins_with_a_snapshot_and_follows() -> None:
    group = Group(Network())
    operators = create_operators(group)
    group.commit(put(configuration('a')))
    transport = operators.open('GET', WATCH)
    group.commit(put(configuration('b')))
    group.network.run(2)
    lines = parse_response(transport).lines
    assert follow(lines) == ('b', [1, 2])
    assert [line['type'] for line in lines].count('heartbeat') >= 2


def test_watch_resumes_after_its_revision() -> None:
    group = Group(Network())
    operators = create_operators(group)
    for value in 'abcd':
        group.commit(put(configuration(value)))
    transport = operators.open('GET', f'{WATCH}&since=2')
    lines = parse_response(transport).lines
    assert follow(lines) == ('d', [3, 4])


def test_compacted_watch_gets_a_snapshot_first() -> None:
    group = Group(Network())
    operators = create_operators(group)
    for number in range(5000):
        group.commit(put(configuration(str(number))))
    transport = operators.open('GET', f'{WATCH}&since=7')
    group.commit(put(configuration('last')))
    group.network.run(0.2)
    lines = parse_response(transport).lines
    assert lines[0]['type'] == 'snapshot'
    assert follow(lines) == ('last', [5000, 5001])


def test_watch_at_a_member_that_goes_stale_is_cut() -> None:
    group = Group(Network())
    operators = create_operators(group)
    transport = operators.open('GET', WATCH)
    for replica in group.replicas:
        replica.cut_off = True
    group.network.run(2)
    assert transport.aborted
    assert operators.send('GET', WATCH).status == 503


def test_watch_is_opened_at_a_fresh_member() -> None:
    group = Group(Network())
    operators = create_operators(group)
    for replica in group.replicas[1:]:
        replica.cut_off = True
    group.commit(put(configuration('a')))
    transport = operators.open('GET', WATCH)
    assert follow(parse_response(transport).lines) == ('a', [1])


def test_slow_watcher_holds_no_memory_and_misses_nothing() -> None:
    group = Group(Network())
    operators = create_operators(group)
    transport = operators.open('GET', WATCH)
    producer: Any = transport.producer
    producer.pauseProducing()
    filler = 'x' * 10_000
    for number in range(100):
        group.commit(put(configuration(f'{number} {filler}')))
    group.network.run(1)
    held = len(transport.value())
    assert held < 400_000
    producer.resumeProducing()
    group.network.run(1)
    _, revisions = follow(parse_response(transport).lines)
    assert revisions == list(range(101))


def test_large_snapshot_comes_in_parts_as_the_watcher_reads() -> None:
    group = Group(Network())
    operators = create_operators(group)
    filler = 'x' * 1000
    for number in range(1200):
        declared = configuration(filler, name=f'c{number:04}')
        group.commit(put(declared))
    transport = operators.open('GET', WATCH)
    producer: Any = transport.producer
    producer.pauseProducing()
    group.commit(put(configuration('late', name='c0000')))
    group.network.run(0.2)
    producer.resumeProducing()
    group.network.run(1)
    lines = parse_response(transport).lines
    parts = [line for line in lines if line['type'] == 'snapshot']
    assert [part['complete'] for part in parts] == [False, False, True]
    assert [part['part'] for part in parts] == [0, 1, 2]
    items = [item['name'] for part in parts for item in part['items']]
    assert items == [f'c{number:04}' for number in range(1200)]
    changes = [line for line in lines if line['type'] == 'put']
    assert [change['revision'] for change in changes] == [1201]
