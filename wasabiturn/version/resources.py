"""JSON representation of resources: parsing, defaults and validation."""

import json
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NoReturn, final

import attrs
from cattrs import (
    AttributeValidationNote,
    ClassValidationError,
    Converter,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)

from wasabiturn.exceptions import StateError
from wasabiturn.messages.kinds import Kind, TaskState
from wasabiturn.messages.state import (
    Capacity,
    ConfigurationSpec,
    DataCentreSpec,
    JobSpec,
    Resource,
    ServiceSpec,
    TaskSpec,
    TeamSpec,
)
from wasabiturn.utils.json_text import read_json
from wasabiturn.version.configurations import check_configuration
from wasabiturn.version.quotas import DEFAULT_TEAM

KINDS_BY_ROUTE = MappingProxyType(
    {
        'services': Kind.service,
        'jobs': Kind.job,
        'tasks': Kind.task,
        'data-centres': Kind.data_centre,
        'configurations': Kind.configuration,
        'teams': Kind.team,
        'workers': Kind.worker,
        'backend-servers': Kind.backend_server,
    },
)
ROUTES_BY_KIND = MappingProxyType(
    {kind: route for route, kind in KINDS_BY_ROUTE.items()},
)
NAME_PATTERN = re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?')

_MAX_TASKS = 10_000
_MAX_CORES = 100_000
_MAX_MEMORY_MB = 1_000_000_000
_MAX_SECONDS = 31_536_000
_SPECS_BY_KIND: Mapping[Kind, type] = MappingProxyType(
    {
        Kind.service: ServiceSpec,
        Kind.job: JobSpec,
        Kind.task: TaskSpec,
        Kind.data_centre: DataCentreSpec,
        Kind.configuration: ConfigurationSpec,
        Kind.team: TeamSpec,
    },
)
_DEFAULTS_BY_KIND: Mapping[Kind, Mapping[str, Any]] = MappingProxyType(
    {
        Kind.service: MappingProxyType(
            {'replicas': 1, 'slots': 8, 'connections': 64},
        ),
        Kind.job: MappingProxyType({'tasks': 1, 'max_failures': 3}),
        Kind.team: MappingProxyType({'weight': 1.0}),
    },
)
_RANGES_BY_FIELD = MappingProxyType(
    {
        'replicas': (0, _MAX_TASKS),
        'tasks': (1, _MAX_TASKS),
        'slots': (1, _MAX_TASKS),
        'connections': (1, _MAX_TASKS),
        'max_failures': (0, _MAX_TASKS),
        'accelerators': (0, _MAX_TASKS),
        'cores': (0, _MAX_CORES),
        'memory_mb': (0, _MAX_MEMORY_MB),
        'target_p99_ms': (0, _MAX_SECONDS),
        'run_seconds': (0, _MAX_SECONDS),
        'weight': (0, _MAX_TASKS),
    },
)
_PROTECTED_FIELDS = frozenset(('kind', 'name', 'revision', 'created'))


@final
class FieldError(StateError):
    """Invalid input of an operator; ``field`` is the path of the field."""

    def __init__(self, field: str, text: str) -> None:
        """Create the error of ``field``; empty for the whole input."""
        super().__init__(f'{field}: {text}' if field else text)
        self.field = field
        self.text = text


@final
class MalformedError(StateError):
    """The text is not a JSON object; the message has line and column."""


@final
@attrs.define
class _ResourceInput:
    """Fields of a resource that an operator may write."""

    team: str = ''
    spec: dict[str, Any] = attrs.field(factory=dict)


