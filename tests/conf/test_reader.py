"""Tests of reading and checking settings files."""

from pathlib import Path

import pytest

from wasabiturn.conf.reader import read_settings
from wasabiturn.exceptions import SettingsError

EXAMPLES = sorted(Path('examples').glob('**/*.ini'))


@pytest.mark.parametrize('path', EXAMPLES, ids=str)
def test_example_settings_are_valid(path: Path) -> None:
    assert read_settings(path).source == path


def test_all_errors_are_reported_together(tmp_path: Path) -> None:
    path = tmp_path / 'entry.ini'
    path.write_text(
        '[instance]\nname = e\n'
        '[entry]\nlisten = 127.0.0.1:99999\napi_listen = here\n'
        'control = 127.0.0.1:1\ndrain_seconds = -1\nspeed = 3\n'
        '[entrance]\n',
    )
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    text = str(caught.value)
    assert f'{path}: [entrance] is not a known section' in text
    assert 'data_centre: required key is missing' in text
    assert "listen = '127.0.0.1:99999': expected ip:port" in text
    assert "drain_seconds = '-1': expected a number from 0 to 600" in text
    assert 'speed: unknown key' in text
