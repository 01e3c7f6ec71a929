"""Limits on the clients of a site, on a virtual clock."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from wasabiturn.connection import client_deadlines
from wasabiturn.connection.client_claims import Rank
from wasabiturn.connection.client_guard import (
    MAX_RESERVED,
    ClientBounds,
    ClientGuard,
    create_bounds,
)
from wasabiturn.connection.http_limits import HttpLimits
from wasabiturn.connection.http_messages import HttpRequest, HttpResponse
from wasabiturn.connection.http_site import HttpSite, SiteClients
from wasabiturn.connection.rejections import RejectionCause

GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
HEAD = b'POST /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n'
POST = b'POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc'
BUDGET_BYTES = 50_000
LIMITS = HttpLimits(head_timeout_seconds=3, idle_timeout_seconds=15)


class Client(StringTransport):
    """One client of a site."""

    aborted = False

    def abortConnection(self) -> None:
        self.aborted = True

    def is_ended(self) -> bool:
        return self.aborted or self.disconnecting

    @property
    def status(self) -> int:
        return int(self.value().split()[1]) if self.value() else 0


class Sites:
    """A callers' and an operators' site with a common guard."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.requests: list[HttpRequest] = []
        self.answers: list[Deferred[HttpResponse]] = []
        self.causes: list[RejectionCause] = []
        self.guard = ClientGuard(
            self.clock,
            ClientBounds(BUDGET_BYTES, 40, 8),
            lambda cause, rank: self.causes.append(cause),
        )
        self.site_by_rank = {
            rank: HttpSite(
                self.handle,
                self.clock,
                clients=SiteClients(self.guard, rank, LIMITS),
            )
            for rank in Rank
        }
        self.connections: dict[Client, Any] = {}

    def handle(self, request: HttpRequest) -> Deferred[HttpResponse]:
        self.requests.append(request)
        answer: Deferred[HttpResponse] = Deferred()
        self.answers.append(answer)
        return answer

    def connect(self, rank: Rank = Rank.caller) -> Client | None:
        connection = self.site_by_rank[rank].buildProtocol(None)
        if connection is None:
            return None
        client = Client()
        connection.makeConnection(client)
        self.connections[client] = connection
        return client

    def open(self, received: bytes = b'', rank: Rank = Rank.caller) -> Client:
        client = self.connect(rank)
        assert client is not None
        self.send(client, received)
        return client

    def send(self, client: Client, received: bytes) -> None:
        self.connections[client].dataReceived(received)
        self.clock.pump([0, 0])

    def lose(self, client: Client) -> None:
        self.connections[client].connectionLost()

    def wait(self, seconds: float) -> None:
        self.clock.pump([0.25] * int(seconds * 4))


def test_a_head_has_a_deadline_that_bytes_do_not_renew() -> None:
    sites = Sites()
    client = sites.open(b'GET /a')
    for _ in range(4):
        sites.wait(1)
        sites.send(client, b'a')
    assert client.status == 408
    assert client.is_ended()
    assert sites.causes == [RejectionCause.head_timeout]


def test_a_body_that_trickles_is_rejected_and_a_slow_one_is_not() -> None:
    sites = Sites()
    trickling = sites.open(HEAD)
    slow = sites.open(HEAD)
    piece = b'x' * 2 * client_deadlines.MIN_BODY_BYTES_PER_SECOND
    for _ in range(14):
        sites.send(trickling, b'x')
        sites.send(slow, piece)
        sites.wait(1)
    assert trickling.status == 408
    assert not slow.is_ended()
    assert sites.causes == [RejectionCause.body_rate]


def test_idle_connections_follow_changed_limits() -> None:
    sites = Sites()
    client = sites.open()
    site = sites.site_by_rank[Rank.caller]
    site.limits = HttpLimits(idle_timeout_seconds=75)
    sites.wait(70)
    assert not client.is_ended()
    site.limits = LIMITS
    sites.wait(2)
    assert client.is_ended()


def test_changed_limits_hold_for_open_connections() -> None:
    sites = Sites()
    client = sites.open(GET)
    sites.site_by_rank[Rank.caller].limits = HttpLimits(max_body_bytes=2)
    sites.answers[0].callback(HttpResponse(200))
    client.clear()
    sites.send(client, POST)
    assert client.status == 413


