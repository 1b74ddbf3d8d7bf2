"""Request keys: who may run a request, and who knows whether it did."""

import re
import secrets
from dataclasses import dataclass
from typing import Final

from sesameroute.exceptions import InputError

__all__ = ['Identity', 'RequestKey', 'make_nonce']

_SEPARATOR: Final = '.'
_PATTERN: Final = re.compile(
    r'[^.]+[.][^.]+[.][0-9]{1,15}[.][^.]+[.][^.]+[.][^.]+',
    re.ASCII,
)
_NONCE_BYTES: Final = 12
_MAX_KEY_CHARACTERS: Final = 256


def make_nonce() -> str:
    """Return a random nonce for a request key."""
    return secrets.token_hex(_NONCE_BYTES)


@dataclass(frozen=True, slots=True)
class Identity:
    """A VM and one life of its entry process.

    Attributes
    ----------
    vm : str
        Name of the VM.
    incarnation : str
        Start time and random bits; differs after every restart.

    """

    vm: str
    incarnation: str


_NOBODY: Final = Identity('-', '-')  # stands for no witness


@dataclass(frozen=True, slots=True)
class RequestKey:
    """A parsed request key.

    Attributes
    ----------
    home : Identity
        The only process that may send the request to a backend server.
    epoch : int
        Number of the home's epoch.
    witness : Identity or None
        The process that acknowledges the key before it runs.
    nonce : str
        Random part, made by the caller.

    Examples
    --------
    >>> key = RequestKey.parse('a1.k3.7.a2.m9.f00d')
    >>> key.home.vm, key.epoch, key.witness.vm, key.nonce
    ('a1', 7, 'a2', 'f00d')
    >>> str(key)
    'a1.k3.7.a2.m9.f00d'
    >>> print(RequestKey.parse('a1.k3.7.-.-.f00d').witness)
    None

    """

    home: Identity
    epoch: int
    witness: Identity | None
    nonce: str

    def __str__(self) -> str:
        """Return the key as it stands in the header."""
        return _SEPARATOR.join((self.prefix, self.nonce))

    @property
    def prefix(self) -> str:
        """All but the nonce, as look-ups hand it out."""
        witness = self.witness or _NOBODY
        return _SEPARATOR.join(
            (
                self.home.vm,
                self.home.incarnation,
                str(self.epoch),
                witness.vm,
                witness.incarnation,
            ),
        )

    @classmethod
    def parse(cls, text: str) -> 'RequestKey':
        """Return the key that a header holds.

        Raises
        ------
        InputError
            The text is not a request key.

        """
        if len(text) > _MAX_KEY_CHARACTERS or not _PATTERN.fullmatch(text):
            raise InputError(f'request key {text!r} is not valid', 'bad-key')
        parts = text.split(_SEPARATOR)
        witness = Identity(parts[3], parts[4])
        return cls(
            Identity(parts[0], parts[1]),
            int(parts[2]),
            None if witness == _NOBODY else witness,
            parts[5],
        )
