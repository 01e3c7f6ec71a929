"""Tests of the text output for resources, status and explanations."""

from typing import Any

from syrupy.assertion import SnapshotAssertion

from wasabiturn.management.explain import render_explanation
from wasabiturn.management.output import render_resources
from wasabiturn.management.status_view import (
    ControlGroupStatus,
    ControlMember,
    DeploymentStatus,
    ListedResource,
    render_status,
)

TASK: dict[str, Any] = {
    'kind': 'tasks',
    'name': 'conversions-of-the-night.17',
    'team': 'lettering',
    'revision': 123456,
    'spec': {
        'owner_kind': 'job',
        'owner': 'conversions-of-the-night',
        'state': 'waiting',
        'worker': '',
        'attempt': 123001,
        'reason': 'no worker has room',
        'size': {'cores': 2.0, 'memory_mb': 512, 'accelerators': 0},
        'evictions': 1,
        'failures': 0,
        'checkpoint': 'c-1',
    },
}
SERVICE = ListedResource('taller-app', 'lettering', {'replicas': 2})
REPLICA = ListedResource(
    'taller-app.0',
    'lettering',
    {
        'owner_kind': 'service',
        'owner': 'taller-app',
        'state': 'running',
        'evictions': 0,
        'reason': '',
    },
)
IMPOSSIBLE = ListedResource(
    'mural.0',
    'lettering',
    {
        'owner_kind': 'job',
        'owner': 'mural',
        'state': 'impossible',
        'evictions': 0,
        'reason': 'no worker holds 4 accelerators',
    },
)


def test_text_fits_80_columns(snapshot: SnapshotAssertion) -> None:
    status = DeploymentStatus(
        control=ControlGroupStatus(
            member='control-2',
            leader='control-1',
            revision=123456,
            members=[
                ControlMember(
                    'control-1/0123456789abcdef', 'voter', '0 entries'
                ),
                ControlMember(
                    'control-2/0123456789abcdef', 'learner', '7 entries'
                ),
            ],
        ),
        data_centres=[ListedResource('dc-b', '', {'out': True})],
        workers=[ListedResource('agent-1', '', {'data_centre': 'dc-a'})],
        services=[SERVICE],
        tasks=[REPLICA, IMPOSSIBLE],
        backend_servers=[],
    )
    texts = [
        render_status(status),
        render_resources('tasks', [TASK]),
        render_explanation(TASK),
    ]
    assert all(len(line) <= 80 for text in texts for line in text.splitlines())
    assert texts == snapshot
