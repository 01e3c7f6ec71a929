"""Addresses of processes."""

from typing import final

import attrs


@final
@attrs.frozen
class Endpoint:
    """IP address and port of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form used in settings."""
        return f'{self.host}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``ip:port``.

    Raises:
        ValueError: the text does not have this form.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'{text!r} is not ip:port')
    return Endpoint(host=host, port=int(port))
