"""Reading and validation of a settings file.

A process validates the whole file before it opens a port.
"""

import configparser
from pathlib import Path
from types import MappingProxyType
from typing import Any, TypeVar

import attrs

from wasabiturn.conf.sections import (
    AgentSection,
    ControlSection,
    EntrySection,
    InstanceSection,
    LoggingSection,
    MetricsSection,
    Settings,
)
from wasabiturn.conf.values import VALUE_FORMAT, ValueFormat
from wasabiturn.exceptions import SettingsError

SectionType = TypeVar('SectionType')


CLASSES_BY_SECTION = MappingProxyType(
    {
        'instance': InstanceSection,
        'metrics': MetricsSection,
        'logging': LoggingSection,
        'control': ControlSection,
        'entry': EntrySection,
        'agent': AgentSection,
    }
)
_OPTIONAL_SECTIONS = ('control', 'entry', 'agent')


def read_settings(source: Path) -> Settings:
    """Read and validate the settings file ``source``.

    Raises:
        SettingsError: the file cannot be read, or has errors; lists all of
            them, each with file, section, key, value and expected format.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with source.open(encoding='utf-8') as settings_file:
            parser.read_file(settings_file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f'{source}: {error}') from error
    problems = _find_unknown_sections(source, parser)
    sections = {
        name: _read_section(source, parser, name, problems)
        for name in CLASSES_BY_SECTION
    }
    if problems:
        raise SettingsError('\n'.join(problems))
    return Settings(source=source, **sections)


def _find_unknown_sections(
    source: Path,
    parser: configparser.ConfigParser,
) -> list[str]:
    known_sections = ', '.join(CLASSES_BY_SECTION)
    return [
        f'{source}: [{name}] is not a known section; '
        f'expected one of {known_sections}'
        for name in parser.sections()
        if name not in CLASSES_BY_SECTION
    ]


def _read_section(
    source: Path,
    parser: configparser.ConfigParser,
    name: str,
    problems: list[str],
) -> Any:
    if not parser.has_section(name) and name in _OPTIONAL_SECTIONS:
        return None
    section_class: Any = CLASSES_BY_SECTION[name]
    raw_by_key = dict(parser.items(name)) if parser.has_section(name) else {}
    fields_by_key = {field.name: field for field in attrs.fields(section_class)}
    location = f'{source}: [{name}]'
    problems.extend(
        f'{location} {key}: unknown key; '
        f'expected one of {", ".join(fields_by_key)}'
        for key in raw_by_key
        if key not in fields_by_key
    )
    parsed: dict[str, Any] = {}
    problems_before = len(problems)
    for field in fields_by_key.values():
        _read_key(location, field, raw_by_key, parsed, problems)
    return section_class(**parsed) if len(problems) == problems_before else None


def _read_key(
    location: str,
    field: Any,
    raw_by_key: dict[str, str],
    parsed: dict[str, Any],
    problems: list[str],
) -> None:
    value_format: ValueFormat = field.metadata[VALUE_FORMAT]
    raw = raw_by_key.get(field.name)
    if raw is None:
        if field.default is attrs.NOTHING:
            problems.append(
                f'{location} {field.name}: required key is missing; '
                f'expected {value_format.description}',
            )
        return
    try:
        parsed[field.name] = value_format.parse(raw)
    except ValueError:
        problems.append(
            f'{location} {field.name} = {raw!r}: '
            f'expected {value_format.description}',
        )
