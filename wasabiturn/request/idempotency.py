"""Which requests may run more than once."""

from http import HTTPStatus
from typing import final

import attrs
from expression import Error, Ok, Result

from wasabiturn.ids import ClaimKey
from wasabiturn.request.refusal import Refusal, refuse_not_run

IDEMPOTENT_HEADER = 'wasabiturn-idempotent'
KEY_HEADER = 'idempotency-key'
MAX_KEY_LENGTH = 255

_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'),
)
_MARKS = frozenset(('true', 'false'))


@final
@attrs.frozen
class Idempotency:
    """Whether a request may run again, and the key that names it.

    Idempotent requests have no key: they need no claim.
    """

    idempotent: bool
    key: ClaimKey | None = None


def classify(
    method: str,
    mark: str | None,
    key: str | None,
) -> Result[Idempotency, Refusal]:
    """Classify a request by its method and the values of its headers.

    ``mark`` is the value of ``Wasabiturn-Idempotent`` and goes before the
    default of the method; ``key`` is the value of ``Idempotency-Key``.
    """
    if mark is not None and mark.lower() not in _MARKS:
        return Error(
            refuse_not_run(
                HTTPStatus.BAD_REQUEST, 'Wasabiturn-Idempotent is true or false'
            ),
        )
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        return Error(
            refuse_not_run(
                HTTPStatus.BAD_REQUEST,
                'Idempotency-Key has 1 to 255 characters',
            ),
        )
    if mark is None:
        idempotent = method in _IDEMPOTENT_METHODS
    else:
        idempotent = mark.lower() == 'true'
    if idempotent or key is None:
        return Ok(Idempotency(idempotent=idempotent))
    return Ok(Idempotency(idempotent=False, key=ClaimKey(key)))
