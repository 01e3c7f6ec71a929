"""Bearer tokens of operators, with the role and team of each.

The token file is an INI file with one section for each operator. A section has
``token``, ``role`` (reader, member, admin) and, for members, ``team``.
"""

import configparser
import enum
import hashlib
from pathlib import Path
from typing import final

import attrs

from wasabiturn.exceptions import SettingsError

_SCHEME = 'Bearer '


@final
class OperatorRole(enum.Enum):
    """Permissions of an operator; each role includes the previous ones."""

    reader = 'reader'
    member = 'member'
    admin = 'admin'


@final
@attrs.frozen
class Operator:
    """Sender of a request; a member may write only resources of its team."""

    name: str
    role: OperatorRole
    team: str = ''


ANYONE = Operator(name='anyone', role=OperatorRole.admin)


@final
@attrs.frozen
class Tokens:
    """Operators by the SHA-256 digest of their token.

    ``None`` disables authentication: every request has the role admin.
    """

    operators_by_digest: dict[bytes, Operator] | None = None

    def identify(self, authorization: str) -> Operator | None:
        """Return the sender of an Authorization header; ``None`` if unknown."""
        if self.operators_by_digest is None:
            return ANYONE
        if not authorization.startswith(_SCHEME):
            return None
        token = authorization.removeprefix(_SCHEME).strip()
        return self.operators_by_digest.get(_digest(token))


def read_tokens(token_file: Path | None) -> Tokens:
    """Read the token file; without one, every request has the role admin.

    Raises:
        SettingsError: the file is invalid. The text names the file, section
            and key, but never contains a token.
    """
    if token_file is None:
        return Tokens()
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with token_file.open(encoding='utf-8') as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{token_file}: {error}') from error
    except configparser.Error:
        # The parser's message quotes the line, which may contain a token.
        raise SettingsError(f'{token_file}: not a valid INI file') from None
    return Tokens(
        operators_by_digest=dict(
            _read_operator(token_file, section)
            for section in map(parser.__getitem__, parser.sections())
        ),
    )


def _read_operator(
    token_file: Path,
    section: configparser.SectionProxy,
) -> tuple[bytes, Operator]:
    where = f'{token_file}: [{section.name}]'
    token = section.get('token', '').strip()
    team = section.get('team', '').strip()
    if not token:
        raise SettingsError(f'{where} token: missing')
    try:
        role = OperatorRole(section.get('role', '').strip())
    except ValueError:
        accepted = ', '.join(each.value for each in OperatorRole)
        raise SettingsError(
            f'{where} role: must be one of {accepted}'
        ) from None
    if role is OperatorRole.member and not team:
        raise SettingsError(f'{where} team: required for role member')
    return _digest(token), Operator(section.name, role, team)


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
