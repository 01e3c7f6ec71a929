"""A leader, agents and stand-in workers on one virtual clock, with faults.

Checks while it runs what must always hold: no task runs twice at once on
workers that are up, none after it is done, no step before those it waits for,
and no worker over its room.
"""

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred, fail, maybeDeferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from wasabiturn.connection.calls import CallError
from wasabiturn.connection.dispatch import Dispatch
from wasabiturn.messages.batch import (
    BatchChange,
    EndedRow,
    JobAnswer,
    JobCall,
    JobDeclaration,
    PutRouting,
    Queue,
    Routing,
    StartOrder,
    Step,
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
from wasabiturn.process.agent.runs.port import WorkerIdentity
from wasabiturn.process.control.batch import create_batch_leader
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
COMMIT_SECONDS = 0.01
STEP_SECONDS = 0.01
ANNOUNCE_SECONDS = 1.5
LEASE_MS = 6000
HOST = 'callers.example'
PREFIX = '/queue/'


def step(tasks: int = 1, **fields: Any) -> Step:
    fields = {
        'millicores': 1000,
        'memory_mb': 100,
        'estimate_ms': 1000,
    } | fields
    return Step(tasks=tasks, **fields)


class FakeReplica:
    """A member of the group of which the test decides who leads."""

    name = 'control'

    def __init__(self, clock: Clock, term: int, state: State) -> None:
        self.state = state
        self.on_applied: list[Any] = []
        self.on_restored: list[Callable[[], None]] = []
        self.on_role_change: list[Callable[[], None]] = []
        self.leads = True
        self._clock = clock
        self._term = term

    def submit(self, command: Command) -> Deferred[Outcome]:
        if not self.leads:
            return fail(NotLeaderError(None))
        committed: Deferred[Outcome] = Deferred()
        packed = pack(command)
        self._clock.callLater(COMMIT_SECONDS, self._commit, packed, committed)
        return committed

    def _commit(self, packed: bytes, committed: Deferred[Outcome]) -> None:
        if not self.leads:
            committed.errback(NotLeaderError(None))
            return
        effect = apply_command(self.state, unpack(Command, packed))
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


class FakeLink:
    """The leader's side of a link to one agent."""

    def __init__(self, fleet: 'BatchFleet', agent: 'FakeAgent') -> None:
        self.peer = Hello(name=agent.name)
        self._fleet = fleet
        self._agent = agent

    def notify(self, method: Method, message: Any) -> None:
        if not self._agent.is_cut:
            packed = pack(message)
            self._fleet.clock.callLater(
                LATENCY_SECONDS,
                self._deliver,
                type(message),
                packed,
            )

    def _deliver(self, message_class: type, packed: bytes) -> None:
        if not self._agent.is_cut:
            self._agent.reconciler.apply_orders(unpack(message_class, packed))


class FakeAgent:
    """An agent, its worker, and its way to the leader."""

    def __init__(
        self,
        fleet: 'BatchFleet',
        name: str,
        worker: StandInBatchWorker,
    ) -> None:
        self.name = name
        self.worker = worker
        self.is_cut = False
        self._fleet = fleet
        self.restart()

    def restart(self) -> None:
        old = getattr(self, 'reconciler', None)
        if old is not None:
            old.close()
        self.reconciler = RunReconciler(self.worker, self, self._fleet.clock)

    def announce(self) -> None:
        if self.worker.is_up:
            identity = self.worker.identity
            self.worker.identity = attrs.evolve(
                identity,
                sequence=identity.sequence + 1,
            )
            self.reconciler.announce(self.worker.identity)

    def call(
        self,
        method: Method,
        message: Any,
        reply_class: type,
        timeout_seconds: float,
    ) -> Deferred[Any]:
        answered: Deferred[Any] = Deferred()
        self._fleet.clock.callLater(
            LATENCY_SECONDS,
            self._ask,
            method,
            pack(message),
            type(message),
            answered,
        )
        return answered

    def _ask(
        self,
        method: Method,
        packed: bytes,
        message_class: type,
        answered: Deferred[Any],
    ) -> None:
        if self.is_cut:
            error = CallError(FailureCode.timeout, 'cut off')
            self._fleet.clock.callLater(1, answered.errback, error)
            return
        message = unpack(message_class, packed)
        route = self._fleet.dispatch.calls_by_method[method]
        try:
            reply = route.handler(FakeLink(self._fleet, self), message)
        except CallError as error:
            answered.errback(error)
            return
        self._fleet.clock.callLater(
            LATENCY_SECONDS,
            answered.callback,
            unpack(type(reply), pack(reply)),
        )


class BatchFleet:
    """All of it; ``run`` lets time pass and checks."""

    def __init__(self, workers: int = 3, seed: int = 0) -> None:
        self.clock = Clock()
        self.random = Random(seed)
        self.fault_share = 0.0
        self.next_faults: list[Fault] = []
        self.work_by_job: dict[str, SimulatedWork] = {}
        self.violations: list[str] = []
        self.done: set[str] = set()
        self.noted_at: dict[str, float] = {}
        self.began: list[tuple[float, str, int, str]] = []
        self.ended: list[tuple[float, str, int, RunEnding]] = []
        self._steps_by_job: dict[str, list[Step]] = {}
        self._term = 1
        self._next_announcement = 0.0
        self.replica = FakeReplica(self.clock, self._term, create_state())
        self._begin_to_lead()
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
        agent = FakeAgent(self, f'agent-{number}', worker)
        worker.on_begin.append(
            lambda task, run: self._note_begin(worker, task, run),
        )
        worker.on_end.append(self._note_end)
        worker.on_acknowledged.append(self._note_acknowledged)
        return agent

    # The leader

    def _begin_to_lead(self) -> None:
        self.dispatch = Dispatch(hello=Hello())
        self.leader = create_batch_leader(
            FakeContext(self.clock),  # type: ignore[arg-type]
            self.replica,  # type: ignore[arg-type]
            self.dispatch,
            LEASE_MS,
        )
        self.leader.start()

    def change_leader(self, seconds: float = 1.5) -> None:
        """Lose the leader; another one leads after ``seconds``."""
        self.replica.leads = False
        self.leader.close()
        self.run(seconds)
        self._term += 1
        state = load_state(dump_state(self.replica.state))
        self.replica = FakeReplica(self.clock, self._term, state)
        self._begin_to_lead()

    # Callers and operators

    def ask(self, method: Method, message: Any) -> Any:
        """Call the leader and return its answer."""
        for _ in range(100):
            route = self.dispatch.calls_by_method[method]
            answers: list[Any] = []
            answered = maybeDeferred(route.handler, None, message)
            answered.addBoth(answers.append)
            while not answers:
                self.run(STEP_SECONDS)
            if not isinstance(answers[0], Failure):
                return answers[0]
            answers[0].trap(CallError)
            self.run(STEP_SECONDS * 5)
        raise AssertionError('no answer')

    def put_routing(self, version: int = 1, attempts: int = 2) -> None:
        terms = Terms(
            service_name='service',
            attempts=attempts,
            stretch=2,
            slack_ms=500,
        )
        queue = Queue(
            name='queue',
            host=HOST,
            prefix=PREFIX,
            timeout_ms=3000,
            terms=terms,
        )
        self.run(0.1)
        routing = Routing(version=version, queues=[queue])
        self.ask(Method.put_routing, PutRouting(routing=routing))

    def submit(
        self,
        job_id: str,
        steps: list[Step],
        work: SimulatedWork | None = None,
    ) -> JobAnswer:
        self.work_by_job[job_id] = work or SimulatedWork(seconds=1)
        self._steps_by_job[job_id] = steps
        call = JobCall(
            action=JobAction.submit,
            host=HOST,
            path=f'{PREFIX}{job_id}',
            declaration=JobDeclaration(payload='p', steps=steps),
        )
        answer: JobAnswer = self.ask(Method.job, call)
        return answer

    def cancel(self, job_id: str) -> JobAnswer:
        return self._call(JobAction.cancel, job_id)

    def state_of(self, job_id: str) -> JobState:
        return self._call(JobAction.read, job_id).state

    def _call(self, action: JobAction, job_id: str) -> JobAnswer:
        path = f'{PREFIX}{job_id}'
        call = JobCall(action=action, host=HOST, path=path)
        answer: JobAnswer = self.ask(Method.job, call)
        return answer

    def change(self, change: BatchChange) -> None:
        """Commit a change behind the leader's back is not possible: ask it."""
        for mark in change.marks:
            self.ask(Method.mark_data_centre, mark)

    # Time and checks

    def run(self, seconds: float) -> None:
        """Let time pass in small steps."""
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.clock.seconds() >= self._next_announcement:
                self._next_announcement += ANNOUNCE_SECONDS
                for agent in getattr(self, 'agents', ()):
                    agent.announce()
            self.clock.advance(STEP_SECONDS)
        assert not self.violations, self.violations

    def run_until(self, job_id: str, state: JobState, seconds: float) -> float:
        """Run until a job is in ``state``; return the time that took."""
        began_at = self.clock.seconds()
        while self.clock.seconds() < began_at + seconds:
            if self.state_of(job_id) is state:
                return self.clock.seconds() - began_at
            self.run(0.05)
        raise AssertionError(f'{job_id} is {self.state_of(job_id).name}')

    def running(self) -> dict[str, list[str]]:
        """Return the workers that run each task."""
        workers_by_task: dict[str, list[str]] = {}
        for agent in self.agents:
            for task in agent.worker.runs_by_task:
                name = agent.worker.identity.worker
                workers_by_task.setdefault(task, []).append(name)
        return workers_by_task

    def _choose_work(self, order: StartOrder) -> SimulatedWork:
        return self.work_by_job[order.task.partition('.')[0]]

    def _choose_fault(self) -> Fault:
        if self.next_faults:
            return self.next_faults.pop(0)
        if self.random.random() >= self.fault_share:
            return Fault.none
        return self.random.choice(
            [Fault.answer_lost, Fault.late, Fault.dropped, Fault.refused],
        )

    def _note_begin(
        self,
        worker: StandInBatchWorker,
        task: str,
        run: int,
    ) -> None:
        name = worker.identity.worker
        self.began.append((self.clock.seconds(), task, run, name))
        if task in self.noted_at:
            self.violations.append(f'{task} began after it was noted as done')
        if len(self.running().get(task, ())) > 1:
            self.violations.append(f'{task} runs twice: {self.running()[task]}')
        self._check_order(task)
        self._check_room(worker)

    def _check_order(self, task: str) -> None:
        job, occurrence, number, _ = task.split('.')
        steps = self._steps_by_job[job]
        for earlier in steps[int(number)].after:
            for index in range(steps[earlier].tasks):
                needed = f'{job}.{occurrence}.{earlier}.{index}'
                if needed not in self.done:
                    self.violations.append(f'{task} began before {needed}')

    def _check_room(self, worker: StandInBatchWorker) -> None:
        used = 0
        for task in worker.runs_by_task:
            job, _, number, _ = task.split('.')
            wanted = self._steps_by_job[job][int(number)]
            used += 0 if wanted.fills else wanted.millicores
        if used > worker.identity.millicores:
            self.violations.append(f'{worker.identity.worker} is over its room')

    def _note_end(self, task: str, run: int, ending: RunEnding) -> None:
        self.ended.append((self.clock.seconds(), task, run, ending))
        if ending is RunEnding.done:
            self.done.add(task)

    def _is_lasting(self, task: str) -> bool:
        """Tell whether a task is to be restarted however it ends."""
        job, _, number, _ = task.split('.')
        return self._steps_by_job[job][int(number)].lasting

    def _note_acknowledged(self, row: EndedRow, ended_at: float) -> None:
        if row.ending is not RunEnding.done or self._is_lasting(row.task):
            return
        self.noted_at[row.task] = ended_at
        for at, task, run, _ in self.began:
            if task == row.task and at > ended_at:
                text = f'{task} run {run} began after the end noted now'
                self.violations.append(text)
