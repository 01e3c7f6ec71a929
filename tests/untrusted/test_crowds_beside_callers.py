"""Crowds that take what ordinary callers of an entry need.

Each test guards against an entry that exceeds its instance while the group
stands still, or that leaves ordinary callers without an answer.
"""

import socket
import time
from contextlib import ExitStack

import pytest

from benchmarks.platform_soak.settings import create_announcement
from tests.untrusted import jobs, programs
from tests.untrusted.clients import HEAD, Clients
from tests.untrusted.programs import PORTS, Group, Running
from tests.untrusted.test_untrusted_clients import (
    READ_REQUEST,
    assert_answers,
    assert_unharmed,
)

pytestmark = pytest.mark.timeout(240)

CONNECT_SECONDS = 10.0
# A body of 210 KB with nothing in it that is out of bounds.
LARGE_JOB = jobs.create_job('x' * jobs.SPEC_BYTES, steps=700, image='i' * 230)


def test_whole_bodies_beside_a_group_that_stands_still(
    group: Group, entry: Running
) -> None:
    """What waits for the group and on its links is held by the entry."""
    members = group.running[: programs.GROUP_SIZE]
    crowd = jobs.Crowd(jobs.Queue(entry.address))
    body = jobs.create_job('x' * 200_000)
    with ExitStack() as thawed:
        for member in members:
            member.program.freeze()
            thawed.callback(member.program.thaw)
        crowd.submit(1200, body, entry.observe, clients=200)
    assert_unharmed(entry)


def test_whole_bodies_beside_a_group_that_stops_and_goes_on(
    group: Group, entry: Running
) -> None:
    """A link that takes nothing keeps what is sent on it until it is lost."""
    members = group.running[: programs.GROUP_SIZE]
    crowd = jobs.Crowd(jobs.Queue(entry.address))
    with ExitStack() as thawed:
        for member in members:
            thawed.callback(member.program.thaw)
        for _ in range(4):
            for member in members:
                member.program.freeze()
            crowd.submit(200, LARGE_JOB, entry.observe, clients=200)
            for member in members:
                member.program.thaw()
            crowd.submit(20, jobs.create_job(), entry.observe)
    assert_unharmed(entry)


def test_connections_while_the_entry_stands_still(
    entry: Running, stack: ExitStack
) -> None:
    """Clients beyond the queue of new connections wait for seconds."""
    stack.callback(entry.program.thaw)
    entry.program.freeze()
    clients = [stack.enter_context(socket.socket()) for _ in range(250)]
    for client in clients:
        client.setblocking(False)
        client.connect_ex((entry.address, PORTS.callers))
    until = time.monotonic() + CONNECT_SECONDS
    while time.monotonic() < until and not all(map(is_connected, clients)):
        time.sleep(0.05)
    connected = sum(map(is_connected, clients))
    entry.program.thaw()
    assert connected == len(clients)
    assert_unharmed(entry)


@pytest.mark.parametrize(
    'port', [PORTS.control, PORTS.ready, PORTS.first], ids=lambda port: port
)
def test_connections_that_are_not_callers(
    entry: Running, stack: ExitStack, port: int
) -> None:
    """Each of the callers' connections is answered, whoever else connects."""
    crowd = Clients(entry, port, stack)
    crowd.send_each(programs.MAX_FDS + 100, lambda: (HEAD,))
    entry.settle()
    for _ in range(20):
        status = programs.send_request(
            entry.address, PORTS.callers, READ_REQUEST
        )
        assert status is not None
    assert_answers(entry, PORTS.callers, READ_REQUEST)
    assert_unharmed(entry)


def test_announcements_with_many_labels(
    agent: Running, stack: ExitStack
) -> None:
    """Whole announcements, each as large as an address accepts."""
    crowd = Clients(agent, PORTS.control, stack)
    body = create_announcement(['r1-3', *['x' * 30] * 28_000])
    request = programs.encode_post('/api/Instances.Heartbeat/i-0', body)
    crowd.send_each(60, lambda: (request,))
    assert_unharmed(agent, programs.AGENT_MEMORY_MB, PORTS.control, request)


def is_connected(client: socket.socket) -> bool:
    try:
        client.getpeername()
    except OSError:
        return False
    return True
