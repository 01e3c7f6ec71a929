"""Pages of a list, small enough to keep the loop of the leader free."""

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
    """Return the page of ``resources`` that begins after a name.

    ``next`` is the name to go on after, and empty on the last page.
    """
    following = [each for each in resources if each.name > after]
    following.sort(key=_by_name)
    page = following[:PAGE_ITEMS]
    has_more = len(following) > len(page)
    return {
        'revision': revision,
        'items': [render_resource(each) for each in page],
        'next': page[-1].name if has_more else '',
    }


def _by_name(resource: Resource) -> str:
    return resource.name
