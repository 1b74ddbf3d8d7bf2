"""Parses addresses of the form ``IP:PORT``."""

from sesameroute.exceptions import InputError

__all__ = ['parse_address']


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
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise InputError(f'{text!r} is not IP:PORT')
    return host, int(port)
