"""Lookup in the headers of a message."""

from wasabiturn.messages.state import Header


def find_value(headers: list[Header], name: str) -> str | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for header in headers:
        if header.name.lower() == name:
            return header.value.strip()
    return None
