"""Changes of a large configuration on disks of limited size."""

from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.sessions.control_fakes import NAMES, ControlGroup
from tests.sessions.full_disk import limit_disks, used_bytes

DISK_BYTES = 8_000_000
DOCUMENT_BYTES = 100_000
CHANGES = 150


def put_routing(group: ControlGroup, version: int) -> list[str]:
    document = Random(version).randbytes(DOCUMENT_BYTES)
    return group.put_routing(group.leader(), version, document)


def put_routings(group: ControlGroup) -> list[list[str]]:
    answers: list[list[str]] = []
    for version in range(1, CHANGES + 1):
        answers.append(put_routing(group, version))
        group.run(0.1)
    return answers


def test_large_changes_fill_no_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    group = ControlGroup(tmp_path, snapshot_bytes=DISK_BYTES // 8)
    group.run(1)
    limit_disks(monkeypatch, tmp_path, DISK_BYTES)
    assert put_routings(group) == [['ok']] * CHANGES
    for name in NAMES:
        assert used_bytes(tmp_path / name) < DISK_BYTES * 3 // 4
        group.crash(name)
        group.start(name)
    group.run(3)
    for replica in group.replicas_by_name.values():
        routing = replica.state.batch.routing
        assert routing is not None
        assert routing.version == CHANGES


def test_log_in_memory_is_bounded_in_bytes(tmp_path: Path) -> None:
    period = DISK_BYTES // 8
    group = ControlGroup(tmp_path, snapshot_bytes=period)
    group.run(1)
    put_routings(group)
    for replica in group.replicas_by_name.values():
        member: Any = replica._member
        held = sum(len(each.payload) for each in member.raft.log.entries)
        assert held < 2 * period


def test_member_without_room_takes_its_snapshot_and_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk is smaller than the period of the snapshots supposes."""
    group = ControlGroup(tmp_path, snapshot_bytes=100 * DISK_BYTES)
    group.run(1)
    limit_disks(monkeypatch, tmp_path, DISK_BYTES)
    confirmed = 0
    for version in range(1, CHANGES + 1):
        if group.has_leader():
            confirmed += confirm_routing(group, version)
        else:
            group.run(0.1)
    assert confirmed > CHANGES - 30


def confirm_routing(group: ControlGroup, version: int) -> bool:
    answers = put_routing(group, version)
    group.run(0.1)
    return answers == ['ok']
