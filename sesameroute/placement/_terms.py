"""What a deployment's settings ask of the placement."""

from dataclasses import dataclass

__all__ = ['PlacementTerms']


@dataclass(frozen=True, slots=True)
class PlacementTerms:
    """Parts of the placement that settings switch on.

    Attributes
    ----------
    follows_sizes : bool
        Whether the servers' shares of the work follow their sizes, with few
        moves of objects when servers come or go.
    forecast_seconds : float
        How far ahead the demand is forecast to which the shares of the
        regions lead; 0 means that they follow the demand.
    max_shift : float
        Fraction of a region's requests that may change the region in which
        they run from one window of two seconds to the next. It counts only
        with a forecast.

    """

    follows_sizes: bool = False
    forecast_seconds: float = 0
    max_shift: float = 0.15
