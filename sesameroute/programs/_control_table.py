"""Tables of what the entry VMs answered, for a terminal."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from functools import singledispatch
from typing import Any

__all__ = ['format_table', 'format_tables']

Row = Mapping[str, Any]

_GAP = '  '
_LISTED = 4  # names shown before they are only counted
_VM = 'vm'
_EVERY = 'all'


def format_table(rows: Sequence[Row]) -> str:
    """Return rows as lines with aligned columns.

    Examples
    --------
    >>> print(format_table([{'vm': 'a-1', 'live': ['b-1']}, {'vm': 'a-2'}]))
    VM   LIVE
    a-1  b-1
    a-2  -

    """
    columns = list(dict.fromkeys(key for row in rows for key in row))
    lines = [[column.upper() for column in columns]]
    lines.extend(
        [format_cell(row.get(column)) for column in columns] for row in rows
    )
    widths = [
        max(len(cell) for cell in cells) for cells in zip(*lines, strict=True)
    ]
    return '\n'.join(_align(line, widths) for line in lines)


def format_tables(answers: Sequence[Row]) -> str:
    """Return one table of the plain fields and one per nested field.

    Parameters
    ----------
    answers : sequence of mapping
        A page of each VM; the field `vm` names it.

    Examples
    --------
    >>> print(
    ...     format_tables(
    ...         [
    ...             {'vm': 'a-1', 'version': 3, 'headroom': {'desk': [2, 4]}},
    ...             {'vm': 'a-2', 'version': 3, 'headroom': {'desk': [4, 4]}},
    ...         ]
    ...     )
    ... )
    VM   VERSION
    a-1  3
    a-2  3
    <BLANKLINE>
    headroom
    VM   DESK
    a-1  2/4
    a-2  4/4

    """
    plain = [
        {key: cell for key, cell in answer.items() if not _is_nested(cell)}
        for answer in answers
    ]
    return '\n\n'.join((format_table(plain), *_format_nested(answers)))


@singledispatch
def format_cell(cell: Any) -> str:
    """Return a field as a word or two."""
    return str(cell)


@format_cell.register
def _format_none(cell: None) -> str:
    return '-'


@format_cell.register
def _format_bool(cell: bool) -> str:
    return 'yes' if cell else 'no'


@format_cell.register
def _format_float(cell: float) -> str:
    return f'{cell:.3g}'


@format_cell.register
def _format_list(cell: list) -> str:
    if all(isinstance(part, int | float) for part in cell):
        return '/'.join(map(format_cell, cell)) or '-'
    if len(cell) > _LISTED:
        return f'{len(cell)} names'
    return ', '.join(map(format_cell, cell)) or '-'


@format_cell.register
def _format_dict(cell: dict) -> str:
    return ', '.join(f'{key}={format_cell(cell[key])}' for key in cell) or '-'


def _align(line: Iterable[str], widths: Iterable[int]) -> str:
    cells = zip(line, widths, strict=True)
    return _GAP.join(cell.ljust(width) for cell, width in cells).rstrip()


def _is_nested(cell: Any) -> bool:
    if isinstance(cell, list):
        return bool(cell) and all(isinstance(part, dict) for part in cell)
    return isinstance(cell, dict) and bool(cell)


def _format_nested(answers: Sequence[Row]) -> Iterator[str]:
    fields = dict.fromkeys(
        key
        for answer in answers
        for key, cell in answer.items()
        if _is_nested(cell)
    )
    for field in fields:
        rows = list(_list_rows(answers, field))
        yield f'{field}\n{format_table(rows)}'


def _list_rows(answers: Sequence[Row], field: str) -> Iterator[Row]:
    """Yield a row per VM, or per distinct part with the VMs that told it."""
    tellers: dict[str, list[str]] = {}
    parts: dict[str, Row] = {}
    for answer in answers:
        cell = answer.get(field)
        if isinstance(cell, dict):
            yield {_VM: answer.get(_VM), **cell}
            continue
        for part in cell or ():
            tellers.setdefault(str(part), []).append(str(answer.get(_VM)))
            parts[str(part)] = part
    for key, part in parts.items():
        told_by = tellers[key]
        is_common = len(told_by) == len(answers)
        yield {_VM: _EVERY if is_common else ', '.join(told_by), **part}