def test_a_pause_of_the_process_ends_no_request_that_has_arrived() -> None:
    """What was sent meanwhile is read before the deadline is checked."""
    sites = Sites()
    client = sites.open(GET[:-2])
    sites.clock.callLater(30, sites.connections[client].dataReceived, b'\r\n')
    sites.clock.advance(30)
    assert not client.is_ended()
    assert len(sites.requests) == 1


def test_the_slowest_unfinished_request_yields_for_memory() -> None:
    sites = Sites()
    slow = sites.open(HEAD + b'x' * 20_000)
    sites.wait(2)
    fast = sites.open(HEAD + b'x' * 40_000)
    assert slow.status == 503
    assert b'Retry-After: 1' in slow.value()
    assert not fast.is_ended()
    assert sites.causes == [RejectionCause.memory]
    assert sites.guard.used_bytes <= BUDGET_BYTES


def test_a_handled_request_does_not_yield_for_memory() -> None:
    sites = Sites()
    body = b'x' * 30_000
    head = b'POST /a HTTP/1.1\r\nContent-Length: 30000\r\n\r\n'
    handled = sites.open(head + body)
    later = sites.open(HEAD + body)
    assert not handled.is_ended()
    assert later.status == 503
    sites.answers[0].callback(HttpResponse(200))
    assert handled.status == 200


def test_a_whole_request_that_finds_no_memory_is_not_handled() -> None:
    """503 means that it was not run."""
    sites = Sites()
    sites.open(
        b'POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n', Rank.trusted
    )
    held = next(iter(sites.connections))
    sites.send(held, b'x' * 60_000)
    sites.send(held, b'x' * 5_000)
    assert held.status == 503
    sites = Sites()
    sites.guard.bounds = ClientBounds(100, 40, 8)
    first = sites.open(
        b'POST /a HTTP/1.1\r\nContent-Length: 6000\r\n\r\n' + b'x' * 6000
    )
    second = sites.open(POST)
    assert first.status == 0
    assert second.status == 503
    assert len(sites.requests) == 1


def test_requests_behind_a_handled_one_stay_within_the_budget() -> None:
    """Each connection queued 17 whole bodies while its first was handled."""
    sites = Sites()
    body = b'POST /a HTTP/1.1\r\nContent-Length: 9000\r\n\r\n' + b'x' * 9000
    clients = [sites.open(POST + body * 3) for _ in range(4)]
    assert sites.guard.used_bytes <= BUDGET_BYTES
    assert len(sites.requests) == 4
    assert RejectionCause.memory in sites.causes
    for answer in sites.answers:
        answer.callback(HttpResponse(200))
    assert all(client.status == 200 for client in clients)


def test_unfinished_request_gets_the_time_in_which_it_was_not_read() -> None:
    sites = Sites()
    sites.guard.bounds = ClientBounds(10_000_000, 40, 8)
    client = sites.open(GET * 18 + HEAD + b'x')
    sites.wait(client_deadlines.RATE_GRACE_SECONDS + 20)
    for number in range(18):
        sites.answers[number].callback(HttpResponse(200))
        sites.clock.pump([0, 0])
    sites.wait(1)
    assert not client.is_ended()


def test_an_operators_body_does_not_yield_to_callers() -> None:
    sites = Sites()
    operator = sites.open(HEAD + b'x' * 45_000, Rank.trusted)
    sites.wait(5)
    caller = sites.open(HEAD + b'x' * 20_000)
    assert caller.is_ended()
    assert not operator.is_ended()


def test_whole_requests_of_callers_leave_room_for_an_operator() -> None:
    """They are never closed, so the operator's must not yield instead."""
    sites = Sites()
    head = b'POST /a HTTP/1.1\r\nContent-Length: 48000\r\n\r\n'
    caller = sites.open(head + b'x' * 48_000)
    operator = sites.open(HEAD + b'x' * 5_000, Rank.trusted)
    other = sites.open(HEAD + b'x' * 5_000)
    assert not caller.is_ended()
    assert not operator.is_ended()
    assert other.status == 503


