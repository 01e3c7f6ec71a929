"""Pagination of lists; small pages keep the leader's event loop responsive."""

from collections.abc import Iterable
from typing import Any

from wasabiturn.messages.state import Resource
from wasabiturn.version.resources import render_resource

PAGE_ITEMS = 1000


def create_page(
    revision: int,
    resources: Iterable[Resource],
    after: str,
) -> dict[str, Any]:
    """Return the page of ``resources`` whose names follow ``after``.

    ``next`` is the value of ``after`` for the next page; empty on the last one.
    """
    remaining = [each for each in resources if each.name > after]
    remaining.sort(key=_by_name)
    page = remaining[:PAGE_ITEMS]
    has_more = len(remaining) > len(page)
    return {
        'revision': revision,
        'items': [render_resource(each) for each in page],
        'next': page[-1].name if has_more else '',
    }


def _by_name(resource: Resource) -> str:
    return resource.name
