"""Faults by name."""

from collections.abc import Callable
from typing import ClassVar, TypeVar

from sesameroute.exceptions import InputError
from sesameroute.local._scene import Scene

__all__ = ['Fault', 'find_fault', 'list_faults', 'register_fault']

FaultType = TypeVar('FaultType', bound='type[Fault]')

_FAULTS: dict[str, 'type[Fault]'] = {}  # noqa: WPS407


class Fault:
    """Something that goes wrong or is done on purpose, and ends.

    Attributes
    ----------
    name : str
        Name on the command line.
    text : str
        What happens, in a line.
    seconds : float
        Time from `inject` to `heal`.

    """

    name: ClassVar[str] = ''
    text: ClassVar[str] = ''
    seconds: ClassVar[float] = 4

    def inject(self, scene: Scene) -> None:
        """Begin."""

    def heal(self, scene: Scene) -> None:
        """End, and undo what does not end by itself."""


def register_fault(name: str) -> Callable[[FaultType], FaultType]:
    """Return a decorator that makes a fault known under its name.

    The first line of its docstring becomes its text.
    """

    def decorate(cls: FaultType) -> FaultType:
        cls.name = name
        cls.text = (cls.__doc__ or '').partition('\n')[0]
        _FAULTS[name] = cls
        return cls

    return decorate


def find_fault(name: str) -> Fault:
    """Return a new fault.

    Raises
    ------
    InputError
        No fault has this name.

    """
    if name not in _FAULTS:
        allowed = ', '.join(sorted(_FAULTS))
        raise InputError(f'--fault {name!r}: allowed: {allowed}')
    return _FAULTS[name]()


def list_faults() -> tuple[tuple[str, str], ...]:
    """Return names and texts of all faults."""
    return tuple((name, _FAULTS[name].text) for name in sorted(_FAULTS))
