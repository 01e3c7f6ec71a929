"""Simulated cluster on a virtual clock, with fault injection.

A message between instances takes ``LATENCY_SECONDS`` plus the extra delay of
the network. It is lost if the route from its sender to its receiver is cut when
it is sent.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import attrs
from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.connection.worker import read_listing
from wasabiturn.connection.worker_messages import (
    Listing,
    RefusedByPlatformError,
    RunName,
    RunRequest,
    WorkerDownError,
)
from wasabiturn.exceptions import PlatformError
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import FailureCode, Kind, Method
from wasabiturn.messages.link import Hello
from wasabiturn.messages.state import (
    Capacity,
    Command,
    DataCentreSpec,
    JobSpec,
    Outcome,
    PutResource,
    Resource,
    ServiceSpec,
    TaskSpec,
)
from wasabiturn.process.agent.attempt_manager import AttemptManager
from wasabiturn.process.control.scheduler import Scheduler, create_scheduler
from wasabiturn.standins.worker import StandInWorker
from wasabiturn.standins.worker_runs import (
    RunOrder,
    RunRefusedError,
    StandInRun,
)
from wasabiturn.utils.metrics import NoMetrics
from wasabiturn.version.apply import apply_command
from wasabiturn.version.replica import AppliedCommand, NotLeaderError
from wasabiturn.version.state import State, create_state

LATENCY_SECONDS = 0.001
COMMIT_SECONDS = 0.004
STEP_SECONDS = 0.05
# A start in a data centre that has been out for longer than this is a fault.
OUT_GRACE_SECONDS = 3
TASK_SIZE = Capacity(4, 1000, 0)


@attrs.define
class FakeInstance:
    name: str
    data_centre: str
    rack: str = 'rack-1'


@attrs.define
class FakeSettings:
    instance: FakeInstance


@attrs.define
class FakeContext:
    settings: Any
    reactor: Any
    metrics: Any


class PausableClock:
    """Clock of one process; timers that expire in a pause run after it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.paused = False
        self.delayed_calls: list[Callable[[], None]] = []
        self.seconds = clock.seconds

    def callLater(self, delay: float, call: Any, *args: Any, **kw: Any) -> Any:
        def run() -> None:
            if self.paused:
                self.delayed_calls.append(run)
            else:
                call(*args, **kw)

        return self.clock.callLater(delay, run)

    def resume(self) -> None:
        self.paused = False
        delayed_calls, self.delayed_calls = self.delayed_calls, []
        for run in delayed_calls:
            run()


