"""Parser for the event log's key=value lines."""

import json
import re

__all__ = ['parse_line']

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line: str) -> dict[str, str]:
    """Return the fields of a key=value line; skip words that are no pair.

    Examples
    --------
    >>> parse_line('12.5 node-a event=vm-lost why="no route"')
    {'event': 'vm-lost', 'why': 'no route'}

    """
    return {
        name: _decode_value(encoded) for name, encoded in _FIELD.findall(line)
    }


def _decode_value(encoded: str) -> str:
    if not encoded.startswith('"'):
        return encoded
    try:
        return json.loads(encoded)
    except ValueError:
        return encoded  # line truncated inside a quoted value
