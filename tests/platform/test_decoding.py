"""Decoding of valid and invalid bodies of the platform."""

import json
from typing import Any

import pytest

from wasabiturn.messages.kinds import RunEnding
from wasabiturn.platform.fields import InvalidBodyError
from wasabiturn.platform.job_limits import JobLimits
from wasabiturn.platform.jobs import decode_job
from wasabiturn.platform.listings import MAX_LISTED_ENDS, decode_listing
from wasabiturn.platform.routing import decode_routing, read_queues
from wasabiturn.platform.workers import decode_identity

ROUTE = {
    'name': 'r-1',
    'host': 'a.example',
    'prefix': '/q/',
    'kind': 'mutating',
    'timeout_ms': 3000,
    'slo_ms': 250,
    'priority': 0,
    'service': 's',
    'attempts': 2,
    'stretch': 1.5,
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 's'}],
    'limits': {'max_body_bytes': 1},
}


def encode(content: Any) -> bytes:
    return json.dumps(content).encode()


def encode_configuration(**fields: Any) -> bytes:
    return encode(CONFIGURATION | fields)


def test_a_job_is_decoded_with_defaults() -> None:
    body = encode(
        {
            'spec': 'text',
            'steps': [
                {'count': 2, 'cpu': 500, 'mem_mb': 256, 'est_ms': 900},
                {'count': 1, 'after': [0], 'long_running': True},
            ],
        },
    )
    job = decode_job(body)
    first, second = job.steps
    assert (first.tasks, first.millicores, first.memory_mb) == (2, 500, 256)
    assert (second.after, second.lasting) == ([0], True)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'{"spec":"x"}',
        b'{"steps":[]}',
        b'{"steps":[{"count":0}]}',
        b'{"steps":[{"count":1,"after":[0]}]}',
        b'{"steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}',
        b'{"steps":[{"count":"1"}]}',
        b'{"steps":[{"count":true}]}',
        b'{"steps":[{"count":1,"cpu":-1}]}',
        b'{"steps":7}',
        b'\xff\xfe',
        b'{"steps":[{"count":100000}]}',
        encode({'spec': 'x' * 4001, 'steps': [{'count': 1}]}),
        encode({'spec': '\N{GRINNING FACE}' * 1001, 'steps': [{'count': 1}]}),
        encode({'steps': [{'count': 1}] * 1001}),
        encode({'steps': [{'count': 1, 'image': 'i' * 257}]}),
        encode({'steps': [{'count': 1, 'requires': 'l' * 257}]}),
        encode({'steps': [{'count': 1, 'affinity': 'r' * 257}]}),
        encode({'steps': [{'count': 1}, {'count': 1, 'after': [0, 0]}]}),
    ],
)
def test_an_invalid_job_is_refused(body: bytes) -> None:
    with pytest.raises(InvalidBodyError):
        decode_job(body)


def test_the_largest_job_is_decoded() -> None:
    names = {'image': 'i' * 256, 'requires': 'l' * 256, 'affinity': 'r' * 256}
    steps = [
        {'count': 20, 'after': list(range(index))[-100:], **names}
        for index in range(1000)
    ]
    job = decode_job(encode({'spec': 'x' * 4000, 'steps': steps}))
    assert len(job.steps[-1].after) == 100


def test_the_limits_of_a_job_are_settings() -> None:
    body = encode({'spec': 'xyz', 'steps': [{'count': 1}] * 3})
    assert decode_job(body, JobLimits(max_spec_bytes=3, max_steps=3))
    with pytest.raises(InvalidBodyError):
        decode_job(body, JobLimits(max_spec_bytes=2))
    with pytest.raises(InvalidBodyError):
        decode_job(body, JobLimits(max_steps=2))


def test_a_configuration_keeps_its_document() -> None:
    body = encode(CONFIGURATION)
    routing = decode_routing(body)
    assert (routing.version, routing.document) == (7, body)
    assert read_queues(routing.document)[0].terms.attempts == 2


@pytest.mark.parametrize(
    'body',
    [
        encode(CONFIGURATION)[:-5],
        encode_configuration(services=[]),
        encode_configuration(routes=[ROUTE | {'service': 'other'}]),
        encode_configuration(routes=[ROUTE, ROUTE | {'name': 'r-2'}]),
        encode_configuration(routes=[ROUTE | {'timeout_ms': 0}]),
        encode_configuration(routes=[ROUTE | {'timeout_ms': 'x'}]),
        encode_configuration(routes=[ROUTE | {'host': ''}]),
        encode_configuration(routes=['r']),
        encode_configuration(version=0),
        encode_configuration(version='7'),
        encode_configuration(limits=None),
        encode_configuration(services=['s']),
    ],
)
def test_an_invalid_configuration_is_refused(body: bytes) -> None:
    with pytest.raises(InvalidBodyError):
        decode_routing(body)


ANNOUNCEMENT = {
    'service': 's',
    'addr': '127.0.0.1:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clock_ms': 2000,
    'born': 123,
    'seq': 4,
}


def test_an_announcement_is_decoded() -> None:
    identity = decode_identity('i-1', encode(ANNOUNCEMENT), 'home')
    assert identity.life == ('i-1', 123)
    assert (identity.rack, identity.data_centre) == ('r1-3', 'z')


