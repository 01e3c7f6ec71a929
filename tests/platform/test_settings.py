"""Parsing of the platform's settings file and conversion to ``Settings``."""

from pathlib import Path

import pytest

from wasabiturn.exceptions import SettingsError
from wasabiturn.platform.job_limits import JobLimits
from wasabiturn.platform.settings import (
    create_settings,
    read_platform_settings,
)

TEXT = """
node: "edge-1"
ip: "10.1.0.13"
zone: "zone-a"
region: "region"
zones:
  zone-a: "region"
listen:
  front: "10.1.0.13:8161"
  ready: "10.1.0.13:8167"
  control: "10.1.0.13:8166"
port_range: [7720, 7735]
seeds: ["10.1.0.13:8166", "10.2.0.30:8166"]
bootstrap: true
data_dir: "/data/my-edge"
fault_tolerance: {machines: 2, zones: 1}
bounds: {hold_max_ms: 5000, slowdown_factor: 1.7}
unknown: 7
job_limits: {max_spec_bytes: 8000}
"""


def write_settings(tmp_path: Path, text: str) -> Path:
    path = tmp_path / 'boot.yaml'
    path.write_text(text)
    return path


def test_settings_of_a_control_instance(tmp_path: Path) -> None:
    platform = read_platform_settings(write_settings(tmp_path, TEXT))
    settings = create_settings(platform)
    assert platform.seeds == ('10.1.0.13', '10.2.0.30')
    assert platform.lease_ms == 5000
    assert platform.slowdown_factor == 1.7
    assert platform.waits_for_racks
    assert not platform.orders_by_priority
    assert platform.job_limits == JobLimits(max_spec_bytes=8000)
    assert settings.control is not None
    assert settings.control.voters == 5
    assert settings.control.may_found
    assert str(settings.control.listen) == '10.1.0.13:7720'


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[',
        'node: x',
        '7',
        TEXT + '\nx: [',
        TEXT + 'limits: {memory_mb: -5}\n',
        TEXT + 'job_limits: {max_steps: 0}\n',
        TEXT + 'limits: {max_fds: 3}\n',
        TEXT.replace('1.7', '.nan'),
    ],
)
def test_an_invalid_file_is_refused(
    tmp_path: Path,
    text: str,
) -> None:
    with pytest.raises(SettingsError):
        read_platform_settings(write_settings(tmp_path, text))


def test_a_missing_file_is_refused(tmp_path: Path) -> None:
    with pytest.raises(SettingsError):
        read_platform_settings(tmp_path / 'none.yaml')


def test_deeply_nested_settings_are_refused(tmp_path: Path) -> None:
    nested = '[' * 5000 + ']' * 5000
    source = write_settings(tmp_path, f'{TEXT}\nseeds: {nested}\n')
    with pytest.raises(SettingsError):
        read_platform_settings(source)


def test_waits_for_racks_are_off_without_a_factor(tmp_path: Path) -> None:
    text = TEXT.replace(', slowdown_factor: 1.7', '')
    text += 'wait_for_rack: false\n'
    platform = read_platform_settings(write_settings(tmp_path, text))
    assert platform.slowdown_factor == 1
    assert not platform.waits_for_racks
