"""Tests of resources as JSON: defaults, and errors that name the field."""

import pytest

from wasabiturn.messages.kinds import Kind
from wasabiturn.version.resources import (
    FieldError,
    MalformedError,
    parse_json,
    parse_resource,
    render_resource,
)


def test_rendered_resource_can_be_parsed_again() -> None:
    written = {'spec': {'replicas': 2, 'size': {'cores': 1}}}
    resource = parse_resource(Kind.service, 'desk', written)
    rendered = render_resource(resource)
    assert rendered['team'] == 'default'
    assert rendered['spec']['slots'] == 8
    assert parse_resource(Kind.service, 'desk', rendered) == resource


@pytest.mark.parametrize(
    ('kind', 'written', 'field'),
    [
        (Kind.service, {'spec': {'replicas': -1}}, 'spec.replicas'),
        (Kind.service, {'spec': {'replicas': '2'}}, 'spec.replicas'),
        (Kind.service, {'spec': {'replicas': True}}, 'spec.replicas'),
        (Kind.service, {'spec': {'size': {'cores': 'x'}}}, 'spec.size.cores'),
        (Kind.service, {'spec': {'size': {'cpu': 1}}}, 'spec.size.cpu'),
        (Kind.service, {'spec': {'copies': 1}}, 'spec.copies'),
        (Kind.job, {'spec': {'urgent': 1}}, 'spec.urgent'),
        (Kind.job, {'spec': []}, 'spec'),
        (Kind.job, {'spek': {}}, 'spek'),
        (
            Kind.configuration,
            {'spec': {'settings': {'a': 1}}},
            'spec.settings',
        ),
    ],
)
def test_error_names_the_field(
    kind: Kind,
    written: dict[str, object],
    field: str,
) -> None:
    with pytest.raises(FieldError) as caught:
        parse_resource(kind, 'desk', written)
    assert caught.value.field == field


@pytest.mark.parametrize('name', ['', 'A', 'a.b', '-a', 'a/b', 'a' * 64])
def test_invalid_names_are_rejected(name: str) -> None:
    with pytest.raises(FieldError, match='name'):
        parse_resource(Kind.team, name, {})


@pytest.mark.parametrize(
    ('body', 'text'),
    [
        (b'{"spec":\n  {,}}', 'line 2 column 4'),
        (b'[]', 'object'),
        (b'{"a": NaN}', 'NaN'),
        (b'\xff', 'utf-8'),
    ],
)
def test_malformed_json_error_names_the_position(
    body: bytes, text: str
) -> None:
    with pytest.raises(MalformedError, match=text):
        parse_json(body)


@pytest.mark.parametrize(
    ('name', 'settings'),
    [
        ('placement', {'target_share': 'much'}),
        ('placement', {'speed': '1'}),
        ('requests', {'service_limit.desk': '-1'}),
        ('requests', {'limit': '1'}),
    ],
)
def test_settings_of_known_configurations_are_checked(
    name: str,
    settings: dict[str, str],
) -> None:
    written = {'spec': {'settings': settings}}
    with pytest.raises(FieldError) as caught:
        parse_resource(Kind.configuration, name, written)
    assert next(iter(settings)) in caught.value.text
    parse_resource(Kind.configuration, 'other', written)
