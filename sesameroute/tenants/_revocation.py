"""Decides how long keys are taken by a node that is out of touch.

Answers a key that is taken away while a node reaches neither the store nor a
node that does.
"""

from dataclasses import dataclass

__all__ = ['RevocationBounds']

# For what a peer told last, and for a request that is sent just then.
_MARGIN_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class RevocationBounds:
    """How long a key that was taken away may be of use.

    Attributes
    ----------
    is_strict : bool
        Whether that binds nodes out of touch, too.
    seconds : float
        How long such a node may take keys.

    Examples
    --------
    >>> strict = RevocationBounds(True, 5)
    >>> strict.may_take_keys(4.5), strict.may_take_keys(4.9)
    (True, False)
    >>> RevocationBounds().may_take_keys(60)
    True

    """

    is_strict: bool = False
    seconds: float = 5.0

    def may_take_keys(self, age: float) -> bool:
        """Return whether a node takes keys.

        Parameters
        ----------
        age : float
            Seconds since what it knows was up to date, by the store itself or
            by a node that had read it.

        """
        return not self.is_strict or age <= self.seconds - _MARGIN_SECONDS
