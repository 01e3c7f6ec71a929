"""Resources as operators write and read them: JSON, defaults, checks."""

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
    """What an operator wrote is not accepted; ``field`` names the place."""

    def __init__(self, field: str, text: str) -> None:
        """Create the error of one field."""
        super().__init__(f'{field}: {text}' if field else text)
        self.field = field
        self.text = text


@final
class MalformedError(StateError):
    """The text is no JSON object; the message names line and column."""


@final
@attrs.define
class _Written:
    """Fields that an operator may write beside the spec."""

    team: str = ''
    spec: dict[str, Any] = attrs.field(factory=dict)


def parse_json(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    Raises:
        MalformedError: there is none; the text names line and column.
    """
    try:
        parsed = json.loads(body, parse_constant=_refuse_constant)
    except json.JSONDecodeError as error:
        place = f'line {error.lineno} column {error.colno}'
        raise MalformedError(f'{place}: {error.msg}') from error
    except ValueError as error:
        raise MalformedError(str(error)) from error
    if not isinstance(parsed, dict):
        raise MalformedError('line 1 column 1: an object is expected')
    return parsed


def parse_resource(kind: Kind, name: str, written: dict[str, Any]) -> Resource:
    """Return the resource that an operator wrote, with its defaults.

    ``kind``, ``name``, ``revision`` and ``created`` are ignored, so that what
    was read can be written back.

    Raises:
        FieldError: names the field that is not accepted, and why.
    """
    if NAME_PATTERN.fullmatch(name) is None:
        raise FieldError('name', f'{NAME_PATTERN.pattern} is expected')
    own_fields = {
        key: content
        for key, content in written.items()
        if key not in _PROTECTED_FIELDS
    }
    outer = _structure(own_fields, _Written, '')
    defaults = _DEFAULTS_BY_KIND.get(kind, {})
    spec_class = _SPECS_BY_KIND[kind]
    spec = _structure({**defaults, **outer.spec}, spec_class, 'spec')
    _check_ranges(spec, 'spec')
    if isinstance(spec, ConfigurationSpec):
        _check_settings(name, spec)
    resource = Resource(kind=kind, name=name, team=_team_of(kind, outer))
    setattr(resource, f'{kind.name}_spec', spec)
    return resource


def _check_settings(name: str, spec: ConfigurationSpec) -> None:
    checked = check_configuration(name, spec.settings)
    if checked.is_error():
        raise FieldError('spec.settings', checked.error)


def render_resource(resource: Resource) -> dict[str, Any]:
    """Return what operators read of ``resource``."""
    spec = getattr(resource, f'{resource.kind.name}_spec')
    return {
        'kind': ROUTES_BY_KIND[resource.kind],
        'name': resource.name,
        'team': resource.team,
        'revision': resource.revision,
        'created': resource.created,
        'spec': _converter.unstructure(spec),
    }


def _team_of(kind: Kind, outer: _Written) -> str:
    if kind in {Kind.service, Kind.job}:
        return outer.team or DEFAULT_TEAM
    return outer.team


def _structure(written: Any, expected: Any, place: str) -> Any:
    try:
        return _converter.structure(written, expected)
    except Exception as error:
        _raise_first(error, place)


def _raise_first(error: BaseException, place: str) -> NoReturn:
    """Raise the first error below ``error`` as the error of its field."""
    if isinstance(error, ForbiddenExtraKeysError):
        extra = sorted(map(str, error.extra_fields))[0]
        raise FieldError(_join(place, extra), 'there is no such field')
    if isinstance(error, ClassValidationError | IterableValidationError):
        first = error.exceptions[0]
        _raise_first(first, _join(place, _noted_name(first)))
    raise FieldError(place, str(error)) from error


def _noted_name(error: BaseException) -> str:
    for note in getattr(error, '__notes__', ()):
        if isinstance(note, AttributeValidationNote):
            return note.name
        if isinstance(note, IterableValidationNote):
            return str(note.index)
    return ''


def _join(place: str, name: str) -> str:
    return '.'.join(part for part in (place, name) if part)


def _check_ranges(checked: Any, place: str) -> None:
    for field in attrs.fields(type(checked)):
        found = getattr(checked, field.name)
        where = _join(place, field.name)
        accepted = _RANGES_BY_FIELD.get(field.name)
        if isinstance(found, Capacity):
            _check_ranges(found, where)
        elif accepted is not None:
            _check_range(found, accepted, where)


def _check_range(found: float, accepted: tuple[int, int], where: str) -> None:
    low, high = accepted
    if not low <= found <= high:
        raise FieldError(where, f'{low} to {high} is expected')


def _refuse_constant(constant: str) -> NoReturn:
    raise ValueError(f'{constant} is no number')


def _structure_text(written: Any, _: Any) -> str:
    if isinstance(written, str):
        return written
    raise ValueError('text is expected')


def _structure_flag(written: Any, _: Any) -> bool:
    if isinstance(written, bool):
        return written
    raise ValueError('true or false is expected')


def _structure_integer(written: Any, _: Any) -> int:
    if isinstance(written, int) and not isinstance(written, bool):
        return written
    raise ValueError('a whole number is expected')


def _structure_number(written: Any, _: Any) -> float:
    if isinstance(written, int | float) and not isinstance(written, bool):
        return float(written)
    raise ValueError('a number is expected')


def _structure_settings(written: Any, _: Any) -> dict[str, str]:
    if not isinstance(written, dict):
        raise ValueError('an object is expected')  # noqa: TRY004
    for key, content in written.items():
        if not isinstance(content, str):
            raise ValueError(f'{key}: text is expected')  # noqa: TRY004
    return dict(sorted(written.items()))


def _structure_object(written: Any, _: Any) -> dict[str, Any]:
    if isinstance(written, dict):
        return written
    raise ValueError('an object is expected')


def _create_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(bool, _structure_flag)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook_func(
        lambda expected: expected == dict[str, str],
        _structure_settings,
    )
    converter.register_structure_hook_func(
        lambda expected: expected == dict[str, Any],
        _structure_object,
    )
    converter.register_unstructure_hook(Kind, lambda kind: kind.name)
    converter.register_unstructure_hook(TaskState, lambda state: state.name)
    return converter


_converter = _create_converter()
