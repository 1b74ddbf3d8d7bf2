"""A measured value with its regression bound."""

from dataclasses import dataclass
from enum import StrEnum, unique

__all__ = ['Direction', 'Measurement']


@unique
class Direction(StrEnum):
    """Whether a bound is an upper or a lower one."""

    AT_MOST = 'at-most'
    AT_LEAST = 'at-least'


@dataclass(frozen=True, slots=True)
class Measurement:
    """A measured value with an optional bound.

    Attributes
    ----------
    name : str
        What was measured, such as ``steering/kalina/steady/p99``.
    unit : str
        Unit of the value and the bound.
    bound : float or None
        Regression bound; None if the value is only shown.
    direction : Direction
        Whether the bound is an upper or a lower one.

    Examples
    --------
    >>> Measurement('p99', 12, 'ms', bound=20).is_met
    True
    >>> Measurement('served', 0.9, '', 0.95, Direction.AT_LEAST).is_met
    False

    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    direction: Direction = Direction.AT_MOST

    @property
    def is_met(self) -> bool:
        """Whether the value is within its bound."""
        if self.bound is None:
            return True
        if self.direction is Direction.AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound
