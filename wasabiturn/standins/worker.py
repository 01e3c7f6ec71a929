"""Stand-in for a worker of the platform, with its HTTP interface.

Runs of tasks are simulated by timers. Start it with
``python -m wasabiturn.standins.worker --listen 127.0.0.1:9100``.
"""

import json
from collections import deque
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated, Any, final
from uuid import uuid4

import attrs
import cattrs
import typer
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import Site

from wasabiturn.connection.endpoint import parse_endpoint
from wasabiturn.messages.kinds import AttemptState
from wasabiturn.messages.state import Capacity
from wasabiturn.process.daemon import listen
from wasabiturn.standins.worker_runs import (
    RunOrder,
    RunRefusedError,
    RunTable,
    StandInRun,
)
from wasabiturn.utils.clock import use_boot_clock

USAGE_PERIOD_SECONDS = 2.0
_CONFLICT = 409
_NOT_FOUND = 404
_converter = cattrs.Converter()


@final
@attrs.frozen
class _DueSample:
    due_at: float
    sample: dict[str, Any]


@final
class StandInWorker:
    """One worker with its runs and its delayed usage samples."""

    def __init__(
        self,
        clock: Any,
        capacity: Capacity,
        interference_by_pair: dict[tuple[str, str], float],
        usage_lag_seconds: float = 0.0,
        record: Any = None,
    ) -> None:
        """Create an idle worker.

        ``record``, if given, is called with a JSON line for each start and end
        of a run.
        """
        self.capacity = capacity
        self.incarnation = uuid4().hex
        self.runs = RunTable(clock, interference_by_pair, self._record_run)
        self._clock = clock
        self._lag_seconds = usage_lag_seconds
        self._record = record
        self._usage: deque[_DueSample] = deque()
        self._sampler = LoopingCall(self._sample_usage)
        self._sampler.clock = clock

    def start(self) -> None:
        """Start sampling usage."""
        self._sampler.start(USAGE_PERIOD_SECONDS, now=False)

    def stop(self) -> None:
        """Stop sampling usage."""
        if self._sampler.running:
            self._sampler.stop()

    def restart(self) -> None:
        """Lose all runs and all memory of them, as a crash does."""
        self.runs.clear()
        self._usage.clear()
        self.incarnation = uuid4().hex

    def start_run(self, order: RunOrder) -> None:
        """Start a run, unless the order is for another incarnation.

        Raises:
            RunRefusedError: the run was not started.
        """
        if order.incarnation not in {'', self.incarnation}:
            raise RunRefusedError('the start is for another incarnation')
        self.runs.start(order)

    def describe(self) -> dict[str, Any]:
        """Return the body of the response to ``GET /v1/state``."""
        self.runs.refresh()
        return {
            'now': self.runs.now(),
            'incarnation': self.incarnation,
            'capacity': attrs.asdict(self.capacity),
            'runs': [
                _describe_run(run) for run in self.runs.runs_by_name.values()
            ],
            'usage': self._take_due_usage(),
        }

    def _sample_usage(self) -> None:
        self.runs.refresh()
        due_at = self.runs.now() + self._lag_seconds
        for run in self.runs.running():
            sample = {
                'task': run.order.task,
                'attempt': run.order.attempt,
                'used': attrs.asdict(run.used()),
                'lag_seconds': self._lag_seconds,
                'progress': run.rate,
            }
            self._usage.append(_DueSample(due_at, sample))

    def _take_due_usage(self) -> list[dict[str, Any]]:
        samples = []
        while self._usage and self._usage[0].due_at <= self.runs.now():
            samples.append(self._usage.popleft().sample)
        return samples

    def _record_run(self, event: str, run: StandInRun) -> None:
        if self._record is None:
            return
        line = {
            'at': round(self.runs.now(), 6),
            'event': event,
            'task': run.order.task,
            'attempt': run.order.attempt,
            'state': run.state.name,
            'reason': run.reason,
            'progress': round(run.progress_seconds, 3),
        }
        self._record(json.dumps(line))


