"""Clients that try to exhaust a program's memory or descriptors.

Each test guards against a program that ends, exceeds the memory or the
descriptors of its instance, or no longer answers an ordinary request. The
bounds are the limits in the settings of the instance.
"""

import json
import struct
import time
from contextlib import ExitStack

import pytest

from benchmarks.platform_soak.settings import HOST, PREFIX, create_routing
from tests.untrusted import clients, programs
from tests.untrusted.clients import Clients
from tests.untrusted.programs import PORTS, Group, Running

pytestmark = pytest.mark.timeout(240)

READ_REQUEST = (
    f'GET {PREFIX}0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n\r\n'.encode()
)
SHORT_REQUEST = b'GET /a HTTP/1.1\r\n\r\n'
READ_CONFIGURATION = b'GET /api/Config.Get HTTP/1.1\r\nHost: a\r\n\r\n'
TRICKLE_ROUNDS = 3
# A configuration is in force within this time.
LIMITS_SECONDS = 2.0
TOO_LARGE = 413
FRAME_BYTES = 8_000_000
UNSENT_FRAME_BYTES = 1_000_000


def assert_answers(running: Running, port: int, request: bytes) -> None:
    until = time.monotonic() + programs.ANSWER_SECONDS
    status = None
    while status is None and time.monotonic() < until:
        assert running.program.is_running()
        status = programs.send_request(running.address, port, request)
    assert status is not None


def assert_unharmed(
    running: Running,
    memory_mb: int = programs.ENTRY_MEMORY_MB,
    port: int = PORTS.callers,
    request: bytes = READ_REQUEST,
) -> None:
    running.settle()
    assert_answers(running, port, request)
    running.observe()
    assert running.peak_memory_mb() < memory_mb
    assert running.peak_descriptors < programs.MAX_FDS


def test_bodies_in_large_chunks(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(60, lambda: clients.chunked_body(4_000_000, 65_536))
    assert_unharmed(entry)


def test_bodies_in_tiny_chunks(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(40, lambda: clients.chunked_body(250_000, 2))
    assert_unharmed(entry)


def test_one_large_body_in_tiny_chunks(
    entry: Running, stack: ExitStack
) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(1, lambda: clients.chunked_body(8_000_000, 2))
    assert_unharmed(entry)


def test_unfinished_silent_bodies(entry: Running, stack: ExitStack) -> None:
    """Each body is smaller than any limit on a single one."""
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(
        1000, lambda: clients.sized_body(declared=250_000, size=240_000)
    )
    assert_unharmed(entry)


def test_trickling_bodies(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(
        1000, lambda: clients.sized_body(declared=250_000, size=200_000)
    )
    attackers.trickle(TRICKLE_ROUNDS, b'x')
    assert_unharmed(entry)


def test_endless_heads(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(4, lambda: clients.endless_header(48_000_000))
    assert_unharmed(entry)


def test_heads_with_many_fields(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(500, lambda: clients.many_headers(8_000))
    assert_unharmed(entry)


def test_pipelined_requests(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(
        500, lambda: clients.pipelined(SHORT_REQUEST, 3_500), reads_little=True
    )
    assert_unharmed(entry)


def test_unread_responses(entry: Running, stack: ExitStack) -> None:
    routing = create_routing(2)
    routing['padding'] = 'x' * 3_000_000
    programs.send_until_ok(
        entry.address,
        PORTS.control,
        programs.encode_post('/api/Config.Put', json.dumps(routing).encode()),
    )
    attackers = Clients(entry, PORTS.control, stack)
    attackers.send_each(
        10, lambda: clients.pipelined(READ_CONFIGURATION, 10), reads_little=True
    )
    assert_unharmed(entry)


def test_connections_only(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    for _ in range(programs.MAX_FDS + 100):
        attackers.connect()
    assert_unharmed(entry)


def test_several_at_once(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.callers, stack)
    attackers.send_each(20, lambda: clients.chunked_body(4_000_000, 65_536))
    attackers.send_each(20, lambda: clients.chunked_body(250_000, 2))
    attackers.send_each(1, lambda: clients.endless_header(48_000_000))
    attackers.send_each(50, lambda: clients.many_headers(8_000))
    for _ in range(programs.MAX_FDS):
        attackers.connect()
    attackers.trickle(1, b'x')
    assert_unharmed(entry)


def test_bodies_to_operators(entry: Running, stack: ExitStack) -> None:
    attackers = Clients(entry, PORTS.control, stack)
    attackers.send_each(60, lambda: clients.chunked_body(4_000_000, 65_536))
    assert_unharmed(entry)


def test_bodies_to_an_agent(agent: Running, stack: ExitStack) -> None:
    attackers = Clients(agent, PORTS.control, stack)
    attackers.send_each(60, lambda: clients.chunked_body(4_000_000, 65_536))
    assert_unharmed(
        agent, programs.AGENT_MEMORY_MB, PORTS.control, SHORT_REQUEST
    )


def test_unfinished_frames(entry: Running, stack: ExitStack) -> None:
    """An entry without a disk accepts links, as seeds do."""
    frame = struct.pack('!II', FRAME_BYTES, 0)
    frame += b'x' * (FRAME_BYTES - UNSENT_FRAME_BYTES)
    attackers = Clients(entry, PORTS.first, stack)
    attackers.send_each(40, lambda: (frame,))
    assert_unharmed(entry)


def test_unfinished_frames_at_a_control_member(
    group: Group, entry: Running, stack: ExitStack
) -> None:
    """The entry is asked afterwards; the group leads it."""
    member = group.running[0]
    frame = struct.pack('!II', FRAME_BYTES, 0)
    frame += b'x' * (FRAME_BYTES - UNSENT_FRAME_BYTES)
    attackers = Clients(member, PORTS.first, stack)
    attackers.send_each(80, lambda: (frame,))
    member.settle()
    assert member.program.is_running()
    assert member.peak_memory_mb() < programs.CONTROL_MEMORY_MB
    assert_answers(entry, PORTS.callers, READ_REQUEST)


def test_a_new_configuration_limits_bodies_of_callers(
    entry: Running, stack: ExitStack
) -> None:
    """A program that ignores the limits, or follows them late, is found."""
    routing = create_routing(3)
    routing['limits']['max_body_bytes'] = 1000
    programs.send_until_ok(
        entry.address,
        PORTS.control,
        programs.encode_post('/api/Config.Put', json.dumps(routing).encode()),
    )
    time.sleep(LIMITS_SECONDS)
    request = programs.encode_post(f'{PREFIX}{"a" * 16}', b' ' * 1001, HOST)
    status = programs.send_request(entry.address, PORTS.callers, request)
    assert status == TOO_LARGE


def test_a_body_of_many_small_values(entry: Running) -> None:
    """Its decoded values take twenty times the memory of its bytes."""
    body = b'{"routes": [' + b'[],' * 2_600_000 + b'[]]}'
    programs.send_request(
        entry.address,
        PORTS.control,
        programs.encode_post('/api/Config.Put', body),
    )
    assert_unharmed(entry)
