"""Scenarios of a control group with real disks and a virtual clock."""

import errno
import os
from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.sessions.control_fakes import NAMES, ControlGroup
from wasabiturn.process.control.member import MAX_COMMAND_BYTES


@pytest.fixture
def group(tmp_path: Path) -> ControlGroup:
    group = ControlGroup(tmp_path)
    group.run(1)
    return group


def test_leader_is_killed_and_returns(
    group: ControlGroup,
    snapshot: SnapshotAssertion,
) -> None:
    leader = group.leader()
    group.put(leader, 'a')
    group.run(0.2)
    group.crash(leader.name)
    group.run(2)
    group.put(group.leader(), 'b')
    group.run(0.2)
    group.start(leader.name)
    group.run(1)
    assert group.configurations(leader.name) == ['a', 'b']
    assert group.journal == snapshot


def test_leader_stops_gracefully(
    group: ControlGroup,
    snapshot: SnapshotAssertion,
) -> None:
    """Submitted commands are applied; another member leads at once."""
    leader = group.leader()
    accepted = group.put(leader, 'a')
    drained: list[float] = []
    leader.drain().addCallback(
        lambda _: drained.append(group.clock.seconds()),
    )
    refused = group.put(leader, 'b')
    group.run(0.4)
    assert accepted == ['ok']
    assert refused == ['NotLeaderError']
    assert drained
    group.crash(leader.name)
    assert group.put(group.leader(), 'c') == []
    group.run(0.1)
    assert group.journal == snapshot


def test_all_are_killed_and_return(
    group: ControlGroup,
    snapshot: SnapshotAssertion,
) -> None:
    group.put(group.leader(), 'a')
    group.run(0.2)
    for name in NAMES:
        group.crash(name)
    for name in NAMES:
        group.start(name)
    group.run(3)
    assert [group.configurations(name) for name in NAMES] == [['a']] * 3
    assert group.journal == snapshot


def test_disk_is_lost_and_then_a_second(
    group: ControlGroup,
    snapshot: SnapshotAssertion,
) -> None:
    """An instance that lost its disk votes again only with a new member id."""
    group.put(group.leader(), 'a')
    group.run(0.2)
    group.lose_disk('control-1')
    group.run(2)
    group.put(group.leader(), 'b')
    group.start('control-1')
    group.run(4)
    group.lose_disk('control-2')
    group.run(3)
    group.put(group.leader(), 'c')
    group.run(0.5)
    assert group.configurations('control-1') == ['a', 'b', 'c']
    group.start('control-2')
    group.run(5)
    assert group.configurations('control-2') == ['a', 'b', 'c']
    assert group.journal == snapshot


def test_member_is_cut_off_for_long(
    group: ControlGroup,
    snapshot: SnapshotAssertion,
) -> None:
    """The others elect a leader within 3 s; the old one serves nothing."""
    cut_off = group.leader()
    group.disconnected.add(cut_off.name)
    late_answers = group.put(cut_off, 'late')
    group.run(3)
    leader = group.leader()
    assert leader is not cut_off
    assert late_answers == ['OutcomeUnknownError']
    for number in range(20):
        group.put(leader, f'during-{number}')
    group.run(60)
    now = group.clock.seconds()
    assert not cut_off.holds_lease(now)
    assert not cut_off.is_fresh(now)
    group.disconnected.clear()
    group.run(1)
    assert group.leader() is leader
    assert len(group.configurations(cut_off.name)) == 20
    assert cut_off.is_fresh(group.clock.seconds())
    assert group.journal == snapshot


def test_laggard_gets_a_snapshot(
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    group = ControlGroup(tmp_path, snapshot_entries=100)
    group.run(1)
    restored: list[bool] = []
    lagging_name = next(name for name in NAMES if name != group.leader().name)
    group.crash(lagging_name)
    for number in range(1300):
        group.put(group.leader(), f'entry-{number:04}')
    group.journal.clear()
    group.run(0.5)
    group.journal.clear()
    group.start(lagging_name)
    group.replicas_by_name[lagging_name].on_restored.append(
        lambda: restored.append(True),
    )
    group.run(2)
    assert restored == [True]
    assert len(group.configurations(lagging_name)) == 1300
    group.crash(lagging_name)
    group.start(lagging_name)
    assert len(group.configurations(lagging_name)) >= 1300
    assert group.journal == snapshot


@pytest.mark.parametrize(('function', 'code'), [('fdatasync', errno.EIO)])
def test_disk_fails_under_the_leader(
    group: ControlGroup,
    snapshot: SnapshotAssertion,
    monkeypatch: pytest.MonkeyPatch,
    function: str,
    code: int,
) -> None:
    """The leader stops at once and confirms nothing that it could not save."""
    leader = group.leader()
    answers = group.put(leader, 'lost')
    with monkeypatch.context() as patched:
        patched.setattr(os, function, _create_failing_call(code))
        group.clock.advance(0)
    assert leader.name not in group.replicas_by_name
    group.run(3)
    assert answers == []
    group.put(group.leader(), 'after')
    group.run(0.2)
    assert group.configurations(group.leader().name) == ['after']
    assert group.journal == snapshot


@pytest.mark.parametrize('written', [0, 7])
def test_disk_of_the_leader_is_full_for_a_while(
    group: ControlGroup, monkeypatch: pytest.MonkeyPatch, written: int
) -> None:
    """The leader confirms nothing, stands aside, and returns by itself."""
    full = group.leader()
    write = os.write
    monkeypatch.setattr(
        os, 'write', _create_full_disk(group.folder / full.name, written, write)
    )
    answers = group.put(full, 'lost')
    group.run(3)
    assert full.name in group.replicas_by_name
    assert not full.holds_lease(group.clock.seconds())
    assert full.leader() is None
    assert answers in ([], ['OutcomeUnknownError'])
    leader = group.leader()
    assert leader is not full
    during = group.put(leader, 'during')
    refused = group.put(full, 'refused')
    group.run(0.5)
    assert (during, refused) == (['ok'], ['NotLeaderError'])
    monkeypatch.setattr(os, 'write', write)
    group.run(2)
    assert full.leader() == leader.name
    assert group.configurations(full.name) == ['during']
    group.crash(full.name)
    group.start(full.name)
    group.run(1)
    assert group.configurations(full.name) == ['during']


def _create_full_disk(folder: Path, written: int, write: Any) -> Any:
    """Write ``written`` bytes of each record of a folder, then find no room."""

    def write_in_part(descriptor: int, content: Any) -> int:
        path = Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if folder not in path.parents:
            return int(write(descriptor, content))
        if written and len(content) > written and not state.pop('full', None):
            state['full'] = True
            return int(write(descriptor, content[:written]))
        state.pop('full', None)
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    state: dict[str, bool] = {}
    return write_in_part


def _create_failing_call(code: int) -> object:
    def fail(*arguments: object) -> int:
        raise OSError(code, os.strerror(code))

    return fail


def test_command_over_the_limit_is_refused(group: ControlGroup) -> None:
    """An entry must fit in one frame, or it could not be replicated."""
    answers = group.put(group.leader(), 'x' * MAX_COMMAND_BYTES)
    assert answers == ['CommandTooLargeError']
    group.put(group.leader(), 'after')
    group.run(0.2)
    assert group.configurations(group.leader().name) == ['after']
