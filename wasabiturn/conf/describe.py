"""Descriptions of all keys of a settings file, for ``list-settings``."""

from collections.abc import Iterator
from typing import Any, final

import attrs

from wasabiturn.conf.reader import CLASSES_BY_SECTION
from wasabiturn.conf.values import VALUE_FORMAT, ValueFormat


@final
@attrs.frozen
class KeyDescription:
    """Description of one key; ``default`` is empty for a required key."""

    section: str
    key: str
    accepted: str
    default: str


def describe_keys() -> Iterator[KeyDescription]:
    """Yield the description of each key, section by section."""
    for section, section_class in CLASSES_BY_SECTION.items():
        fields: Any = attrs.fields(section_class)
        for field in fields:
            value_format: ValueFormat = field.metadata[VALUE_FORMAT]
            yield KeyDescription(
                section=section,
                key=field.name,
                accepted=value_format.description,
                default=_describe_default(field.default),
            )


def _describe_default(default: Any) -> str:
    if default is attrs.NOTHING:
        return ''
    return 'none' if default is None else str(default)