def test_memory_is_given_back_with_the_connection() -> None:
    sites = Sites()
    client = sites.open(HEAD + b'x' * 40_000)
    assert sites.guard.used_bytes >= 40_000
    sites.lose(client)
    assert not sites.guard.used_bytes
    assert not sites.guard.clients


def test_a_rejection_does_not_answer_an_earlier_request() -> None:
    """The earlier one may be done: an error would say that it was not."""
    sites = Sites()
    client = sites.open(POST + b'nonsense\r\n\r\n')
    assert client.status == 0
    sites.answers[0].callback(HttpResponse(200))
    assert client.status == 200
    assert client.value().count(b'HTTP/1.1') == 1
    assert client.is_ended()


def test_new_clients_replace_silent_ones_and_leave_some_to_operators() -> None:
    sites = Sites()
    for _ in range(100):
        sites.connect()
    assert len(sites.guard.clients) <= 32
    assert sites.connect(Rank.trusted) is not None
    ended = [client for client in sites.connections if client.is_ended()]
    assert ended
    for client in ended:
        sites.lose(client)
    sites.open(GET)
    assert len(sites.requests) == 1
    assert RejectionCause.connections in sites.causes


def test_clients_with_a_whole_request_are_not_replaced() -> None:
    sites = Sites()
    clients = [sites.open(GET) for _ in range(30)]
    for _ in range(9):
        sites.connect()
    assert sites.connect() is None
    assert not any(client.is_ended() for client in clients)


def test_a_client_that_reads_nothing_waits_and_is_closed() -> None:
    sites = Sites()
    client = sites.open(GET + GET)
    connection = sites.connections[client]
    # The transport tells its producer that its buffer is full.
    client.producer.pauseProducing()
    sites.answers[0].callback(HttpResponse(200, b'x' * 1000))
    assert len(sites.requests) == 1
    assert client.producerState == 'paused'
    sites.wait(client_deadlines.READ_TIMEOUT_SECONDS - 1)
    assert not client.aborted
    sites.wait(3)
    assert client.aborted
    assert sites.causes == [RejectionCause.unread]
    connection.connectionLost()


def test_a_client_that_reads_again_is_served() -> None:
    sites = Sites()
    client = sites.open(GET + GET)
    client.producer.pauseProducing()
    sites.answers[0].callback(HttpResponse(200))
    client.producer.resumeProducing()
    sites.answers[1].callback(HttpResponse(200))
    assert client.value().count(b'HTTP/1.1 200') == 2
    assert client.producerState == 'producing'


@pytest.mark.parametrize('count', [17, 500, 3000])
def test_pipelined_requests_are_parsed_as_they_are_handled(count: int) -> None:
    sites = Sites()
    sites.guard.bounds = ClientBounds(1_000_000, 40, 8)
    client = sites.open(GET * count)
    assert sites.guard.used_bytes < len(GET) * count + BUDGET_BYTES * 2
    for number in range(count):
        sites.answers[number].callback(HttpResponse(200))
        sites.clock.pump([0, 0])
    assert client.value().count(b'HTTP/1.1 200') == count


def test_bounds_follow_the_instance() -> None:
    large = create_bounds(memory_mb=424, max_fds=4096)
    assert large.budget_bytes == 84_800_000
    assert large.max_connections == 4096 - 200 - 64
    assert large.reserved_connections == min(3832 // 8, MAX_RESERVED)
    small = create_bounds(memory_mb=128, max_fds=4096)
    assert small.max_connections == 2048
    # No request that is within the limits is over the budget.
    assert small.budget_bytes > 3 * HttpLimits().max_body_bytes
    tiny = create_bounds(memory_mb=128, max_fds=280)
    assert tiny.limit_of(Rank.caller) >= 1


def test_strangers_at_the_operators_address_leave_room_for_callers() -> None:
    sites = Sites()
    for _ in range(3 * sites.guard.bounds.max_connections):
        sites.connect(Rank.trusted)
    caller = sites.connect()
    assert caller is not None
    assert not caller.is_ended()
