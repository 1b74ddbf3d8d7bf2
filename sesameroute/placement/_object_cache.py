"""Estimates which objects a backend server still has in its cache.

Backend servers cache an unknown number of recently used objects. The depth of
an object (its LRU stack distance) is the number of other objects that the
server has handled since. Run times show at which depths objects are still
cached.
"""

import math
from collections import OrderedDict

__all__ = ['CacheDepthModel', 'RecentKeys']

# Number of adjacent depths that share a hit rate.
_BUCKET_WIDTH = 8
_BUCKET_COUNT = 64
_MAX_OBJECTS = _BUCKET_COUNT * _BUCKET_WIDTH
# Weight of the newest run in the hit rate of a bucket.
_SMOOTHING = 0.1
# Objects are considered as cached from this hit rate on.
_MIN_WARM_HIT_RATE = 0.5
# Depths are recomputed when they are older.
_DEPTH_REFRESH_SECONDS = 0.25


class CacheDepthModel:
    """Learns at which depths a service's servers still have objects cached.

    Examples
    --------
    >>> model = CacheDepthModel()
    >>> model.is_warm(20)
    True
    >>> for _ in range(20):
    ...     model.observe(20, is_hit=False)
    >>> model.is_warm(20), model.is_warm(5)
    (False, True)

    """

    def __init__(self) -> None:
        """Start by assuming that objects at all depths are cached."""
        self._hit_rates: list[float] = [1 for _ in range(_BUCKET_COUNT)]

    def is_warm(self, depth: int) -> bool:
        """Return whether an object at `depth` is probably still cached."""
        return self._hit_rates[_find_bucket(depth)] >= _MIN_WARM_HIT_RATE

    def observe(self, depth: int, *, is_hit: bool) -> None:
        """Record whether a run for an object at `depth` was a cache hit."""
        bucket = _find_bucket(depth)
        hit_rate = self._hit_rates[bucket]
        self._hit_rates[bucket] = hit_rate + _SMOOTHING * (is_hit - hit_rate)


class RecentKeys:
    """Objects that one backend server has handled, newest last.

    Parameters
    ----------
    capacity : int
        Maximum number of objects that are remembered.

    """

    def __init__(self, capacity: int = _MAX_OBJECTS) -> None:
        """Start empty."""
        self.capacity = capacity
        self._last_used_at: OrderedDict[str, float] = OrderedDict()
        self._depths: dict[str, int] = {}
        self._depths_updated_at = -math.inf

    def add(self, key: str, now: float) -> None:
        """Record that the server handled an object."""
        self._last_used_at[key] = now
        self._last_used_at.move_to_end(key)
        if len(self._last_used_at) > self.capacity:
            self._last_used_at.popitem(last=False)

    def find_depth(self, key: str, now: float) -> int | None:
        """Return the depth of an object, None if it is not remembered.

        The result may be out of date by `_DEPTH_REFRESH_SECONDS`, because
        depths are recomputed no more often.
        """
        last_used_at = self._last_used_at.get(key)
        if last_used_at is None:
            return None
        if (
            last_used_at >= self._depths_updated_at
            and now - self._depths_updated_at < _DEPTH_REFRESH_SECONDS
        ):
            return 0
        if now - self._depths_updated_at >= _DEPTH_REFRESH_SECONDS:
            self._update_depths(now)
        return self._depths.get(key, 0)

    def discard(self, key: str) -> None:
        """Remove an object whose request was not run after all."""
        self._last_used_at.pop(key, None)
        self._depths.pop(key, None)

    def clear(self) -> None:
        """Remove all objects, because the backend server was restarted."""
        self._last_used_at.clear()
        self._depths.clear()

    def __len__(self) -> int:
        """Return the number of remembered objects."""
        return len(self._last_used_at)

    def _update_depths(self, now: float) -> None:
        self._depths = {
            key: depth for depth, key in enumerate(reversed(self._last_used_at))
        }
        self._depths_updated_at = now


def _find_bucket(depth: int) -> int:
    return min(depth // _BUCKET_WIDTH, _BUCKET_COUNT - 1)
