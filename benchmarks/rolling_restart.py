"""Restart every entry and agent in turn, under load behind a load balancer.

``python -m benchmarks.rolling_restart`` prints the outcomes of the requests; a
planned stop must not interrupt any.
"""

import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.defer import DeferredList, inlineCallbacks
from twisted.internet.task import LoopingCall, deferLater, react
from twisted.internet.threads import deferToThread
from twisted.web.client import Agent, readBody

from benchmarks.soak.callers import Callers, CallOutcome
from benchmarks.soak.fleet import SERVICE, Fleet, FleetSize, create_fleet
from wasabiturn.connection.endpoint import Endpoint

WARM_UP_SECONDS = 8.0
PROBE_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0
SETTLE_SECONDS = 4.0
CALLER_LOOPS = 24
CALLER_PAUSE_SECONDS = 0.02
ROLES = ('entry', 'agent')


class Balancer:
    """Load balancer that keeps a list of the entries that report ready."""

    def __init__(self, reactor: Any, entries: list[Endpoint]) -> None:
        self.ready = list(entries)
        self._entries = entries
        self._reactor = reactor
        self._agent = Agent(reactor, connectTimeout=PROBE_TIMEOUT_SECONDS)

    def probe(self) -> None:
        """Ask each entry whether it is ready."""
        for entry in self._entries:
            url = f'http://{entry}/-/ready'.encode()
            pending = self._agent.request(b'GET', url)
            pending.addTimeout(PROBE_TIMEOUT_SECONDS, self._reactor)
            pending.addCallback(self._handle_response, entry)
            pending.addErrback(self._handle_failure, entry)

    def _handle_response(self, response: Any, entry: Endpoint) -> Any:
        self._set_status(entry, response.code)
        return readBody(response)

    def _handle_failure(self, failure: Any, entry: Endpoint) -> None:
        self._set_status(entry, 0)

    def _set_status(self, entry: Endpoint, status: int) -> None:
        if entry in self.ready:
            self.ready.remove(entry)
        if status == 200:
            self.ready.append(entry)


@inlineCallbacks
def run(reactor: Any) -> Any:
    """Run one rolling restart and print the outcomes of the requests."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = create_fleet(Path(folder), FleetSize())
        try:
            yield _restart_under_load(reactor, fleet)
        finally:
            fleet.stop()
            fleet.kill()


@inlineCallbacks
def _restart_under_load(reactor: Any, fleet: Fleet) -> Any:
    fleet.start()
    yield deferLater(reactor, WARM_UP_SECONDS)
    entries = [fleet.endpoint('entry-1'), fleet.endpoint('entry-2')]
    balancer = Balancer(reactor, entries)
    poll = LoopingCall(balancer.probe)
    poll.start(PROBE_SECONDS)
    callers = Callers(reactor, balancer.ready, SERVICE, Random(1))
    loops = callers.start(CALLER_LOOPS, CALLER_PAUSE_SECONDS)
    names = [name for name in fleet.programs_by_name if name.startswith(ROLES)]
    for name in names:
        program = fleet.programs_by_name[name]
        program.terminate()
        status = yield deferToThread(program.wait)
        program.start()
        print(f'{name} stopped with status {status}', flush=True)
        yield deferLater(reactor, SETTLE_SECONDS)
    callers.stop()
    yield DeferredList(loops)
    poll.stop()
    _report(callers)


def _report(callers: Callers) -> None:
    outcomes = Counter(
        (record.kind.value, ending.value)
        for record in callers.records_by_id.values()
        for ending in record.outcomes
    )
    for (kind, ending), count in sorted(outcomes.items()):
        print(f'{kind:12}{ending:14}{count}')
    for record in callers.records_by_id.values():
        if set(record.outcomes) != {CallOutcome.answered}:
            print(record.request_id, record.kind.value, record.texts)


if __name__ == '__main__':
    react(run)
