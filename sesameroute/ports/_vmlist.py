"""VM list port: the platform's lagging list of live and leaving VMs."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ['ListedVm', 'VmList']


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM or backend server as the platform last saw it."""

    name: str
    address: str
    leaving: bool = False


class VmList(Protocol):
    """The platform's list; late, and at times wrong."""

    def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list; raise StoreDownError when unreachable."""
