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


def remove_hop_by_hop(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are not bound to one connection.

    Besides the names that HTTP/1.1 fixes, those that ``Connection`` lists
    are dropped.
    """
    kept = []
    listed: set[str] = set()
    for header in headers:
        name = header.name.lower()
        if name == 'connection':
            listed.update(_split_names(header.value))
        elif name not in HOP_BY_HOP_NAMES:
            kept.append(header)
    if not listed:
        return kept
    return [each for each in kept if each.name.lower() not in listed]


def _split_names(value: str) -> set[str]:
    names = {name.strip() for name in value.lower().split(',')}
    return names - _KEPT_NAMES
