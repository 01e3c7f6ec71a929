"""Classification of requests as idempotent or not."""

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
_DECLARED_VALUES = frozenset(('true', 'false'))


@final
@attrs.frozen
class Idempotency:
    """Whether a request may run more than once, and its idempotency key.

    Idempotent requests have no key because they need no claim.
    """

    idempotent: bool
    key: ClaimKey | None = None


def classify(
    method: str,
    declared: str | None,
    key: str | None,
) -> Result[Idempotency, Refusal]:
    """Classify a request by its method and headers.

    ``declared`` is the value of ``Wasabiturn-Idempotent``, which overrides
    the default of the method; ``key`` is the value of ``Idempotency-Key``.
    """
    if declared is not None and declared.lower() not in _DECLARED_VALUES:
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
    if declared is None:
        idempotent = method in _IDEMPOTENT_METHODS
    else:
        idempotent = declared.lower() == 'true'
    if idempotent or key is None:
        return Ok(Idempotency(idempotent=idempotent))
    return Ok(Idempotency(idempotent=False, key=ClaimKey(key)))