def parse_json(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    Raises:
        MalformedError: the body is not a JSON object.
    """
    try:
        parsed = read_json(body, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        position = f'line {error.lineno} column {error.colno}'
        raise MalformedError(f'{position}: {error.msg}') from error
    except ValueError as error:
        raise MalformedError(str(error)) from error
    if not isinstance(parsed, dict):
        raise MalformedError('line 1 column 1: an object is expected')
    return parsed


def parse_resource(kind: Kind, name: str, data: dict[str, Any]) -> Resource:
    """Return the resource in ``data``, with defaults for missing fields.

    ``kind``, ``name``, ``revision`` and ``created`` in ``data`` are ignored,
    so that operators can write back a resource that they have read.

    Raises:
        FieldError: a field is invalid; the error names the field and why.
    """
    if NAME_PATTERN.fullmatch(name) is None:
        raise FieldError('name', f'{NAME_PATTERN.pattern} is expected')
    input_fields = {
        key: content
        for key, content in data.items()
        if key not in _PROTECTED_FIELDS
    }
    resource_input = _structure(input_fields, _ResourceInput, '')
    defaults = _DEFAULTS_BY_KIND.get(kind, {})
    spec_class = _SPECS_BY_KIND[kind]
    spec = _structure({**defaults, **resource_input.spec}, spec_class, 'spec')
    _check_ranges(spec, 'spec')
    if isinstance(spec, ConfigurationSpec):
        _check_settings(name, spec)
    resource = Resource(
        kind=kind, name=name, team=_get_team(kind, resource_input)
    )
    setattr(resource, f'{kind.name}_spec', spec)
    return resource


def _check_settings(name: str, spec: ConfigurationSpec) -> None:
    checked = check_configuration(name, spec.settings)
    if checked.is_error():
        raise FieldError('spec.settings', checked.error)


def render_resource(resource: Resource) -> dict[str, Any]:
    """Return the JSON representation of ``resource``."""
    spec = getattr(resource, f'{resource.kind.name}_spec')
    return {
        'kind': ROUTES_BY_KIND[resource.kind],
        'name': resource.name,
        'team': resource.team,
        'revision': resource.revision,
        'created': resource.created,
        'spec': _converter.unstructure(spec),
    }


def _get_team(kind: Kind, resource_input: _ResourceInput) -> str:
    if kind in {Kind.service, Kind.job}:
        return resource_input.team or DEFAULT_TEAM
    return resource_input.team


def _structure(data: Any, expected_type: Any, path: str) -> Any:
    try:
        return _converter.structure(data, expected_type)
    except Exception as error:
        _raise_first_error(error, path)


def _raise_first_error(error: BaseException, path: str) -> NoReturn:
    """Raise the first error nested in ``error`` as a ``FieldError``."""
    if isinstance(error, ForbiddenExtraKeysError):
        extra = sorted(map(str, error.extra_fields))[0]
        raise FieldError(_join_path(path, extra), 'there is no such field')
    if isinstance(error, ClassValidationError | IterableValidationError):
        first = error.exceptions[0]
        _raise_first_error(first, _join_path(path, _get_noted_field(first)))
    raise FieldError(path, str(error)) from error


def _get_noted_field(error: BaseException) -> str:
    for note in getattr(error, '__notes__', ()):
        if isinstance(note, AttributeValidationNote):
            return note.name
        if isinstance(note, IterableValidationNote):
            return str(note.index)
    return ''


def _join_path(path: str, name: str) -> str:
    return '.'.join(part for part in (path, name) if part)


def _check_ranges(checked: Any, path: str) -> None:
    for field in attrs.fields(type(checked)):
        value = getattr(checked, field.name)
        field_path = _join_path(path, field.name)
        allowed_range = _RANGES_BY_FIELD.get(field.name)
        if isinstance(value, Capacity):
            _check_ranges(value, field_path)
        elif allowed_range is not None:
            _check_range(value, allowed_range, field_path)


def _check_range(
    value: float, allowed_range: tuple[int, int], field_path: str
) -> None:
    low, high = allowed_range
    if not low <= value <= high:
        raise FieldError(field_path, f'{low} to {high} is expected')


def _reject_constant(constant: str) -> NoReturn:
    raise ValueError(f'{constant} is no number')


def _structure_str(data: Any, _: Any) -> str:
    if isinstance(data, str):
        return data
    raise ValueError('text is expected')


def _structure_bool(data: Any, _: Any) -> bool:
    if isinstance(data, bool):
        return data
    raise ValueError('true or false is expected')


def _structure_int(data: Any, _: Any) -> int:
    if isinstance(data, int) and not isinstance(data, bool):
        return data
    raise ValueError('a whole number is expected')


def _structure_float(data: Any, _: Any) -> float:
    if isinstance(data, int | float) and not isinstance(data, bool):
        return float(data)
    raise ValueError('a number is expected')


def _structure_settings(data: Any, _: Any) -> dict[str, str]:
    if not isinstance(data, dict):
        raise ValueError('an object is expected')  # noqa: TRY004
    for key, content in data.items():
        if not isinstance(content, str):
            raise ValueError(f'{key}: text is expected')  # noqa: TRY004
    return dict(sorted(data.items()))


def _structure_object(data: Any, _: Any) -> dict[str, Any]:
    if isinstance(data, dict):
        return data
    raise ValueError('an object is expected')


def _create_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(
        lambda expected_type: expected_type == dict[str, str],
        _structure_settings,
    )
    converter.register_structure_hook_func(
        lambda expected_type: expected_type == dict[str, Any],
        _structure_object,
    )
    converter.register_unstructure_hook(Kind, lambda kind: kind.name)
    converter.register_unstructure_hook(TaskState, lambda state: state.name)
    return converter


_converter = _create_converter()
