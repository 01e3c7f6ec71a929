"""Whole sessions of the control group, with real disks on a virtual clock."""

import errno
import os
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.sessions.control_fakes import NAMES, Net
from wasabiturn.process.control.member import MAX_COMMAND_BYTES


@pytest.fixture
def net(tmp_path: Path) -> Net:
    net = Net(tmp_path)
    net.run(1)
    return net


def test_leader_is_killed_and_returns(
    net: Net,
    snapshot: SnapshotAssertion,
) -> None:
    leader = net.leader()
    net.put(leader, 'a')
    net.run(0.2)
    net.crash(leader.name)
    net.run(2)
    net.put(net.leader(), 'b')
    net.run(0.2)
    net.start(leader.name)
    net.run(1)
    assert net.configurations(leader.name) == ['a', 'b']
    assert net.journal == snapshot


def test_leader_stops_gracefully(
    net: Net,
    snapshot: SnapshotAssertion,
) -> None:
    """What was submitted is settled; another member leads at once."""
    leader = net.leader()
    settled = net.put(leader, 'a')
    drained: list[float] = []
    leader.drain().addCallback(
        lambda _: drained.append(net.clock.seconds()),
    )
    refused = net.put(leader, 'b')
    net.run(0.4)
    assert settled == ['ok']
    assert refused == ['NotLeaderError']
    assert drained
    net.crash(leader.name)
    assert net.put(net.leader(), 'c') == []
    net.run(0.1)
    assert net.journal == snapshot


def test_all_are_killed_and_return(
    net: Net,
    snapshot: SnapshotAssertion,
) -> None:
    net.put(net.leader(), 'a')
    net.run(0.2)
    for name in NAMES:
        net.crash(name)
    for name in NAMES:
        net.start(name)
    net.run(3)
    assert [net.configurations(name) for name in NAMES] == [['a']] * 3
    assert net.journal == snapshot


def test_disk_is_lost_and_then_a_second(
    net: Net,
    snapshot: SnapshotAssertion,
) -> None:
    """An instance that lost its disk votes again only under a new name."""
    net.put(net.leader(), 'a')
    net.run(0.2)
    net.lose_disk('control-1')
    net.run(2)
    net.put(net.leader(), 'b')
    net.start('control-1')
    net.run(4)
    net.lose_disk('control-2')
    net.run(3)
    net.put(net.leader(), 'c')
    net.run(0.5)
    assert net.configurations('control-1') == ['a', 'b', 'c']
    net.start('control-2')
    net.run(5)
    assert net.configurations('control-2') == ['a', 'b', 'c']
    assert net.journal == snapshot


def test_member_is_cut_off_for_long(
    net: Net,
    snapshot: SnapshotAssertion,
) -> None:
    """The rest elect within 3 s; the cut-off leader answers nothing."""
    cut_off = net.leader()
    net.cut.add(cut_off.name)
    late = net.put(cut_off, 'late')
    net.run(3)
    leader = net.leader()
    assert leader is not cut_off
    assert late == ['OutcomeUnknownError']
    for number in range(20):
        net.put(leader, f'during-{number}')
    net.run(60)
    now = net.clock.seconds()
    assert not cut_off.holds_lease(now)
    assert not cut_off.is_fresh(now)
    net.cut.clear()
    net.run(1)
    assert net.leader() is leader
    assert len(net.configurations(cut_off.name)) == 20
    assert cut_off.is_fresh(net.clock.seconds())
    assert net.journal == snapshot


def test_laggard_gets_a_snapshot(
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    net = Net(tmp_path, snapshot_entries=100)
    net.run(1)
    restored: list[bool] = []
    laggard = next(name for name in NAMES if name != net.leader().name)
    net.crash(laggard)
    for number in range(1300):
        net.put(net.leader(), f'entry-{number:04}')
    net.journal.clear()
    net.run(0.5)
    net.journal.clear()
    net.start(laggard)
    net.replicas_by_name[laggard].on_restored.append(
        lambda: restored.append(True),
    )
    net.run(2)
    assert restored == [True]
    assert len(net.configurations(laggard)) == 1300
    net.crash(laggard)
    net.start(laggard)
    assert len(net.configurations(laggard)) >= 1300
    assert net.journal == snapshot


@pytest.mark.parametrize(
    ('function', 'code'),
    [('write', errno.ENOSPC), ('fdatasync', errno.EIO)],
)
def test_disk_fails_under_the_leader(
    net: Net,
    snapshot: SnapshotAssertion,
    monkeypatch: pytest.MonkeyPatch,
    function: str,
    code: int,
) -> None:
    """The leader stops at once and says nothing for what it could not save."""
    leader = net.leader()
    answers = net.put(leader, 'lost')
    with monkeypatch.context() as patched:
        patched.setattr(os, function, _refuse(code))
        net.clock.advance(0)
    assert leader.name not in net.replicas_by_name
    net.run(3)
    assert answers == []
    net.put(net.leader(), 'after')
    net.run(0.2)
    assert net.configurations(net.leader().name) == ['after']
    assert net.journal == snapshot


def _refuse(code: int) -> object:
    def refuse(*arguments: object) -> int:
        raise OSError(code, os.strerror(code))

    return refuse


def test_command_over_the_limit_is_refused(net: Net) -> None:
    """A frame could not carry it, so no entry may hold it."""
    answers = net.put(net.leader(), 'x' * MAX_COMMAND_BYTES)
    assert answers == ['CommandTooLargeError']
    net.put(net.leader(), 'after')
    net.run(0.2)
    assert net.configurations(net.leader().name) == ['after']