@pytest.mark.parametrize(
    'fields',
    [
        {'capacity': None},
        {'state': 'sleeping'},
        {'born': '123'},
        {'born': 1.5},
        {'labels': 'a'},
        {'service': ''},
        {'seq': None},
        {'seq': 2**63},
        {'born': 0},
        {'born': 2**63},
        {'zone': 5},
        {'zone': '\ud800'},
        {'service': '\ud800'},
        {'labels': [5]},
        {'labels': ['\ud800']},
        {'addr': 7},
        {'addr': ''},
        {'version': 1},
        {'slots': 'ocho'},
        {'slots': -1},
        {'cold_left_ms': '0'},
        {'clock_ms': None},
        {'clock_ms': 1.5},
    ],
)
def test_an_invalid_announcement_is_refused(
    fields: dict[str, Any],
) -> None:
    with pytest.raises(InvalidBodyError):
        decode_identity('i-1', encode(ANNOUNCEMENT | fields), 'home')


@pytest.mark.parametrize(
    'capacity',
    [
        {},
        [],
        'x',
        5,
        {'cpu': 16000, 'gpu': 0},
        {'mem_mb': 32768, 'gpu': 0},
        {'cpu': 16000, 'mem_mb': 32768},
        *(
            {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0} | {name: amount}
            for name in ('cpu', 'mem_mb', 'gpu')
            for amount in (None, '1', 1.5, -1, True, [], 2**31, 10**400)
        ),
    ],
)
def test_an_announcement_with_an_invalid_capacity_is_refused(
    capacity: Any,
) -> None:
    body = encode(ANNOUNCEMENT | {'capacity': capacity})
    with pytest.raises(InvalidBodyError):
        decode_identity('i-1', body, 'home')


@pytest.mark.parametrize('name', ANNOUNCEMENT)
def test_an_announcement_without_a_field_is_refused(name: str) -> None:
    fields = {key: ANNOUNCEMENT[key] for key in ANNOUNCEMENT if key != name}
    with pytest.raises(InvalidBodyError):
        decode_identity('i-1', encode(fields), 'home')


def test_an_announcement_may_have_unknown_fields() -> None:
    capacity = {'cpu': 1, 'mem_mb': 1, 'gpu': 0, 'disk_mb': 5}
    added = {'capacity': capacity, 'build': {'commit': 'c'}, 'leased': None}
    body = encode(ANNOUNCEMENT | added)
    assert decode_identity('i-1', body, 'home').capacity == (1, 1, 0)


def test_an_announcement_may_be_of_a_worker_without_labels_or_slots() -> None:
    empty = {'labels': [], 'slots': 0, 'version': '', 'zone': '', 'seq': 0}
    identity = decode_identity('i-1', encode(ANNOUNCEMENT | empty), 'home')
    assert (identity.labels, identity.data_centre) == ((), 'home')


def test_an_announcement_without_an_id_is_refused() -> None:
    with pytest.raises(InvalidBodyError):
        decode_identity('', encode(ANNOUNCEMENT), 'home')


def test_a_capacity_may_shrink_to_nothing() -> None:
    nothing = {'cpu': 0, 'mem_mb': 0, 'gpu': 0}
    body = encode(ANNOUNCEMENT | {'capacity': nothing})
    assert decode_identity('i-1', body, 'home').capacity == (0, 0, 0)


def test_a_listing_is_decoded() -> None:
    listing = decode_listing(
        encode(
            {
                'born': 1,
                'clock_ms': 2,
                'running': [['a.0.0.1', 2, 'c', 41, 7]],
                'ended': [[58, 'a.0.0.2', 1, 'done', '']],
            },
        ),
    )
    assert listing.running[0].figure == pytest.approx(7)
    assert listing.ended[0].ending is RunEnding.done


@pytest.mark.parametrize(
    'fields',
    [
        {'running': [['a']]},
        {'ended': [[1, 'a', 1, 'vanished', '']]},
        {'ended': 5},
        {'clock_ms': 'x'},
    ],
)
def test_an_invalid_listing_is_refused(fields: dict[str, Any]) -> None:
    body = {'born': 1, 'clock_ms': 2, 'running': [], 'ended': []} | fields
    with pytest.raises(InvalidBodyError):
        decode_listing(encode(body))


@pytest.mark.parametrize('ends', [MAX_LISTED_ENDS - 1, MAX_LISTED_ENDS])
def test_a_list_with_the_most_ends_may_lack_others(ends: int) -> None:
    rows = [[number, 'a.0.0.2', 1, 'done', ''] for number in range(ends)]
    body = {'born': 1, 'clock_ms': 2, 'running': [], 'ended': rows}
    listing = decode_listing(encode(body))
    assert listing.is_truncated is (ends == MAX_LISTED_ENDS)


@pytest.mark.parametrize(
    'fields',
    [
        {'labels': ['a'] * 65},
        {'labels': ['a' * 257]},
        {'service': 's' * 257},
        {'zone': 'z' * 257},
    ],
)
def test_an_announcement_that_outgrows_reports_is_refused(
    fields: dict[str, Any],
) -> None:
    """What is kept of it goes to the leader with each report."""
    with pytest.raises(InvalidBodyError):
        decode_identity('i-1', encode(ANNOUNCEMENT | fields), 'home')
