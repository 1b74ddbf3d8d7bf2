"""Options of a local run: length, load and faults."""

import re
from dataclasses import dataclass

from sesameroute.exceptions import InputError

__all__ = ['ScheduledFault', 'RunOptions', 'parse_fault']

_FAULT_PATTERN = re.compile(r'([a-z][a-z-]*)(?:@(\d+(?:\.\d+)?))?')


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and when it begins.

    Attributes
    ----------
    name : str
        Name of the fault.
    second : float or None
        Seconds from the start of the load; None means after a third of it.

    """

    name: str
    second: float | None = None


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Length, load and faults of a run.

    Attributes
    ----------
    seconds : float
        Seconds during which requests arrive.
    seed : int
        Seed of arrival times, kinds, callers and the targets of faults.
    rate : float
        Mean requests per second of all callers together.
    work_factor : float
        Factor on the work time of all simulated backend servers.
    callers : int
        Callers per failure domain; each caches its own look-up answers.
    trace_sample : float
        Fraction of requests whose trace spans are logged.
    faults : tuple of ScheduledFault
        Faults to inject.

    """

    seconds: float = 15
    seed: int = 1
    rate: float = 60
    work_factor: float = 1
    callers: int = 2
    trace_sample: float = 0
    faults: tuple[ScheduledFault, ...] = ()

    def check(self) -> None:
        """Check that every number is in its allowed range.

        Raises
        ------
        InputError
            A value is out of range.

        """
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

    def find_start_second(self, fault: ScheduledFault) -> float:
        """Return the seconds from the start of the load to a fault."""
        if fault.second is None:
            return self.seconds / 3
        return fault.second


def parse_fault(text: str) -> ScheduledFault:
    """Return a fault written as ``NAME`` or ``NAME@SECOND``.

    Raises
    ------
    InputError
        The text does not have this form.

    Examples
    --------
    >>> parse_fault('entry-crash@7.5')
    ScheduledFault(name='entry-crash', second=7.5)

    """
    match = _FAULT_PATTERN.fullmatch(text)
    if match is None:
        raise InputError(f'--fault {text!r}: allowed: NAME or NAME@SECOND')
    second = match.group(2)
    return ScheduledFault(match.group(1), float(second) if second else None)
