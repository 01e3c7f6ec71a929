"""Description of every key of a settings file, for people."""

from collections.abc import Iterator
from typing import Any, final

import attrs

from wasabiturn.conf.reader import CLASSES_BY_SECTION
from wasabiturn.conf.values import SETTING, Accepted


@final
@attrs.frozen
class KeyDescription:
    """One key; ``default`` is empty when the key must be given."""

    section: str
    key: str
    accepted: str
    default: str


def describe_keys() -> Iterator[KeyDescription]:
    """Yield the description of each key, by section."""
    for section, section_class in CLASSES_BY_SECTION.items():
        fields: Any = attrs.fields(section_class)
        for field in fields:
            accepted: Accepted = field.metadata[SETTING]
            yield KeyDescription(
                section=section,
                key=field.name,
                accepted=accepted.description,
                default=_describe_default(field.default),
            )


def _describe_default(default: Any) -> str:
    if default is attrs.NOTHING:
        return ''
    return 'none' if default is None else str(default)
