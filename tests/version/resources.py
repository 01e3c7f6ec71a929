"""Builders of resources and commands for tests."""

from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import (
    Capacity,
    ClaimRequest,
    ClaimRequests,
    Command,
    ConfigurationSpec,
    DeleteResource,
    JobSpec,
    PutResource,
    RecordAnswer,
    RecordAnswers,
    Resource,
    ServiceSpec,
    TaskSpec,
    TaskTransition,
    TeamSpec,
    UpdateTasks,
)
from wasabiturn.version.state import State


def configuration(value: str, name: str = 'policy') -> Resource:
    spec = ConfigurationSpec(settings={'value': value})
    return Resource(
        kind=Kind.configuration,
        name=name,
        configuration_spec=spec,
    )


def service(replicas: int, team: str = 'default') -> Resource:
    spec = ServiceSpec(replicas=replicas, size=Capacity(cores=2, memory_mb=64))
    return Resource(
        kind=Kind.service, name='desk', team=team, service_spec=spec
    )


def job(tasks: int, team: str = 'default', cancelled: bool = False) -> Resource:
    spec = JobSpec(tasks=tasks, size=Capacity(cores=1), cancelled=cancelled)
    return Resource(kind=Kind.job, name='plots', team=team, job_spec=spec)


def team(name: str, cores: float) -> Resource:
    spec = TeamSpec(quota=Capacity(cores=cores, memory_mb=1000))
    return Resource(kind=Kind.team, name=name, team_spec=spec)


def put(
    resource: Resource,
    expected: int = -1,
    request_id: str = '',
    actor_team: str = '',
) -> Command:
    body = PutResource(
        resource=resource,
        expected_revision=expected,
        actor_team=actor_team,
    )
    return Command(request_id=request_id, put=body)


def delete(kind: Kind, name: str, expected: int = -1) -> Command:
    body = DeleteResource(kind=kind, name=name, expected_revision=expected)
    return Command(remove=body)


def move(state: State, name: str, target: TaskState) -> Command:
    """Build a transition of a task from its current state to ``target``."""
    spec = task_spec(state, name)
    moved = TaskSpec(
        owner_kind=spec.owner_kind,
        owner=spec.owner,
        number=spec.number,
        state=target,
        attempt=spec.attempt + 1,
    )
    transition = TaskTransition(
        task=name,
        expected_attempt=spec.attempt,
        expected_state=spec.state,
        task_spec=moved,
    )
    return Command(update_tasks=UpdateTasks(transitions=[transition]))


def task_spec(state: State, name: str) -> TaskSpec:
    spec = state.resources_by_kind[Kind.task][name].task_spec
    assert spec is not None
    return spec


def claim(claim_id: str, fingerprint: str = 'f', key: str = 'k') -> Command:
    request = ClaimRequest(
        service_name='desk',
        key=key,
        claim_id=claim_id,
        fingerprint=fingerprint,
    )
    return Command(claim=ClaimRequests(claims=[request]))


def answer(claim_id: str, **fields: object) -> Command:
    recorded = RecordAnswer(
        service_name='desk',
        key='k',
        claim_id=claim_id,
        **fields,  # type: ignore[arg-type]
    )
    return Command(record=RecordAnswers(answers=[recorded]))
