"""Helper that reads paginated lists."""

from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred

from wasabiturn.management.http_client import ApiClient


def read_pages(client: ApiClient, path: str) -> Deferred[Any]:
    """Read all pages of the list at ``path``; fail with ``ApiError``.

    Each page is linearizable, but the list as a whole is not: a resource that
    is written during the read may appear in its old or its new version.
    """
    items: list[dict[str, Any]] = []

    def add_page(page: dict[str, Any]) -> Any:
        items.extend(page['items'])
        cursor = page.get('next', '')
        if not cursor:
            return items
        quoted_cursor = quote(cursor)
        return client.read(f'{path}?after={quoted_cursor}').addCallback(
            add_page
        )

    return client.read(path).addCallback(add_page)
