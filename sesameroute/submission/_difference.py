"""Differences between the texts of two statements, for operators."""

import difflib

__all__ = ['describe_difference']


def describe_difference(
    before: str,
    after: str,
    names: tuple[str, str] = ('yours', 'stored'),
) -> str:
    """Return a unified diff; empty if the texts are equal.

    Parameters
    ----------
    before, after : str
        The texts.
    names : tuple of (str, str), optional
        File names in the header of the diff.

    Examples
    --------
    >>> print(describe_difference('reserve = 0.1', 'reserve = 0.2'))
    --- yours
    +++ stored
    @@ -1 +1 @@
    -reserve = 0.1
    +reserve = 0.2

    """
    lines = difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        *names,
        lineterm='',
    )
    return '\n'.join(lines)
