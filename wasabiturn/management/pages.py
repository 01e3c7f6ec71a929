"""Reading of lists that come in pages."""

from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred

from wasabiturn.management.http_client import ApiClient


def read_pages(client: ApiClient, path: str) -> Deferred[Any]:
    """Read every page of the list at ``path``; fails with ``ApiError``.

    Each page is linearizable for itself: a resource that is written while the
    pages are read may be in its old or its new form.
    """
    items: list[dict[str, Any]] = []

    def take(page: dict[str, Any]) -> Any:
        items.extend(page['items'])
        following = page.get('next', '')
        if not following:
            return items
        after = quote(following)
        return client.read(f'{path}?after={after}').addCallback(take)

    return client.read(path).addCallback(take)