@final
class WorkerResource(Resource):
    """HTTP interface of the stand-in worker."""

    isLeaf = True  # noqa: N815 - name given by twisted.web

    def __init__(self, worker: StandInWorker) -> None:
        """Create the HTTP interface of ``worker``."""
        super().__init__()
        self._worker = worker
        self._runs = worker.runs

    def render(self, request: Any) -> bytes:
        """Return the JSON response to a request."""
        path_parts = [part.decode() for part in request.postpath if part]
        body = request.content.read()
        payload = json.loads(body) if body else {}
        try:
            answer = self._dispatch(request.method, path_parts, payload)
        except RunRefusedError as refusal:
            return _render_error(request, _CONFLICT, str(refusal))
        except LookupError:
            return _render_error(request, _NOT_FOUND, 'no such run')
        request.setHeader('content-type', 'application/json')
        return json.dumps(answer).encode()

    def _dispatch(
        self,
        method: bytes,
        path_parts: list[str],
        payload: Any,
    ) -> Any:
        match path_parts:
            case ['v1', 'state']:
                return self._worker.describe()
            case ['v1', 'runs']:
                self._worker.start_run(_converter.structure(payload, RunOrder))
            case ['v1', 'leases']:
                self._renew_leases(payload)
            case ['v1', 'runs', task, attempt]:
                self._runs.forget((task, int(attempt)))
            case ['v1', 'runs', task, attempt, action]:
                return self._perform_action(
                    (task, int(attempt)),
                    action,
                    payload,
                )
            case _:
                raise LookupError(path_parts)
        return {}

    def _renew_leases(self, payload: Any) -> None:
        for run in payload['runs']:
            name = (run['task'], run['attempt'])
            self._runs.renew(name, payload['lease_until'])

    def _perform_action(
        self,
        name: tuple[str, int],
        action: str,
        payload: Any,
    ) -> Any:
        match action:
            case 'stop':
                self._runs.stop(name, 'asked to stop')
            case 'throttle':
                self._runs.throttle(name, payload['share'])
            case 'checkpoint':
                return {'checkpoint': self._runs.checkpoint(name)}
            case _:
                raise LookupError(action)
        return {}


def create_worker_site(worker: StandInWorker) -> Site:
    """Return the HTTP site of a stand-in worker."""
    return Site(WorkerResource(worker))


def run_worker(
    address: Annotated[str, typer.Option('--listen', help='ip:port')],
    cores: float = 16,
    memory_mb: int = 64_000,
    accelerators: int = 0,
    usage_lag_seconds: float = 5,
    record: Path | None = None,
    interference: Annotated[
        list[str] | None,
        typer.Option(
            help='slowed:slowing=share, for two task kinds; may be repeated'
        ),
    ] = None,
) -> None:
    """Run a stand-in worker until the process is stopped."""
    from twisted.internet import reactor

    clock: Any = reactor
    use_boot_clock(clock)
    use_boot_clock(clock)
    with ExitStack() as stack:
        worker = StandInWorker(
            clock=clock,
            capacity=Capacity(cores, memory_mb, accelerators),
            interference_by_pair=dict(
                map(_parse_interference, interference or []),
            ),
            usage_lag_seconds=usage_lag_seconds,
            record=_open_record(record, stack),
        )
        worker.start()
        endpoint = parse_endpoint(address)
        port = listen(clock, endpoint, create_worker_site(worker))
        stack.callback(port.stopListening)
        clock.run()


def _open_record(record: Path | None, stack: ExitStack) -> Any:
    if record is None:
        return None
    stream = stack.enter_context(
        record.open('a', encoding='utf-8', buffering=1),
    )
    return lambda line: stream.write(f'{line}\n')


def _parse_interference(text: str) -> tuple[tuple[str, str], float]:
    """Parse ``slowed:slowing=share``."""
    names, _, share = text.partition('=')
    slowed, _, slowing = names.partition(':')
    return (slowed, slowing), float(share)


def _describe_run(run: StandInRun) -> dict[str, Any]:
    return {
        'task': run.order.task,
        'attempt': run.order.attempt,
        'state': run.state.name,
        'size': attrs.asdict(run.order.size),
        'kind': run.order.kind,
        'checkpoint': run.checkpoint,
        'reason': run.reason,
        'run_seconds': _run_seconds(run),
    }


def _run_seconds(run: StandInRun) -> float:
    if run.state is AttemptState.running:
        return run.progress_seconds
    return run.ended_at - run.started_at


def _render_error(request: Any, code: int, text: str) -> bytes:
    request.setResponseCode(code)
    request.setHeader('content-type', 'application/json')
    return json.dumps({'error': text}).encode()


if __name__ == '__main__':
    typer.run(run_worker)
