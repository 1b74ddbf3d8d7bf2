"""Parses addresses of the form ``IP:PORT``."""

import re

from sesameroute.exceptions import InputError

__all__ = ['parse_address']

_ADDRESS = re.compile('(.{1,255}):([0-9]{1,5})')
_MAX_PORT = 65_535
_MAX_SHOWN_CHARACTERS = 100


def parse_address(text: str) -> tuple[str, int]:
    """Return IP address and port of ``IP:PORT``.

    Raises
    ------
    InputError
        The text has another form.

    Examples
    --------
    >>> parse_address('10.1.0.34:8548')
    ('10.1.0.34', 8548)

    """
    parts = _ADDRESS.fullmatch(text)
    if parts is None or int(parts[2]) > _MAX_PORT:
        raise InputError(f'{text[:_MAX_SHOWN_CHARACTERS]!r} is not IP:PORT')
    return parts[1], int(parts[2])
