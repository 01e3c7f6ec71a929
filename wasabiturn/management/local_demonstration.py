"""Demonstration of ``wasabiturn local``: one request and one batch task."""

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
from wasabiturn.process.daemon import ComponentFactory, Context
from wasabiturn.process.local.programs import SERVICE_NAME, LocalPorts

API_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.2
JOB_NAME = 'plots'
HTTP_OK = 200


@final
@attrs.define(eq=False)
class Demonstration:
    """Creates a service and a job, and prints what happens to them."""

    context: Context
    ports: LocalPorts
    stop_when_done: bool
    _run_deferred: Any = None

    def start(self) -> None:
        """Start the demonstration; the programs may not be ready yet."""
        self._run_deferred = self._run()
        self._run_deferred.addErrback(self._report_failure)

    def drain(self) -> Deferred[None]:
        """Return at once: the other programs drain themselves."""
        return succeed(None)

    def close(self) -> None:
        """Cancel the demonstration if it is still running."""
        if self._run_deferred is not None:
            self._run_deferred.cancel()

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
        _print_line('waiting for the control group to elect a leader')
        yield client.write(
            'PUT', f'/v1/services/{SERVICE_NAME}', _create_service()
        )
        yield client.write('PUT', f'/v1/jobs/{JOB_NAME}', _create_job())
        response = yield self._call_service(client)
        _print_line(
            f'response of the backend server: {json.dumps(response.content)}'
        )
        yield self._wait_for_task(client)
        status = yield read_status(client)
        _print_line(f'status\n\n{render_status(status)}\n')
        self._finish()

    @inlineCallbacks
    def _call_service(self, client: ApiClient) -> Any:
        request = HttpRequest(method='GET', path=f'/{SERVICE_NAME}/quotes/1')
        response = None
        while response is None or response.status != HTTP_OK:
            yield deferLater(self.context.reactor, POLL_SECONDS, _do_nothing)
            response = yield client.sender.send(str(self.ports.caller), request)
        return response

    @inlineCallbacks
    def _wait_for_task(self, client: ApiClient) -> Any:
        state = ''
        while state != 'finished':
            yield deferLater(self.context.reactor, POLL_SECONDS, _do_nothing)
            task = yield client.read(f'/v1/tasks/{JOB_NAME}.0')
            if task['spec']['state'] != state:
                state = task['spec']['state']
                _print_line(
                    f'task {JOB_NAME}.0 is {state}: {task["spec"]["reason"]}'
                )

    def _finish(self) -> None:
        if self.stop_when_done:
            os.kill(os.getpid(), signal.SIGTERM)
            return
        log = self.context.settings.logging.file
        _print_line(f'decisions are logged in {log}; try "wasabiturn status"')
        _print_line(
            f'send requests to http://{self.ports.caller}/{SERVICE_NAME}/...'
        )
        _print_line('press Ctrl-C to stop')

    def _report_failure(self, failure: Any) -> None:
        _print_line(f'the demonstration failed: {failure.value}')


def create_demonstration(
    ports: LocalPorts,
    stop_when_done: bool,
) -> ComponentFactory:
    """Return a factory that creates the demonstration."""

    def create(context: Context) -> Demonstration:
        return Demonstration(
            context=context,
            ports=ports,
            stop_when_done=stop_when_done,
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


def _print_line(text: str) -> None:
    sys.stdout.write(f'local: {text}\n')
    sys.stdout.flush()


def _do_nothing() -> None:
    """Do nothing; called at the end of a delay."""
