"""Answers whose body arrives after the deadline of the request."""

from tests.process.agent.fakes import AgentHarness

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n'


def test_body_that_keeps_arriving_may_pass_the_deadline() -> None:
    harness = AgentHarness()
    seen = harness.request(b'', timeout_ms=1000)
    backend = harness.reactor.connections[0]
    backend.send(HEAD + b'abc')
    harness.settle()
    harness.advance(2.0)
    backend.send(b'def')
    harness.settle()
    assert seen.events == ['answered 200', 'end after 6 bytes']
    assert seen.body == b'abcdef'


def test_body_that_stalls_past_the_deadline_is_reset() -> None:
    harness = AgentHarness()
    seen = harness.request(b'', timeout_ms=1000)
    harness.reactor.connections[0].send(HEAD + b'abc')
    harness.settle()
    harness.advance(5.5)
    assert seen.events == ['answered 200', 'reset: deadline has passed']
