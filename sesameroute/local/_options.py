"""What a local run is asked to do."""

import re
from dataclasses import dataclass

from sesameroute.exceptions import InputError

__all__ = ['FaultTime', 'RunOptions', 'parse_fault']

_FAULT = re.compile(r'([a-z][a-z-]*)(?:@(\d+(?:\.\d+)?))?')


@dataclass(frozen=True, slots=True)
class FaultTime:
    """A fault by name and its second, None for a third of the run."""

    name: str
    second: float | None = None


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Length, load and faults of a run.

    Attributes
    ----------
    seconds : float
        Length of the load.
    seed : int
        Seed of arrivals, kinds, callers and choices.
    rate : float
        Requests of callers a second.
    work_factor : float
        Multiplies the work time of all stand-in backend servers.
    callers : int
        Callers in each failure domain; each keeps its own look-ups.
    trace_sample : float
        Part of the requests whose spans are logged.

    """

    seconds: float = 15
    seed: int = 1
    rate: float = 60
    work_factor: float = 1
    callers: int = 2
    trace_sample: float = 0
    faults: tuple[FaultTime, ...] = ()

    def check(self) -> None:
        """Raise InputError for a value outside of what is allowed."""
        allowed = {
            'seconds': (1, 3600),
            'rate': (1, 1000),
            'work_factor': (0, 100),
            'callers': (1, 50),
            'trace_sample': (0, 1),
        }
        for name, (low, high) in allowed.items():
            value = getattr(self, name)
            if not low <= value <= high:
                raise InputError(
                    f'--{name} {value!r}: allowed: from {low} to {high}',
                )

    def find_second(self, fault: FaultTime) -> float:
        """Return the second at which a fault begins."""
        if fault.second is None:
            return self.seconds / 3
        return fault.second


def parse_fault(text: str) -> FaultTime:
    """Return a fault written as ``NAME`` or ``NAME@SECOND``.

    Raises
    ------
    InputError
        The text has another form.

    Examples
    --------
    >>> parse_fault('entry-crash@7.5')
    FaultTime(name='entry-crash', second=7.5)

    """
    match = _FAULT.fullmatch(text)
    if match is None:
        raise InputError(f'--fault {text!r}: allowed: NAME or NAME@SECOND')
    second = match.group(2)
    return FaultTime(match.group(1), float(second) if second else None)
