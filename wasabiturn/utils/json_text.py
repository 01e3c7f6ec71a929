"""Reading of JSON that other programs have written."""

import json
from typing import Any


def read_json(text: bytes | str, **options: Any) -> Any:
    """Return what ``text`` holds; ``options`` are those of ``json.loads``.

    Raises:
        ValueError: the text is not JSON, or is nested too deeply to be read.
    """
    try:
        return json.loads(text, **options)
    except RecursionError as error:
        raise ValueError('the JSON is nested too deeply') from error
