"""One served request and one batch task, shown at the start of ``local``."""

import json
import os
import signal
import sys
from typing import Any, final

import attrs
from twisted.internet.defer import Deferred, inlineCallbacks, succeed
from twisted.internet.task import deferLater

from wasabiturn.management.http_client import ApiClient, HttpRequest
from wasabiturn.management.http_sender import HttpClientSender
from wasabiturn.management.status import read_status
from wasabiturn.management.status_view import render_status
from wasabiturn.process.daemon import Context, ServiceFactory
from wasabiturn.process.local.programs import SERVICE, LocalPorts

API_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.2
JOB = 'plots'
HTTP_OK = 200


@final
@attrs.define(eq=False)
class Demonstration:
    """Declares a service and a job, and shows what becomes of them."""

    context: Context
    ports: LocalPorts
    stops_after: bool
    _running: Any = None

    def start(self) -> None:
        """Begin; the programs are started but not yet ready."""
        self._running = self._run()
        self._running.addErrback(self._fail)

    def drain(self) -> Deferred[None]:
        """Do nothing: the programs drain themselves."""
        return succeed(None)

    def close(self) -> None:
        """Stop what is not done."""
        if self._running is not None:
            self._running.cancel()

    @inlineCallbacks
    def _run(self) -> Any:
        reactor = self.context.reactor
        client = ApiClient(
            servers=[str(self.ports.control_api)],
            token='',
            timeout_seconds=API_TIMEOUT_SECONDS,
            sender=HttpClientSender(reactor),
            clock=reactor,
        )
        _say('waiting for control to elect its leader')
        yield client.write('PUT', f'/v1/services/{SERVICE}', _create_service())
        yield client.write('PUT', f'/v1/jobs/{JOB}', _create_job())
        answer = yield self._call_service(client)
        _say(f'the backend server answered: {json.dumps(answer.content)}')
        yield self._wait_for_task(client)
        status = yield read_status(client)
        _say(f'status\n\n{render_status(status)}\n')
        self._finish()

    @inlineCallbacks
    def _call_service(self, client: ApiClient) -> Any:
        request = HttpRequest(method='GET', path=f'/{SERVICE}/quotes/1')
        answer = None
        while answer is None or answer.status != HTTP_OK:
            yield deferLater(self.context.reactor, POLL_SECONDS, _nothing)
            answer = yield client.sender.send(str(self.ports.caller), request)
        return answer

    @inlineCallbacks
    def _wait_for_task(self, client: ApiClient) -> Any:
        state = ''
        while state != 'finished':
            yield deferLater(self.context.reactor, POLL_SECONDS, _nothing)
            task = yield client.read(f'/v1/tasks/{JOB}.0')
            if task['spec']['state'] != state:
                state = task['spec']['state']
                _say(f'task {JOB}.0 is {state}: {task["spec"]["reason"]}')

    def _finish(self) -> None:
        if self.stops_after:
            os.kill(os.getpid(), signal.SIGTERM)
            return
        log = self.context.settings.logging.file
        _say(f'decisions are in {log}; try "wasabiturn status"')
        _say(f'callers: http://{self.ports.caller}/{SERVICE}/...')
        _say('Ctrl-C stops')

    def _fail(self, failure: Any) -> None:
        _say(f'the demonstration failed: {failure.value}')


def create_demonstration(
    ports: LocalPorts,
    stops_after: bool,
) -> ServiceFactory:
    """Return the factory of the demonstration."""

    def create(context: Context) -> Demonstration:
        return Demonstration(
            context=context,
            ports=ports,
            stops_after=stops_after,
        )

    return create


def _create_service() -> dict[str, Any]:
    return {'spec': {'replicas': 0, 'size': {'cores': 1, 'memory_mb': 100}}}


def _create_job() -> dict[str, Any]:
    return {
        'spec': {
            'tasks': 1,
            'size': {'cores': 1, 'memory_mb': 100},
            'run_seconds': 2,
            'idempotent': True,
            'task_kind': 'plotter',
        },
    }


def _say(text: str) -> None:
    sys.stdout.write(f'local: {text}\n')
    sys.stdout.flush()


def _nothing() -> None:
    """Do nothing after a pause."""
