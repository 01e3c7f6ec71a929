"""Reading of JSON of other programs."""

import pytest

from wasabiturn.utils.json_text import read_json


def test_text_that_is_nested_too_deeply_is_no_recursion_error() -> None:
    with pytest.raises(ValueError, match='nested too deeply'):
        read_json('[' * 100_000)
