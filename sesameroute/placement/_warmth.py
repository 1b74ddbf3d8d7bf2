"""Which objects a backend server still knows.

Backend servers keep an unknown number of recently used objects. The depth
of an object is how many others its backend server has handled since; runs
show at which depths objects are still known.
"""

import math
from collections import OrderedDict

__all__ = ['DepthModel', 'RecentKeys']

_BUCKET_WIDTH = 8  # depths that are judged together
_BUCKETS = 64
_MOST_OBJECTS = _BUCKETS * _BUCKET_WIDTH
_SMOOTHING = 0.1  # weight of the newest run in a bucket's hit rate
_WARM_RATE = 0.5  # least hit rate at which an object counts as known
_REFRESH_SECONDS = 0.25  # age at which depths are counted again


class DepthModel:
    """Learns up to which depth a service's backend servers keep objects.

    Examples
    --------
    >>> model = DepthModel()
    >>> model.is_warm(20)
    True
    >>> for _ in range(20):
    ...     model.observe(20, is_hit=False)
    >>> model.is_warm(20), model.is_warm(5)
    (False, True)

    """

    def __init__(self) -> None:
        """Start by trusting every depth."""
        self._rates: list[float] = [1 for _ in range(_BUCKETS)]

    def is_warm(self, depth: int) -> bool:
        """Return whether an object at `depth` is likely still known."""
        return self._rates[_find_bucket(depth)] >= _WARM_RATE

    def observe(self, depth: int, *, is_hit: bool) -> None:
        """Learn from one run on an object at `depth`."""
        bucket = _find_bucket(depth)
        rate = self._rates[bucket]
        self._rates[bucket] = rate + _SMOOTHING * (is_hit - rate)


class RecentKeys:
    """Objects that one backend server has handled, newest last.

    Parameters
    ----------
    most : int
        Objects that are remembered.

    """

    def __init__(self, most: int = _MOST_OBJECTS) -> None:
        """Start empty."""
        self.most = most
        self._used: OrderedDict[str, float] = OrderedDict()
        self._depths: dict[str, int] = {}
        self._counted = -math.inf

    def add(self, key: str, now: float) -> None:
        """Note that an object was handled."""
        self._used[key] = now
        self._used.move_to_end(key)
        if len(self._used) > self.most:
            self._used.popitem(last=False)

    def find_depth(self, key: str, now: float) -> int | None:
        """Return the depth of an object, None if it was never handled.

        Depths are counted again at most every `_REFRESH_SECONDS`.
        """
        used = self._used.get(key)
        if used is None:
            return None
        if used >= self._counted and now - self._counted < _REFRESH_SECONDS:
            return 0
        if now - self._counted >= _REFRESH_SECONDS:
            self._count(now)
        return self._depths.get(key, 0)

    def forget(self, key: str) -> None:
        """Note that an object was not handled after all."""
        self._used.pop(key, None)
        self._depths.pop(key, None)

    def clear(self) -> None:
        """Forget all: the backend server has started anew."""
        self._used.clear()
        self._depths.clear()

    def __len__(self) -> int:
        """Return how many objects are remembered."""
        return len(self._used)

    def _count(self, now: float) -> None:
        self._depths = {
            key: depth for depth, key in enumerate(reversed(self._used))
        }
        self._counted = now


def _find_bucket(depth: int) -> int:
    return min(depth // _BUCKET_WIDTH, _BUCKETS - 1)
