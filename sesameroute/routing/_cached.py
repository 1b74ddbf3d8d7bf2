"""Memoization of methods of immutable objects."""

from collections.abc import Callable
from functools import wraps
from typing import Any

__all__ = ['cached_method']


def cached_method(method: Callable[..., Any]) -> Callable[..., Any]:
    """Cache a method's results in the dictionary `cache_` of its object.

    The cache is unbounded: use it only for immutable objects whose method
    is called with few different arguments.

    Examples
    --------
    >>> class Sample:
    ...     def __init__(self):
    ...         self.cache_ = {}
    ...
    ...     @cached_method
    ...     def build(self, size):
    ...         return [size]
    >>> sample = Sample()
    >>> sample.build(1) is sample.build(1)
    True

    """
    name = method.__name__

    @wraps(method)
    def call(self: Any, *args: Any) -> Any:
        key = (name, *args)
        if key not in self.cache_:
            self.cache_[key] = method(self, *args)
        return self.cache_[key]

    return call
