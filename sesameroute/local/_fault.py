"""Base class and registry of the faults that a local run can inject."""

from collections.abc import Callable
from typing import ClassVar, TypeVar

from sesameroute.exceptions import InputError
from sesameroute.local._fault_context import FaultContext

__all__ = ['Fault', 'find_fault', 'list_faults', 'register_fault']

FaultType = TypeVar('FaultType', bound='type[Fault]')

_FAULT_CLASSES: dict[str, 'type[Fault]'] = {}  # noqa: WPS407


class Fault:
    """A failure or an operator action that begins and ends during a run.

    Attributes
    ----------
    name : str
        Name on the command line.
    summary : str
        One-line description, printed by ``--list_faults``.
    seconds : float
        Duration, from `inject` to `heal`.

    """

    name: ClassVar[str] = ''
    summary: ClassVar[str] = ''
    seconds: ClassVar[float] = 4

    def inject(self, context: FaultContext) -> None:
        """Start the fault."""

    def heal(self, context: FaultContext) -> None:
        """End the fault and undo effects that do not end by themselves."""


def register_fault(name: str) -> Callable[[FaultType], FaultType]:
    """Return a class decorator that registers a fault under a name.

    The first line of the class docstring becomes the summary of the fault.
    """

    def decorate(cls: FaultType) -> FaultType:
        cls.name = name
        cls.summary = (cls.__doc__ or '').partition('\n')[0]
        _FAULT_CLASSES[name] = cls
        return cls

    return decorate


def find_fault(name: str) -> Fault:
    """Return a new instance of the fault with this name.

    Raises
    ------
    InputError
        No fault is registered under this name.

    """
    if name not in _FAULT_CLASSES:
        allowed = ', '.join(sorted(_FAULT_CLASSES))
        raise InputError(f'--fault {name!r}: allowed: {allowed}')
    return _FAULT_CLASSES[name]()


def list_faults() -> tuple[tuple[str, str], ...]:
    """Return name and summary of every fault, sorted by name."""
    return tuple(
        (name, _FAULT_CLASSES[name].summary) for name in sorted(_FAULT_CLASSES)
    )
