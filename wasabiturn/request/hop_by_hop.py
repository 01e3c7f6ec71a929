"""Headers that concern one connection only."""

from collections.abc import Iterable

from wasabiturn.messages.state import Header

HOP_BY_HOP_NAMES = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# The next hop frames the body by it, so ``Connection`` cannot drop it.
_KEPT_NAMES = frozenset(('content-length',))


def end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are not bound to one connection.

    Besides the names that HTTP/1.1 fixes, those that ``Connection`` lists
    are dropped.
    """
    kept = list(headers)
    dropped = HOP_BY_HOP_NAMES.union(*map(_listed_names, kept)) - _KEPT_NAMES
    return [header for header in kept if header.name.lower() not in dropped]


def _listed_names(header: Header) -> set[str]:
    if header.name.lower() != 'connection':
        return set()
    return {name.strip() for name in header.value.lower().split(',')}
