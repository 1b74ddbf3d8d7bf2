"""VM list port: the platform's list of VMs and backend servers.

The list lags behind the facts, and is at times wrong.
"""

from dataclasses import dataclass
from typing import Protocol

__all__ = ['ListedVm', 'VmList']


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM or backend server in the platform's list.

    Attributes
    ----------
    name : str
        Its name.
    address : str
        Its IP address.
    leaving : bool
        Whether it is about to be removed.

    """

    name: str
    address: str
    leaving: bool = False


class VmList(Protocol):
    """Reads the platform's list."""

    def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list.

        Raises
        ------
        StoreUnreachableError
            The list could not be read.

        """
