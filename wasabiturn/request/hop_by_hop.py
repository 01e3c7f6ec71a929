"""Removal of hop-by-hop headers."""

from collections.abc import Iterable

from wasabiturn.messages.state import Header

HOP_BY_HOP_HEADERS = frozenset(
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
# Kept even if ``Connection`` lists it, because the next hop needs the length to
# find the end of the body.
_KEPT_HEADERS = frozenset(('content-length',))


def remove_hop_by_hop(headers: Iterable[Header]) -> list[Header]:
    """Return the end-to-end headers.

    Removes the hop-by-hop headers of HTTP/1.1 and those that ``Connection``
    lists.
    """
    kept = []
    listed: set[str] = set()
    for header in headers:
        name = header.name.lower()
        if name == 'connection':
            listed.update(_split_names(header.value))
        elif name not in HOP_BY_HOP_HEADERS:
            kept.append(header)
    if not listed:
        return kept
    return [each for each in kept if each.name.lower() not in listed]


def _split_names(value: str) -> set[str]:
    names = {name.strip() for name in value.lower().split(',')}
    return names - _KEPT_HEADERS
