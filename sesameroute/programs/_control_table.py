"""Text tables of the entry VMs' answers."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from functools import singledispatch
from typing import Any

__all__ = ['format_table', 'format_tables']

Row = Mapping[str, Any]

_COLUMN_SEPARATOR = '  '
_MAX_LISTED_NAMES = 4  # longer lists are shown as a count
_VM_COLUMN = 'vm'
_ALL_VMS = 'all'


def format_table(rows: Sequence[Row]) -> str:
    """Return rows as a text table with aligned columns.

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
    """Return a table of the plain fields and a table per nested field.

    Parameters
    ----------
    answers : sequence of mapping
        Page of each VM, with the VM's name in the field `vm`.

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
    flat_rows = [
        {key: cell for key, cell in answer.items() if not _is_nested(cell)}
        for answer in answers
    ]
    return '\n\n'.join((format_table(flat_rows), *_format_nested(answers)))


@singledispatch
def format_cell(cell: Any) -> str:
    """Return the text of a table cell."""
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
    if all(isinstance(element, int | float) for element in cell):
        return '/'.join(map(format_cell, cell)) or '-'
    if len(cell) > _MAX_LISTED_NAMES:
        return f'{len(cell)} names'
    return ', '.join(map(format_cell, cell)) or '-'


@format_cell.register
def _format_dict(cell: dict) -> str:
    return ', '.join(f'{key}={format_cell(cell[key])}' for key in cell) or '-'


def _align(line: Iterable[str], widths: Iterable[int]) -> str:
    cells = zip(line, widths, strict=True)
    return _COLUMN_SEPARATOR.join(
        cell.ljust(width) for cell, width in cells
    ).rstrip()


def _is_nested(cell: Any) -> bool:
    if isinstance(cell, list):
        return bool(cell) and all(isinstance(element, dict) for element in cell)
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
    """Yield the rows of the table of a nested field.

    A mapping gives one row per VM. A list of mappings gives one row per
    distinct mapping, with the VMs that reported it.
    """
    vms_by_element: dict[str, list[str]] = {}
    elements: dict[str, Row] = {}
    for answer in answers:
        cell = answer.get(field)
        if isinstance(cell, dict):
            yield {_VM_COLUMN: answer.get(_VM_COLUMN), **cell}
            continue
        for element in cell or ():
            vms_by_element.setdefault(str(element), []).append(
                str(answer.get(_VM_COLUMN))
            )
            elements[str(element)] = element
    for key, element in elements.items():
        reporting_vms = vms_by_element[key]
        is_reported_by_all = len(reporting_vms) == len(answers)
        yield {
            _VM_COLUMN: _ALL_VMS
            if is_reported_by_all
            else ', '.join(reporting_vms),
            **element,
        }
