"""The configuration: one accepted statement with its version."""

import json
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import StrEnum, unique

from pydantic import TypeAdapter

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


@register_message('configuration')
@dataclass(frozen=True, slots=True)
class Configuration:
    """A statement as submitted.

    Attributes
    ----------
    version : int
        Number that grows by one with every accepted submission.
    submission : str
        Unique id of the submission; it settles lost answers of the store.
    text : str
        The statement in INI form.
    recent : tuple of str
        Ids of the submissions before this one, the newest first; they
        settle a lost answer that others have built upon.

    """

    version: int
    submission: str
    text: str
    recent: tuple[str, ...] = ()


@unique
class ConfigurationFault(StrEnum):
    """Why a configuration that was met is not followed."""

    UNREADABLE = 'unreadable'
    CONFLICTING = 'conflicting'
    OLDER_STORE = 'older-store'


_ADAPTER = TypeAdapter(Configuration)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON form that the store keeps.

    Examples
    --------
    >>> packed = encode_configuration(Configuration(1, 'a', '[institution]'))
    >>> decode_configuration(packed).version
    1

    """
    return json.dumps(asdict(configuration)).encode()


def decode_configuration(packed: bytes) -> Configuration:
    """Return the configuration from its JSON form.

    Raises
    ------
    InputError
        The bytes are no configuration.

    """
    try:
        return _ADAPTER.validate_json(packed)
    except ValueError as error:
        raise InputError(f'configuration is not valid: {error}') from error


class ConfigurationKeeper:
    """Holds the newest configuration that this node has met.

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
        Configurations not followed, by `ConfigurationFault`.

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
        """Store the parser."""
        self.read_statement = read_statement
        self.current: Configuration | None = None
        self.statement: Statement | None = None
        self.faults: Counter[ConfigurationFault] = Counter()
        self._listeners: list[Callable[[Statement], None]] = []
        self._refused: Configuration | None = None
        self._lock = threading.RLock()

    @property
    def version(self) -> int:
        """The version in force; 0 when none is known."""
        current = self.current
        return current.version if current else 0

    def listen(self, listener: Callable[[Statement], None]) -> None:
        """Call `listener` with each statement that comes into force."""
        self._listeners.append(listener)

    def observe(self, configuration: Configuration) -> bool:
        """Take a configuration if it is newer; return whether it was taken."""
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
        """Count a store that is behind this node; return whether it is."""
        is_older = configuration.version < self.version
        self.faults[ConfigurationFault.OLDER_STORE] += int(is_older)
        return is_older

    def report_unreadable(self) -> None:
        """Count a value that is no configuration at all."""
        self.faults[ConfigurationFault.UNREADABLE] += 1

    def _is_newer(self, configuration: Configuration) -> bool:
        current = self.current
        if current is None:
            return configuration.version > 0
        if configuration.version != current.version:
            return configuration.version > current.version
        is_other = configuration.submission != current.submission
        self.faults[ConfigurationFault.CONFLICTING] += int(is_other)
        return False

    def _parse(self, configuration: Configuration) -> Statement | None:
        # A text that was refused once is not parsed again at every contact.
        if configuration == self._refused:
            return None
        try:
            return self.read_statement(configuration.text)
        except SesameError:
            self._refused = configuration
            self.faults[ConfigurationFault.UNREADABLE] += 1
            return None
