"""One measured figure with its regression bound."""

from dataclasses import dataclass
from enum import StrEnum, unique

__all__ = ['Direction', 'Figure']


@unique
class Direction(StrEnum):
    """Which values of a figure are good."""

    AT_MOST = 'at-most'
    AT_LEAST = 'at-least'


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured value.

    Attributes
    ----------
    name : str
        What was measured, such as ``kalina/steady/ours/p99``.
    unit : str
        Unit of the value and the bound.
    bound : float or None
        Regression bound; None when the figure is only shown.
    direction : Direction
        On which side of the bound the value has to be.

    Examples
    --------
    >>> Figure('p99', 12, 'ms', bound=20).is_met
    True
    >>> Figure('served', 0.9, '', 0.95, Direction.AT_LEAST).is_met
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
