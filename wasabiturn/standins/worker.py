"""Stand-in for the platform's worker: HTTP and JSON over timers.

Run it with ``python -m wasabiturn.standins.worker --listen 127.0.0.1:9100``.
"""

import json
from collections import deque
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated, Any, final

import attrs
import cattrs
import typer
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import Site

from wasabiturn.connection.dialer import parse_endpoint
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
    due: float
    sample: dict[str, Any]


@final
class StandInWorker:
    """One worker: its runs, its late usage reports, its record file."""

    def __init__(
        self,
        clock: Any,
        capacity: Capacity,
        interference_by_pair: dict[tuple[str, str], float],
        usage_lag_seconds: float = 0.0,
        record: Any = None,
    ) -> None:
        """Create an idle worker; ``record`` takes text lines, if given."""
        self.capacity = capacity
        self.runs = RunTable(clock, interference_by_pair, self._record_run)
        self._clock = clock
        self._lag_seconds = usage_lag_seconds
        self._record = record
        self._usage: deque[_DueSample] = deque()
        self._sampler = LoopingCall(self._sample_usage)
        self._sampler.clock = clock

    def start(self) -> None:
        """Begin to sample usage."""
        self._sampler.start(USAGE_PERIOD_SECONDS, now=False)

    def stop(self) -> None:
        """Stop sampling."""
        if self._sampler.running:
            self._sampler.stop()

    def describe(self) -> dict[str, Any]:
        """Return the state that ``GET /v1/state`` answers."""
        self.runs.refresh()
        return {
            'now': self.runs.now(),
            'capacity': attrs.asdict(self.capacity),
            'runs': [_describe(run) for run in self.runs.runs_by_name.values()],
            'usage': self._take_due_usage(),
        }

    def _sample_usage(self) -> None:
        self.runs.refresh()
        due = self.runs.now() + self._lag_seconds
        for run in self.runs.running():
            sample = {
                'task': run.order.task,
                'attempt': run.order.attempt,
                'used': attrs.asdict(run.used()),
                'lag_seconds': self._lag_seconds,
                'progress': run.rate,
            }
            self._usage.append(_DueSample(due, sample))

    def _take_due_usage(self) -> list[dict[str, Any]]:
        due = []
        while self._usage and self._usage[0].due <= self.runs.now():
            due.append(self._usage.popleft().sample)
        return due

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
        """Serve ``worker``."""
        super().__init__()
        self._worker = worker
        self._runs = worker.runs

    def render(self, request: Any) -> bytes:
        """Answer one request with JSON."""
        parts = [part.decode() for part in request.postpath if part]
        body = request.content.read()
        sent = json.loads(body) if body else {}
        try:
            answer = self._answer(request.method, parts, sent)
        except RunRefusedError as refusal:
            return _fail(request, _CONFLICT, str(refusal))
        except LookupError:
            return _fail(request, _NOT_FOUND, 'no such run')
        request.setHeader('content-type', 'application/json')
        return json.dumps(answer).encode()

    def _answer(self, method: bytes, parts: list[str], sent: Any) -> Any:
        match parts:
            case ['v1', 'state']:
                return self._worker.describe()
            case ['v1', 'runs']:
                self._runs.start(_converter.structure(sent, RunOrder))
            case ['v1', 'leases']:
                self._renew(sent)
            case ['v1', 'runs', task, attempt]:
                self._runs.forget((task, int(attempt)))
            case ['v1', 'runs', task, attempt, verb]:
                return self._act((task, int(attempt)), verb, sent)
            case _:
                raise LookupError(parts)
        return {}

    def _renew(self, sent: Any) -> None:
        for run in sent['runs']:
            name = (run['task'], run['attempt'])
            self._runs.renew(name, sent['lease_until'])

    def _act(self, name: tuple[str, int], verb: str, sent: Any) -> Any:
        match verb:
            case 'stop':
                self._runs.stop(name, 'asked to stop')
            case 'throttle':
                self._runs.throttle(name, sent['share'])
            case 'checkpoint':
                return {'checkpoint': self._runs.checkpoint(name)}
            case _:
                raise LookupError(verb)
        return {}


def create_worker_site(worker: StandInWorker) -> Site:
    """Create the HTTP site of a stand-in worker."""
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
        typer.Option(help='slowed:slowing=share; may be repeated'),
    ] = None,
) -> None:
    """Run one stand-in worker until it is ended."""
    from twisted.internet import reactor

    clock: Any = reactor
    use_boot_clock(clock)
    use_boot_clock(clock)
    with ExitStack() as stack:
        worker = StandInWorker(
            clock=clock,
            capacity=Capacity(cores, memory_mb, accelerators),
            interference_by_pair=dict(map(_parse_pair, interference or [])),
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
    lines = stack.enter_context(record.open('a', encoding='utf-8', buffering=1))
    return lambda line: lines.write(f'{line}\n')


def _parse_pair(text: str) -> tuple[tuple[str, str], float]:
    names, _, share = text.partition('=')
    slowed, _, slowing = names.partition(':')
    return (slowed, slowing), float(share)


def _describe(run: StandInRun) -> dict[str, Any]:
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


def _fail(request: Any, code: int, text: str) -> bytes:
    request.setResponseCode(code)
    request.setHeader('content-type', 'application/json')
    return json.dumps({'error': text}).encode()


if __name__ == '__main__':
    typer.run(run_worker)
