"""The configuration: one accepted statement with its version.

A statement is an institution's description of its places, VMs, services and
policy. Nodes only ever replace a configuration by one with a higher version.
"""

import json
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import StrEnum, unique
from typing import Annotated

from pydantic import Field, TypeAdapter

from sesameroute.exceptions import InputError, SesameError
from sesameroute.ports import register_message
from sesameroute.statement import Statement

__all__ = [
    'Configuration',
    'ConfigurationFault',
    'ConfigurationKeeper',
    'decode_configuration',
    'encode_configuration',
]


_MAX_VERSION = 9_223_372_036_854_775_807  # largest integer of a message


@register_message('configuration')
@dataclass(frozen=True, slots=True)
class Configuration:
    """A statement as an operator submitted it.

    Attributes
    ----------
    version : int
        Grows by one with every accepted submission.
    submission : str
        Unique id of the submission. If the store's answer to a write got
        lost, the id shows whether the write took effect.
    text : str
        The statement in INI form.
    recent : tuple of str
        Ids of the submissions before this one, the newest first. They show
        the same for a write on top of which others were made since.

    """

    version: Annotated[int, Field(ge=0, le=_MAX_VERSION)]
    submission: str
    text: str
    recent: tuple[str, ...] = ()


@unique
class ConfigurationFault(StrEnum):
    """Why a received configuration did not come into force.

    Attributes
    ----------
    UNREADABLE
        It is no configuration, or its statement is not valid.
    CONFLICTING
        It has the version in force, but comes from another submission.
    OLDER_STORE
        The store's version is below the one in force.

    """

    UNREADABLE = 'unreadable'
    CONFLICTING = 'conflicting'
    OLDER_STORE = 'older-store'


_ADAPTER = TypeAdapter(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON form that is kept in the store.

    Examples
    --------
    >>> encoded = encode_configuration(Configuration(1, 'a', '[institution]'))
    >>> decode_configuration(encoded).version
    1

    """
    return json.dumps(asdict(configuration)).encode()


def decode_configuration(encoded: bytes) -> Configuration:
    """Return the configuration from the JSON form in the store.

    Raises
    ------
    InputError
        The bytes are not the JSON form of a configuration.

    """
    try:
        return _ADAPTER.validate_json(encoded)
    except ValueError as error:
        raise InputError(f'configuration is not valid: {error}') from error


class ConfigurationKeeper:
    """Holds the newest valid configuration that this node has received.

    Parameters
    ----------
    read_statement : callable
        Parses the INI text; raises SesameError when it is not valid.

    Attributes
    ----------
    current : Configuration or None
        The configuration in force.
    statement : Statement or None
        Its parsed statement.
    faults : Counter
        Number of configurations not put in force, by `ConfigurationFault`.

    Examples
    --------
    >>> keeper = ConfigurationKeeper(read_statement=str)
    >>> keeper.observe(Configuration(2, 'b', 'two'))
    True
    >>> keeper.observe(Configuration(1, 'a', 'one'))
    False
    >>> keeper.version
    2

    """

    def __init__(self, read_statement: Callable[[str], Statement]) -> None:
        """Start without a configuration."""
        self.read_statement = read_statement
        self.current: Configuration | None = None
        self.statement: Statement | None = None
        self.faults: Counter[ConfigurationFault] = Counter()
        self._listeners: list[Callable[[Statement], None]] = []
        self._rejected: Configuration | None = None
        self._lock = threading.RLock()

    @property
    def version(self) -> int:
        """The version in force; 0 when none is known."""
        current = self.current
        return current.version if current else 0

    def add_listener(self, listener: Callable[[Statement], None]) -> None:
        """Call `listener` with each statement that comes into force."""
        self._listeners.append(listener)

    def observe(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer and valid.

        Returns
        -------
        bool
            Whether it came into force.

        """
        with self._lock:
            if not self._is_newer(configuration):
                return False
            statement = self._parse(configuration)
            if statement is None:
                return False
            self.statement = statement
            self.current = configuration
        for listener in self._listeners:
            listener(statement)
        return True

    def report_older(self, configuration: Configuration) -> bool:
        """Count the store's configuration as a fault if it is older.

        Returns
        -------
        bool
            Whether its version is below the one in force.

        """
        is_older = configuration.version < self.version
        self.faults[ConfigurationFault.OLDER_STORE] += int(is_older)
        return is_older

    def report_unreadable(self) -> None:
        """Count a value in the store that could not be decoded."""
        self.faults[ConfigurationFault.UNREADABLE] += 1

    def _is_newer(self, configuration: Configuration) -> bool:
        current = self.current
        if current is None:
            return configuration.version > 0
        if configuration.version != current.version:
            return configuration.version > current.version
        is_conflicting = configuration.submission != current.submission
        self.faults[ConfigurationFault.CONFLICTING] += int(is_conflicting)
        return False

    def _parse(self, configuration: Configuration) -> Statement | None:
        # Peers offer a rejected configuration again and again: skip the parse.
        if configuration == self._rejected:
            return None
        try:
            return self.read_statement(configuration.text)
        except SesameError:
            self._rejected = configuration
            self.faults[ConfigurationFault.UNREADABLE] += 1
            return None
