"""Simulated leader, agents and workers on a virtual clock, with faults.

While the clock advances, these invariants are checked:

- a task never has two simultaneous runs, on one worker or on several;
- a task isn't started again after it is done;
- a step doesn't start before the steps that it waits for are done;
- no start brings a worker over its capacity; one that has shrunk counts a
  moment later;
- a task that crashes workers isn't started a third time more after the third;
- a job only fails if one of its tasks has failed, or workers crashed under it.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from tests.sessions.capacity_checks import (
    CapacityHistory,
    Size,
    capacity_of,
    size_of,
)
from tests.sessions.process_pauses import Gate, GatedClock
from wasabiturn.batch.placing.locality.state import (
    NO_LOCALITY,
    LocalityTerms,
)
from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.batch import (
    BatchChange,
    EndedRow,
    JobAnswer,
    JobCall,
    JobDeclaration,
    PaceOrder,
    PutRouting,
    Queue,
    Routing,
    StartOrder,
    Step,
    StopOrder,
    Terms,
)
from wasabiturn.messages.codec import pack, unpack
from wasabiturn.messages.kinds import (
    FailureCode,
    JobAction,
    JobState,
    Method,
    RunEnding,
)
from wasabiturn.messages.link import Hello
from wasabiturn.messages.state import Command, Outcome
from wasabiturn.process.agent.runs import RunReconciler
from wasabiturn.process.agent.runs.port import (
    HoldRequest,
    OrderRefusedError,
    RunListing,
    WorkerIdentity,
)
from wasabiturn.process.control.batch import create_batch_leader
from wasabiturn.process.control.batch.starts import TermSettings
from wasabiturn.standins.batch_worker import (
    Fault,
    SimulatedWork,
    StandInBatchWorker,
)
from wasabiturn.version.apply import apply_command
from wasabiturn.version.persistence import dump_state, load_state
from wasabiturn.version.replica import MemberStatus, NotLeaderError
from wasabiturn.version.state import State, create_state

LATENCY_SECONDS = 0.001
COMMIT_LATENCY_SECONDS = 0.01
CLOCK_STEP_SECONDS = 0.01
ANNOUNCE_INTERVAL_SECONDS = 1.5
LEASE_MS = 6000
# From the change: 3 s, and one announcement.
SHRINK_GRACE_SECONDS = 3.0 + ANNOUNCE_INTERVAL_SECONDS
# A worker that a task crashed is back after this time.
REBIRTH_SECONDS = 3.0
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
HOST = 'callers.example'
PREFIX = '/queue/'


def create_step(tasks: int = 1, **fields: Any) -> Step:
    fields = {
        'millicores': 1000,
        'memory_mb': 100,
        'estimate_ms': 1000,
    } | fields
    return Step(tasks=tasks, **fields)


def _create_queue(name: str, service_name: str, attempts: int) -> Queue:
    terms = Terms(
        service_name=service_name,
        attempts=attempts,
        stretch=2,
        slack_ms=500,
    )
    return Queue(
        name=name,
        host=HOST,
        prefix=f'/{name}/',
        timeout_ms=3000,
        terms=terms,
    )


class FakeReplica:
    """Replica of the state; the test decides whether it is the leader."""

    name = 'control'

    def __init__(self, clock: Clock, term: int, state: State) -> None:
        self.state = state
        self.on_applied: list[Any] = []
        self.on_restored: list[Callable[[], None]] = []
        self.on_role_change: list[Callable[[], None]] = []
        self.leads = True
        # How long a commit takes; none overtakes an earlier one.
        self.commit_seconds = COMMIT_LATENCY_SECONDS
        self._newest_commit_at = 0.0
        # When the clock of the state was last set.
        self.clock_set_at = clock.seconds()
        self._clock = clock
        self._term = term

    def submit(self, command: Command) -> Deferred[Outcome]:
        if not self.leads:
            return fail(NotLeaderError(None))
        committed: Deferred[Outcome] = Deferred()
        packed = pack(command)
        now = self._clock.seconds()
        commit_at = max(now + self.commit_seconds, self._newest_commit_at)
        self._newest_commit_at = commit_at
        self._clock.callLater(commit_at - now, self._commit, packed, committed)
        return committed

    def _commit(self, packed: bytes, committed: Deferred[Outcome]) -> None:
        if not self.leads:
            committed.errback(NotLeaderError(None))
            return
        clock_ms = self.state.batch.clock_ms
        effect = apply_command(self.state, unpack(Command, packed))
        if self.state.batch.clock_ms != clock_ms:
            self.clock_set_at = self._clock.seconds()
        committed.callback(effect.outcome)

    def read_barrier(self) -> Deferred[None]:
        barrier: Deferred[None] = Deferred()
        self._clock.callLater(0, barrier.callback, None)
        return barrier

    def leader(self) -> str | None:
        return self.name if self.leads else None

    def holds_lease(self, now: float) -> bool:
        return self.leads

    def member_status(self) -> MemberStatus:
        return MemberStatus(role='leader', term=self._term, members=())


@attrs.define
class FakeContext:
    reactor: Clock


@attrs.frozen
class SentStart:
    """Start order that an agent sent to one incarnation of its worker."""

    at: float
    task: str
    run: int
    worker: str
    born_ms: int


class FakeLink:
    """Leader's end of a link to one agent."""

    def __init__(self, fleet: 'BatchFleet', agent: 'FakeAgent') -> None:
        self.peer = Hello(name=agent.name, incarnation=agent.incarnation)
        self._fleet = fleet
        self._agent = agent

    @property
    def is_open(self) -> bool:
        return self.peer.incarnation == self._agent.incarnation

    def notify(self, method: Method, message: Any) -> None:
        self._send(message, lambda receipt: None)

    def call(
        self,
        method: Method,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Deferred[Any]:
        pending_reply: Deferred[Any] = Deferred()
        clock = self._fleet.clock
        error = CallError(FailureCode.timeout, 'no reply in time')
        timer = clock.callLater(timeout_seconds, pending_reply.errback, error)

        def complete(packed: bytes) -> None:
            if timer.active() and not self._agent.is_partitioned:
                timer.cancel()
                pending_reply.callback(unpack(reply_class, packed))

        self._send(
            message,
            lambda reply: clock.callLater(
                LATENCY_SECONDS, complete, pack(reply)
            ),
        )
        return pending_reply

    def _send(self, message: Any, on_reply: Callable[[Any], Any]) -> None:
        if not self._agent.is_partitioned:
            self._fleet.clock.callLater(
                self._agent.notice_delay_seconds,
                self._deliver,
                type(message),
                pack(message),
                on_reply,
            )

    def _deliver(
        self,
        message_class: type,
        packed: bytes,
        on_reply: Callable[[Any], Any],
    ) -> None:
        if not self._agent.is_partitioned:
            self._agent.gate.run(
                lambda: on_reply(
                    self._agent.reconciler.apply_orders(
                        unpack(message_class, packed)
                    )
                )
            )


class FakePort:
    """Port of one agent process to its worker; closed, it sends nothing.

    As ``WorkerPort`` says, another life than the one in ``identity`` gets no
    acknowledgement. Starts still reach it, which is more than the port allows.
    """

    def __init__(
        self, fleet: 'BatchFleet', worker: StandInBatchWorker, gate: Gate
    ) -> None:
        self._fleet = fleet
        self._worker = worker
        self._gate = gate
        self._is_closed = False
        # The worker answers stops with an error.
        self.refuses_stops = False

    def close(self) -> None:
        self._is_closed = True

    def hold(
        self, identity: WorkerIdentity, hold: HoldRequest
    ) -> Deferred[RunListing]:
        if self._is_another_life(identity):
            hold = attrs.evolve(hold, acknowledged=0)
        return self._send(self._worker.hold, identity, hold)

    def start(
        self,
        identity: WorkerIdentity,
        order: StartOrder,
        fence: int,
        lease_until_ms: int,
    ) -> Deferred[int]:
        if not self._is_closed:
            self._fleet.start_orders.append(
                SentStart(
                    at=self._fleet.clock.seconds(),
                    task=order.task,
                    run=order.run,
                    worker=identity.worker,
                    born_ms=identity.born_ms,
                )
            )
        start = self._worker.start
        return self._send(start, identity, order, fence, lease_until_ms)

    def stop(
        self, identity: WorkerIdentity, order: StopOrder, fence: int
    ) -> Deferred[None]:
        if self.refuses_stops:
            return fail(OrderRefusedError('status 503'))
        return self._send(self._worker.stop, identity, order, fence)

    def pace(
        self, identity: WorkerIdentity, order: PaceOrder, fence: int
    ) -> Deferred[None]:
        return self._send(self._worker.pace, identity, order, fence)

    def _is_another_life(self, identity: WorkerIdentity) -> bool:
        is_other = self._worker.identity.life != identity.life
        return self._worker.is_up and is_other

    def _send(
        self, call: Callable[..., Deferred[Any]], *arguments: Any
    ) -> Deferred[Any]:
        if self._is_closed:
            return Deferred()
        return self._gate.forward(call(*arguments))


class FakeAgent:
    """Agent with its worker and its connection to the leader."""

    def __init__(
        self,
        fleet: 'BatchFleet',
        name: str,
        worker: StandInBatchWorker,
    ) -> None:
        self.name = name
        self.worker = worker
        self.is_partitioned = False
        # How long a notice of the leader takes.
        self.notice_delay_seconds = LATENCY_SECONDS
        self.incarnation = ''
        self._processes = 0
        self._fleet = fleet
        self.reconciler = self._start_process()

    def restart(self) -> None:
        self.reconciler.close()
        self._port.close()
        self.reconciler = self._start_process()

    def pause(self) -> None:
        """Halt the process; it goes on with ``resume``, or restarts."""
        self.gate.pause()

    def resume(self) -> None:
        self.gate.resume()

    def _start_process(self) -> RunReconciler:
        self._processes += 1
        self.incarnation = f'{self.name}/{self._processes}'
        self.gate = Gate()
        self._port = FakePort(self._fleet, self.worker, self.gate)
        clock = GatedClock(self._fleet.clock, self.gate)
        return RunReconciler(self._port, self, clock)

    def refuse_control(self) -> None:
        """Have the worker refuse what would keep late orders away."""
        self.worker.refuses_holds = True
        self._port.refuses_stops = True

    def accept_control(self) -> None:
        self.worker.refuses_holds = False
        self._port.refuses_stops = False

    def announce_draining(self) -> None:
        identity = self.worker.identity
        self.worker.identity = attrs.evolve(identity, is_draining=True)
        self.announce()

    def announce(self) -> None:
        if self.worker.is_up:
            identity = self.worker.identity
            self.worker.identity = attrs.evolve(
                identity,
                sequence=identity.sequence + 1,
            )
            self.gate.run(self.reconciler.announce, self.worker.identity)

    def call(
        self,
        method: Method,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Deferred[Any]:
        pending_reply: Deferred[Any] = Deferred()
        self._fleet.clock.callLater(
            LATENCY_SECONDS,
            self._deliver_call,
            method,
            pack(message),
            type(message),
            pending_reply,
        )
        return self.gate.forward(pending_reply)

    def _deliver_call(
        self,
        method: Method,
        packed: bytes,
        message_class: type,
        pending_reply: Deferred[Any],
    ) -> None:
        if self.is_partitioned:
            error = CallError(
                FailureCode.timeout, 'the agent cannot reach the leader'
            )
            self._fleet.clock.callLater(1, pending_reply.errback, error)
            return
        message = unpack(message_class, packed)
        route = self._fleet.dispatch.calls_by_method.get(method)
        if route is None:
            error = CallError(FailureCode.unknown_method, method.name)
            pending_reply.errback(error)
            return
        try:
            reply = route.handler(FakeLink(self._fleet, self), message)
        except CallError as error:
            pending_reply.errback(error)
            return
        self._fleet.clock.callLater(
            LATENCY_SECONDS,
            pending_reply.callback,
            unpack(type(reply), pack(reply)),
        )


class BatchFleet:
    """Leader, agents and workers; ``run`` advances the clock and checks."""

    def __init__(
        self,
        workers: int = 3,
        seed: int = 0,
        locality_terms: LocalityTerms = NO_LOCALITY,
    ) -> None:
        self.locality_terms = locality_terms
        self.clock = Clock()
        self.random = Random(seed)
        # Probability that an order to a worker gets a random fault.
        self.fault_probability = 0.0
        # Faults of the next orders; used before random faults.
        self.next_faults: list[Fault] = []
        self.work_by_job: dict[str, SimulatedWork] = {}
        # Work of single tasks that differs from that of their jobs.
        self.work_by_task: dict[str, SimulatedWork] = {}
        # A worker that a task crashed comes back under its name.
        self.keeps_names = False
        # Crashes that each task caused, and crashes under it of any cause.
        self.caused_crashes: Counter[str] = Counter()
        self.crashes_by_task: Counter[str] = Counter()
        self.starts_after_crashes: Counter[str] = Counter()
        self.violations: list[str] = []
        self.done_tasks: set[str] = set()
        # End time of each task acknowledged as done, except lasting tasks.
        self.acknowledged_ends: dict[str, float] = {}
        # Time, task, run number and worker of each start.
        self.run_starts: list[tuple[float, str, int, str]] = []
        # Time, task, run number and ending of each end.
        self.run_ends: list[tuple[float, str, int, RunEnding]] = []
        # Start orders that agents sent to their workers.
        self.start_orders: list[SentStart] = []
        self._active_runs: set[tuple[str, int]] = set()
        self._steps_by_job: dict[str, list[Step]] = {}
        self._queues_by_document: dict[bytes, list[Queue]] = {}
        self._capacities_by_worker: dict[
            StandInBatchWorker, CapacityHistory
        ] = {}
        self._term = 1
        self._next_announcement_at = 0.0
        self.replica = FakeReplica(self.clock, self._term, create_state())
        self._start_leader()
        self.agents = [
            self._create_agent(number) for number in range(1, workers + 1)
        ]
        self.put_routing()

    def _create_agent(self, number: int) -> FakeAgent:
        identity = WorkerIdentity(
            worker=f'worker-{number}',
            born_ms=number,
            service_name='service',
            data_centre=f'dc-{number}',
            rack=f'r{number}-1',
            labels=('a', f'r{number}-1'),
            millicores=4000,
            memory_mb=4000,
            accelerators=0,
        )
        worker = StandInBatchWorker(
            clock=self.clock,
            identity=identity,
            choose_work=self._choose_work,
            choose_fault=self._choose_fault,
            clock_rate=1 - 0.02 * (number % 2),
        )
        self._capacities_by_worker[worker] = CapacityHistory(
            grace_seconds=SHRINK_GRACE_SECONDS, current=capacity_of(identity)
        )
        agent = FakeAgent(self, f'agent-{number}', worker)
        worker.on_begin.append(
            lambda task, run: self._record_start(worker, task, run),
        )
        worker.on_end.append(self._record_end)
        worker.on_task_crash.append(
            lambda task, _: self._record_task_crash(agent, task)
        )
        worker.on_acknowledged.append(self._record_acknowledged_end)
        return agent

    # Leader

    def _start_leader(self) -> None:
        self.dispatch = Dispatch(hello=Hello())
        self.leader = create_batch_leader(
            FakeContext(self.clock),  # type: ignore[arg-type]
            self.replica,  # type: ignore[arg-type]
            self.dispatch,
            TermSettings(LEASE_MS, self.locality_terms),
            read_queues=self._read_queues,
        )
        self.leader.start()

    def change_leader(
        self, seconds: float = 1.5, *, was_up: bool = False
    ) -> None:
        """Stop the leader, and start another one after ``seconds``.

        That one has just begun to read the clock of the state, unless it
        ``was_up`` and has followed all changes.
        """
        self.replica.leads = False
        self.leader.close()
        self.run(seconds)
        self._term += 1
        clock_set_at = self.replica.clock_set_at
        state = load_state(dump_state(self.replica.state))
        self.replica = FakeReplica(self.clock, self._term, state)
        self._start_leader()
        if was_up:
            self.replica.clock_set_at = clock_set_at
            state_clock = self.leader._clock_follower._state_clock
            state_clock.noted_at = clock_set_at

    # Callers and operators

    def _read_queues(self, document: bytes) -> list[Queue]:
        return self._queues_by_document.get(document, [])

    def call_leader(self, method: Method, message: Any) -> Any:
        """Call the leader, retrying after errors, and return its answer."""
        for _ in range(100):
            route = self.dispatch.calls_by_method[method]
            answers: list[Any] = []
            pending_reply = maybeDeferred(route.handler, None, message)
            pending_reply.addBoth(answers.append)
            while not answers:
                self.run(CLOCK_STEP_SECONDS)
            if not isinstance(answers[0], Failure):
                return answers[0]
            answers[0].trap(CallError)
            self.run(CLOCK_STEP_SECONDS * 5)
        raise AssertionError('all attempts to call the leader failed')

    def put_routing(
        self,
        version: int = 1,
        attempts: int = 2,
        other_services: Sequence[str] = (),
    ) -> None:
        """Commit a queue of ``service``, and one of each other service."""
        queues = [_create_queue('queue', 'service', attempts)]
        queues.extend(
            _create_queue(name, name, attempts) for name in other_services
        )
        self.run(0.1)
        document = b'%d' % version
        self._queues_by_document[document] = queues
        routing = Routing(version=version, document=document)
        self.call_leader(Method.put_routing, PutRouting(routing=routing))

    def submit(
        self,
        job_id: str,
        steps: list[Step],
        work: SimulatedWork | None = None,
        queue: str = 'queue',
    ) -> JobAnswer:
        call = self.create_submission(job_id, steps, work)
        call = attrs.evolve(call, path=f'/{queue}/{job_id}')
        answer: JobAnswer = self.call_leader(Method.job, call)
        return answer

    def create_submission(
        self,
        job_id: str,
        steps: list[Step],
        work: SimulatedWork | None = None,
    ) -> JobCall:
        """Return the call that submits a job, whose work is simulated."""
        self.work_by_job[job_id] = work or SimulatedWork(seconds=1)
        self._steps_by_job[job_id] = steps
        return JobCall(
            action=JobAction.submit,
            host=HOST,
            path=f'{PREFIX}{job_id}',
            declaration=JobDeclaration(payload='p', steps=steps),
        )

    def cancel(self, job_id: str) -> JobAnswer:
        return self._call_job(JobAction.cancel, job_id)

    def read_state(self, job_id: str) -> JobState:
        return self._call_job(JobAction.read, job_id).state

    def count_pending(self) -> int:
        call = JobCall(action=JobAction.count, host=HOST, path=PREFIX)
        answer: JobAnswer = self.call_leader(Method.job, call)
        return answer.pending

    def _call_job(self, action: JobAction, job_id: str) -> JobAnswer:
        path = f'{PREFIX}{job_id}'
        call = JobCall(action=action, host=HOST, path=path)
        answer: JobAnswer = self.call_leader(Method.job, call)
        return answer

    def mark_data_centres(self, change: BatchChange) -> None:
        """Send the marks of a change to the leader.

        They can't be committed directly, bypassing the leader.
        """
        for mark in change.marks:
            self.call_leader(Method.mark_data_centre, mark)

    # Time and checks

    def run(self, seconds: float) -> None:
        """Advance the clock in small steps, then check for violations."""
        for _ in range(round(seconds / CLOCK_STEP_SECONDS)):
            if self.clock.seconds() >= self._next_announcement_at:
                self._next_announcement_at += ANNOUNCE_INTERVAL_SECONDS
                for agent in getattr(self, 'agents', ()):
                    agent.announce()
            self._record_capacities()
            self.clock.advance(CLOCK_STEP_SECONDS)
        self._check_failed_jobs()
        assert not self.violations, self.violations

    def run_until(self, job_id: str, state: JobState, seconds: float) -> float:
        """Run until a job is in ``state``; return the seconds that took."""
        began_at = self.clock.seconds()
        while self.clock.seconds() < began_at + seconds:
            if self.read_state(job_id) is state:
                return self.clock.seconds() - began_at
            self.run(0.05)
        raise AssertionError(
            f'{job_id} is in the state {self.read_state(job_id).name}'
        )

    def find_workers_by_task(self) -> dict[str, list[str]]:
        """Return the workers that run each task."""
        workers_by_task: dict[str, list[str]] = {}
        for agent in self.agents:
            for task in agent.worker.runs_by_task:
                name = agent.worker.identity.worker
                workers_by_task.setdefault(task, []).append(name)
        return workers_by_task

    def _choose_work(self, order: StartOrder) -> SimulatedWork:
        if order.task in self.work_by_task:
            return self.work_by_task[order.task]
        return self.work_by_job[order.task.partition('.')[0]]

    def _choose_fault(self) -> Fault:
        if self.next_faults:
            return self.next_faults.pop(0)
        if self.random.random() >= self.fault_probability:
            return Fault.none
        return self.random.choice(
            [Fault.answer_lost, Fault.late, Fault.dropped, Fault.refused],
        )

    def _record_start(
        self,
        worker: StandInBatchWorker,
        task: str,
        run: int,
    ) -> None:
        name = worker.identity.worker
        self.run_starts.append((self.clock.seconds(), task, run, name))
        if task in self.acknowledged_ends:
            self.violations.append(
                f'{task} started after its end was acknowledged'
            )
        if len(self.find_workers_by_task().get(task, ())) > 1:
            self.violations.append(
                f'{task} has two runs: {self.find_workers_by_task()[task]}'
            )
        if any(active == task for active, _ in self._active_runs):
            self.violations.append(
                f'{task} run {run} started on {name} beside an earlier run'
            )
        self._active_runs.add((task, run))
        self._check_crashes(task)
        self._check_step_order(task)
        self._check_capacity(worker, task)

    def _check_crashes(self, task: str) -> None:
        if self.caused_crashes[task] < MAX_CRASHES:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            self.violations.append(
                f'{task} started again after its crashes of workers'
            )

    def _check_failed_jobs(self) -> None:
        for job in self.replica.state.batch.jobs_by_id.values():
            if job.state is JobState.failed and not self._may_fail(job.job_id):
                self.violations.append(f'{job.job_id} failed without cause')

    def _may_fail(self, job_id: str) -> bool:
        prefix = f'{job_id}.'
        if any(
            task.startswith(prefix) and ending is RunEnding.failed
            for _, task, _, ending in self.run_ends
        ):
            return True
        return any(
            task.startswith(prefix) and crashes > 1
            for task, crashes in self.crashes_by_task.items()
        )

    def _check_step_order(self, task: str) -> None:
        job, occurrence, step_index, _ = task.split('.')
        steps = self._steps_by_job[job]
        for earlier in steps[int(step_index)].after:
            for task_index in range(steps[earlier].tasks):
                needed = f'{job}.{occurrence}.{earlier}.{task_index}'
                if needed not in self.done_tasks:
                    self.violations.append(
                        f'{task} started before the end of {needed}'
                    )

    def _check_capacity(self, worker: StandInBatchWorker, task: str) -> None:
        """Check a start beside all that runs, and that is being stopped."""
        used = sum(
            (size_of(self._find_step(each)) for each in worker.runs_by_task),
            start=Size(),
        )
        self._record_capacities()
        exceeded = self._capacities_by_worker[worker].find_exceeded(
            used, size_of(self._find_step(task))
        )
        if exceeded:
            self.violations.append(
                f'{task} brings {worker.identity.worker} over its capacity: '
                f'{exceeded} at {self.clock.seconds():.2f}'
            )

    def _record_capacities(self) -> None:
        now = self.clock.seconds()
        for worker, capacities in self._capacities_by_worker.items():
            capacities.record(capacity_of(worker.identity), now)

    def _find_step(self, task: str) -> Step:
        job, _, step_index, _ = task.split('.')
        return self._steps_by_job[job][int(step_index)]

    def _record_end(self, task: str, run: int, ending: RunEnding) -> None:
        self.run_ends.append((self.clock.seconds(), task, run, ending))
        self._active_runs.discard((task, run))
        if ending is RunEnding.lost:
            self.crashes_by_task[task] += 1
            self.clock.callLater(0.05, self._break_gang, task, run)
        if ending is RunEnding.done:
            self.done_tasks.add(task)

    def _break_gang(self, lost_task: str, run: int) -> None:
        """End the other members of a gang of which one was lost."""
        job, occurrence, step_index, _ = lost_task.split('.')
        if not self._steps_by_job[job][int(step_index)].gang:
            return
        prefix = f'{job}.{occurrence}.{step_index}.'
        for agent in self.agents:
            for each in list(agent.worker.runs_by_task.values()):
                if each.task.startswith(prefix) and each.run == run:
                    agent.worker.break_run(each)

    def _record_task_crash(self, agent: FakeAgent, task: str) -> None:
        self.caused_crashes[task] += 1
        self.clock.callLater(REBIRTH_SECONDS, self._bring_back, agent)

    def _bring_back(self, agent: FakeAgent) -> None:
        if not agent.worker.is_up:
            name = f'{agent.name}-at-{self.clock.seconds():.2f}'
            agent.worker.start_incarnation('' if self.keeps_names else name)

    def _is_lasting(self, task: str) -> bool:
        """Return whether a task is restarted however it ends."""
        return self._find_step(task).lasting

    def _record_acknowledged_end(self, row: EndedRow, ended_at: float) -> None:
        if row.ending is not RunEnding.done or self._is_lasting(row.task):
            return
        self.acknowledged_ends[row.task] = ended_at
        for started_at, task, run, _ in self.run_starts:
            if task == row.task and started_at > ended_at:
                violation = (
                    f'{task} run {run} started after the acknowledged end'
                )
                self.violations.append(violation)
