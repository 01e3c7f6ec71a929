"""Jobs that wait for an answer of the group."""

from twisted.internet.defer import Deferred

from wasabiturn.connection.calls import CallError
from wasabiturn.messages.batch import JobDeclaration, Step
from wasabiturn.messages.footprint import measure_declaration
from wasabiturn.messages.kinds import FailureCode
from wasabiturn.process.entry.memory_room import MemoryRoom
from wasabiturn.process.entry.waiting_jobs import WaitingJobs

JOB = JobDeclaration(steps=[Step() for _ in range(100)])


class Group:
    """Calls that the test answers."""

    def __init__(self) -> None:
        self.calls: list[Deferred[str]] = []

    def send(self) -> Deferred[str]:
        self.calls.append(Deferred())
        return self.calls[-1]


def hold(waiting: WaitingJobs, group: Group, job: JobDeclaration | None) -> str:
    """Return what became of a job that was sent."""
    outcomes: list[str] = []
    held = waiting.hold(job, group.send)
    held.addCallbacks(outcomes.append, lambda failure: failure.value.code.name)
    held.addCallback(lambda code: code and outcomes.append(code))
    return outcomes[0] if outcomes else ''


def test_jobs_beyond_the_room_are_not_sent_until_others_are_answered() -> None:
    group = Group()
    waiting = WaitingJobs(MemoryRoom(2 * measure_declaration(JOB).memory_bytes))
    outcomes = [hold(waiting, group, JOB) for _ in range(3)]
    assert outcomes == ['', '', FailureCode.unavailable.name]
    assert len(group.calls) == 2
    group.calls[0].callback('done')
    group.calls[1].errback(CallError(FailureCode.outcome_unknown, ''))
    assert waiting.room.reserved_bytes == 0
    assert not hold(waiting, group, JOB)


def test_a_single_job_is_sent_however_large_it_is() -> None:
    group = Group()
    waiting = WaitingJobs(MemoryRoom(1))
    assert not hold(waiting, group, JOB)
    assert waiting.room.reserved_bytes > 1


def test_a_read_is_always_sent() -> None:
    group = Group()
    waiting = WaitingJobs(MemoryRoom(1))
    hold(waiting, group, JOB)
    assert not hold(waiting, group, None)
    assert len(group.calls) == 2
