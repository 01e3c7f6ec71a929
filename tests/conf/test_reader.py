"""Checks of settings files."""

from pathlib import Path

import pytest

from wasabiturn.conf import read_settings
from wasabiturn.exceptions import SettingsError

EXAMPLES = sorted(Path('examples').glob('**/*.ini'))


@pytest.mark.parametrize('path', EXAMPLES, ids=str)
def test_examples_are_accepted(path: Path) -> None:
    assert read_settings(path).source == path


def test_every_wrong_key_is_named_at_once(tmp_path: Path) -> None:
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
    assert f'{path}: [entrance] is no section' in text
    assert 'data_centre: missing' in text
    assert "listen = '127.0.0.1:99999': accepted is ip:port" in text
    assert "drain_seconds = '-1': accepted is a number from 0 to 600" in text
    assert 'speed: no such key' in text