class Network:
    """Deliver messages late, drop them on cut routes, hold them when frozen."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.cut_routes: set[tuple[str, str]] = set()
        self.deliveries_by_frozen_name: dict[str, list[Callable[[], None]]] = {}
        self.extra_seconds = 0.0

    def send(self, source: str, target: str, deliver: Any) -> None:
        if (source, target) not in self.cut_routes:
            delay = LATENCY_SECONDS + self.extra_seconds
            self.clock.callLater(delay, self._arrive, target, deliver)

    def _arrive(self, target: str, deliver: Callable[[], None]) -> None:
        if target in self.deliveries_by_frozen_name:
            self.deliveries_by_frozen_name[target].append(deliver)
        else:
            deliver()


class FakeReplica:
    """One member of a group whose members share a single state.

    A command is applied ``commit_seconds`` of the cluster after it was
    submitted.
    """

    def __init__(self, name: str, cluster: 'Cluster') -> None:
        self.name = name
        self.cluster = cluster
        self.on_applied: list[Any] = []
        self.on_restored: list[Any] = []
        self.on_role_change: list[Any] = []

    @property
    def state(self) -> State:
        return self.cluster.state

    def submit(self, command: Command) -> Deferred[Outcome]:
        if self.cluster.leader != self.name:
            return fail(NotLeaderError(None))
        done: Deferred[Outcome] = Deferred()
        clock = self.cluster.clock
        clock.callLater(
            self.cluster.commit_seconds, self._commit, command, done
        )
        return done

    def _commit(self, command: Command, done: Deferred[Outcome]) -> None:
        if self.cluster.leader == self.name:
            done.callback(self.cluster.apply(command))
        else:
            done.errback(NotLeaderError(None))

    def read_barrier(self) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self.cluster.clock.callLater(COMMIT_SECONDS, done.callback, None)
        return done

    def leader(self) -> str | None:
        return self.cluster.leader

    def holds_lease(self, now: float) -> bool:
        return self.cluster.leader == self.name

    def is_fresh(self, now: float) -> bool:
        return True


class ControlInstance:
    def __init__(self, name: str, cluster: 'Cluster') -> None:
        self.replica = FakeReplica(name, cluster)
        self.dispatch = Dispatch(hello=Hello(name=name))
        settings = FakeSettings(FakeInstance(name, 'dc-control'))
        self.scheduler: Scheduler = create_scheduler(
            FakeContext(settings, cluster.clock, NoMetrics()),
            self.replica,
            self.dispatch,
        )
        self.scheduler.start()


class FakeLink:
    """Connection from a control instance to one agent process."""

    def __init__(self, cluster: 'Cluster', control: str, agent: 'Agent'):
        self.cluster = cluster
        self.control = control
        self.agent = agent

    def notify(self, method: Method, message: Any) -> None:
        body = pack(message)
        self.cluster.network.send(
            self.control,
            self.agent.name,
            lambda: self.agent.receive(method, body),
        )


class FakeSession:
    """Session of an agent; sends each call to all control instances."""

    def __init__(self, cluster: 'Cluster', agent: 'Agent') -> None:
        self.cluster = cluster
        self.agent = agent
        self.links: dict[str, FakeLink] = {}

    def call_leader(
        self,
        method: Method,
        message: Any,
        reply_class: type[Any],
        timeout_seconds: float,
    ) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        timer = self.cluster.clock.callLater(
            timeout_seconds,
            done.errback,
            CallError(FailureCode.outcome_unknown, 'no reply in time'),
        )
        body = pack(message)
        for name, control in self.cluster.controls.items():
            link = self.links.setdefault(
                name,
                FakeLink(self.cluster, name, self.agent),
            )

            def deliver(control: Any = control, link: Any = link) -> None:
                route = control.dispatch.calls_by_method[method]
                received = unpack(route.message_class, body)
                try:
                    reply = pack(route.handler(link, received))
                except CallError:
                    return
                self.cluster.network.send(
                    link.control,
                    self.agent.name,
                    lambda: self._reply(done, timer, reply_class, reply),
                )

            self.cluster.network.send(self.agent.name, name, deliver)
        return done

    def _reply(
        self,
        done: Deferred[Any],
        timer: Any,
        reply_class: Any,
        reply: bytes,
    ) -> None:
        if self.agent.alive and not done.called:
            timer.cancel()
            done.callback(unpack(reply_class, reply))


class FakeWorkerClient:
    """Worker client without HTTP; agent and worker share one clock."""

    def __init__(self, cluster: 'Cluster', agent: str, worker: Any) -> None:
        self.cluster = cluster
        self.agent = agent
        self.worker = worker
        self.name = f'{agent}/worker'

    def fetch_listing(self) -> Deferred[Listing]:
        return self._call(lambda: read_listing(self.worker.describe()))

    def start(self, request: RunRequest) -> Deferred[None]:
        order = RunOrder(
            task=request.task,
            attempt=request.attempt,
            size=request.size,
            kind=request.task_kind,
            command=request.command,
            checkpoint=request.checkpoint,
            run_seconds=request.run_seconds,
            throttle=request.throttle,
            start_until=request.start_until,
            lease_until=request.lease_until,
            incarnation=request.incarnation,
        )
        return self._call(lambda: self.worker.start_run(order))

    def renew(self, names: list[RunName], until: float) -> Deferred[None]:
        runs = self.worker.runs
        return self._call(
            lambda: [
                runs.renew((name.task, name.attempt), until) for name in names
            ],
        )

    def throttle(self, name: RunName, share: float) -> Deferred[None]:
        key = (name.task, name.attempt)
        return self._call(lambda: self.worker.runs.throttle(key, share))

    def checkpoint(self, name: RunName) -> Deferred[str]:
        key = (name.task, name.attempt)
        return self._call(lambda: self.worker.runs.checkpoint(key))

    def stop(self, name: RunName) -> Deferred[None]:
        key = (name.task, name.attempt)
        return self._call(lambda: self.worker.runs.stop(key, 'asked to stop'))

    def forget(self, name: RunName) -> Deferred[None]:
        key = (name.task, name.attempt)
        return self._call(lambda: self.worker.runs.forget(key))

    def close(self) -> Deferred[None]:
        return Deferred()

    def _call(self, operation: Callable[[], Any]) -> Deferred[Any]:
        done: Deferred[Any] = Deferred()
        network = self.cluster.network
        timer = self.cluster.clock.callLater(
            2,
            lambda: done.errback(PlatformError('no answer')),
        )

        def finish(settle: Any, value: Any) -> None:
            if timer.active():
                timer.cancel()
                settle(value)

        def arrive() -> None:
            try:
                self._check_listens()
                value = operation()
            except WorkerDownError as error:
                self._send_result(finish, done.errback, error)
            except RunRefusedError as refusal:
                self._send_result(
                    finish,
                    done.errback,
                    RefusedByPlatformError(str(refusal)),
                )
            except LookupError:
                self._send_result(
                    finish,
                    done.errback,
                    RefusedByPlatformError('no such run'),
                )
            else:
                self._send_result(finish, done.callback, value)

        network.send(self.agent, self.name, arrive)
        return done

    def _check_listens(self) -> None:
        if self.agent in self.cluster.down_workers:
            raise WorkerDownError('nothing listens')

    def _send_result(self, finish: Any, settle: Any, value: Any) -> None:
        self.cluster.network.send(
            self.name,
            self.agent,
            lambda: finish(settle, value),
        )


class Agent:
    """One incarnation of an agent process."""

    def __init__(
        self,
        cluster: 'Cluster',
        name: str,
        data_centre: str,
        worker: StandInWorker,
        incarnation: int,
        rack: str = 'rack-1',
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.alive = True
        self.clock = PausableClock(cluster.clock)
        self.dispatch = Dispatch(
            hello=Hello(name=name, incarnation=f'{name}-{incarnation}'),
        )
        settings = FakeSettings(FakeInstance(name, data_centre, rack))
        self.attempts = AttemptManager(
            context=FakeContext(settings, self.clock, NoMetrics()),  # type: ignore
            session=FakeSession(cluster, self),
            dispatch=self.dispatch,
            platform=FakeWorkerClient(cluster, name, worker),
        )
        self.attempts.start()

    def receive(self, method: Method, body: bytes) -> None:
        if self.alive:
            route = self.dispatch.calls_by_method[method]
            route.handler(None, unpack(route.message_class, body))

    def kill(self) -> None:
        self.alive = False
        self.clock.paused = True


class Cluster:
    """Control instances, agents and workers.

    ``lines`` is the log of the session; ``faults`` lists violated invariants.
    """

    def __init__(
        self,
        data_centres: dict[str, str],
        capacity: Capacity | None = None,
        control_count: int = 2,
    ) -> None:
        self.clock = Clock()
        self.commit_seconds = COMMIT_SECONDS
        self.network = Network(self.clock)
        self.state = create_state()
        self.lines: list[str] = []
        self.faults: list[str] = []
        self.out_since_by_data_centre: dict[str, float] = {}
        # Starts of each task without a checkpoint.
        self.fresh_starts: Counter[str] = Counter()
        self.leader: str | None = 'c1'
        self.controls = {
            f'c{number}': ControlInstance(f'c{number}', self)
            for number in range(1, control_count + 1)
        }
        self.capacity = capacity or Capacity(16, 64_000, 2)
        self.data_centre_by_worker = data_centres
        self.workers: dict[str, StandInWorker] = {}
        self.agents: dict[str, Agent] = {}
        self.last_incarnation = 0
        self.down_workers: set[str] = set()
        for name, data_centre in data_centres.items():
            self.workers[name] = self._create_worker(name, data_centre)
            self.start_agent(name)

    def advance(self, seconds: float) -> None:
        elapsed = 0.0
        while elapsed < seconds - STEP_SECONDS / 2:
            self.clock.advance(STEP_SECONDS)
            elapsed += STEP_SECONDS

    def put(self, resource: Resource) -> Outcome:
        put = PutResource(resource=resource, expected_revision=-1)
        return self.apply(Command(put=put))

    def put_job(self, name: str, team: str = 'default', **fields: Any) -> None:
        values = {
            'tasks': 1,
            'size': TASK_SIZE,
            'run_seconds': 5.0,
            'idempotent': True,
            'task_kind': 'render',
        }
        spec = JobSpec(**{**values, **fields})
        self._put_resource(Kind.job, name, team=team, job_spec=spec)

    def put_service(self, name: str, **fields: Any) -> None:
        values = {'replicas': 1, 'size': TASK_SIZE, 'task_kind': 'web'}
        spec = ServiceSpec(**{**values, **fields})
        self._put_resource(Kind.service, name, service_spec=spec)

    def take_out(self, data_centre: str, is_out: bool = True) -> None:
        spec = DataCentreSpec(out=is_out)
        if is_out:
            self.out_since_by_data_centre.setdefault(
                data_centre, self.clock.seconds()
            )
        else:
            self.out_since_by_data_centre.pop(data_centre, None)
        self._put_resource(Kind.data_centre, data_centre, data_centre_spec=spec)

    def _put_resource(self, kind: Kind, name: str, **fields: Any) -> None:
        values = {'team': 'default', **fields}
        resource = Resource(kind=kind, name=name, **values)
        assert self.put(resource).text == ''

    def apply(self, command: Command) -> Outcome:
        effect = apply_command(self.state, command)
        applied = AppliedCommand(
            index=0,  # type: ignore
            command=command,
            outcome=effect.outcome,
            changes=effect.changes,
        )
        for change in effect.changes:
            self._log_change(change.resource, change.removed)
        for control in self.controls.values():
            for callback in control.replica.on_applied:
                callback(applied)
        return effect.outcome

    def set_leader(self, name: str | None) -> None:
        if self.leader == name:
            return
        self.leader = name
        self._log(f'leader {name}')
        for control in self.controls.values():
            for callback in control.replica.on_role_change:
                callback()

    def restart_agent(self, name: str) -> None:
        self.kill_agent(name)
        self._log(f'start agent {name}')
        self.start_agent(name)

    def start_agent(self, name: str) -> None:
        self.last_incarnation += 1
        self.agents[name] = Agent(
            self,
            name,
            self.data_centre_by_worker[name],
            self.workers[name],
            self.last_incarnation,
        )

    def kill_agent(self, name: str) -> None:
        if self.agents[name].alive:
            self._log(f'kill agent {name}')
            self.agents[name].kill()

    def crash_worker(self, name: str, down_seconds: float = 0) -> None:
        """Restart a worker; it loses its runs and all it knew.

        Nothing listens there for ``down_seconds``.
        """
        self._log(f'crash worker {name}')
        self.workers[name].restart()
        if down_seconds:
            self.down_workers.add(name)
            self.clock.callLater(down_seconds, self.down_workers.discard, name)

    def freeze(self, name: str) -> None:
        """Hold messages to ``name``, and its timers, until ``thaw``."""
        self._log(f'freeze {name}')
        self.network.deliveries_by_frozen_name.setdefault(name, [])
        if name in self.agents:
            self.agents[name].clock.paused = True

    def thaw(self, name: str) -> None:
        self._log(f'thaw {name}')
        for deliver in self.network.deliveries_by_frozen_name.pop(name, []):
            deliver()
        if name in self.agents and self.agents[name].alive:
            self.agents[name].clock.resume()

    def cut(self, source: str, target: str) -> None:
        self._log(f'cut {source} to {target}')
        self.network.cut_routes.add((source, target))

    def heal(self) -> None:
        self._log('heal')
        self.network.cut_routes.clear()

    def task(self, name: str) -> TaskSpec:
        spec = self.state.resources_by_kind[Kind.task][name].task_spec
        assert spec is not None
        return spec

    def tasks(self) -> Iterator[TaskSpec]:
        for name in self.state.resources_by_kind[Kind.task]:
            yield self.task(name)

    def running(self) -> list[tuple[str, StandInRun]]:
        return [
            (name, run)
            for name, worker in self.workers.items()
            for run in worker.runs.running()
        ]

    def _create_worker(self, name: str, data_centre: str) -> StandInWorker:
        worker = StandInWorker(
            clock=self.clock,
            capacity=self.capacity,
            interference_by_pair={},
            usage_lag_seconds=5,
        )
        worker.runs._record = lambda event, run: self._record_run(
            name,
            event,
            run,
        )
        worker.start()
        return worker

    def _record_run(self, worker: str, event: str, run: StandInRun) -> None:
        run_name = f'{run.order.task}#{run.order.attempt}'
        if event == 'start':
            self._check_start(worker, run, run_name)
            resumed = run.order.checkpoint or 'the beginning'
            self._log(f'{worker} starts {run_name} from {resumed}')
        else:
            reason = f' ({run.reason})' if run.reason else ''
            self._log(f'{worker} ends {run_name} {run.state.name}{reason}')

    def _check_start(self, worker: str, run: StandInRun, run_name: str) -> None:
        out_since = self.out_since_by_data_centre.get(
            self.data_centre_by_worker[worker], float('inf')
        )
        if self.clock.seconds() > out_since + OUT_GRACE_SECONDS:
            self.faults.append(f'{run_name} started on {worker}, which is out')
        if not run.order.checkpoint:
            self.fresh_starts[run.order.task] += 1
        for other_worker, active_run in self.running():
            if (
                active_run is not run
                and active_run.order.task == run.order.task
            ):
                self.faults.append(f'{run_name} on {worker} and {other_worker}')
        cores = sum(
            active_run.order.size.cores
            for worker_name, active_run in self.running()
            if worker_name == worker
        )
        if cores > self.capacity.cores + 1e-6:
            self.faults.append(f'{worker} over capacity with {run_name}')

    def _log_change(self, resource: Resource, is_removed: bool) -> None:
        spec = resource.task_spec
        if is_removed:
            self._log(f'removed {resource.name}')
        elif spec is not None:
            at = f' on {spec.worker}' if spec.worker else ''
            why = f': {spec.reason}' if spec.reason else ''
            self._log(
                f'{resource.name}#{spec.attempt} {spec.state.name}{at}{why}',
            )
        elif resource.data_centre_spec is not None:
            state = 'out' if resource.data_centre_spec.out else 'in'
            self._log(f'data centre {resource.name} {state}')

    def _log(self, line: str) -> None:
        self.lines.append(f'{self.clock.seconds():8.2f} {line}')
