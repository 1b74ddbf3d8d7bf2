"""Reads the event log's lines back."""

import json
import re

__all__ = ['parse_line']

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line: str) -> dict[str, str]:
    """Return the fields of a key=value line; what is none is left out.

    Examples
    --------
    >>> parse_line('12.5 node-a event=vm-lost why="no route"')
    {'event': 'vm-lost', 'why': 'no route'}

    """
    return {name: _unquote(text) for name, text in _FIELD.findall(line)}


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text  # a line that was cut within its quotes
