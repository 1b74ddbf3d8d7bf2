"""Settings of a node: one INI file, fully validated before it is used."""

from configparser import Error, RawConfigParser
from typing import Annotated, Literal

import msgspec

from sesameroute.exceptions import InputError, describe_error
from sesameroute.placement import PlacementTerms
from sesameroute.tenants import RevocationBounds

__all__ = ['NodeSettings', 'parse_node_settings']

_LIST_KEYS = frozenset(('ports', 'seeds'))
_MAX_PORT = 65_535
_MAX_SECONDS = 86_400
_MAX_NUMBER = 1e9

Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_SECONDS)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Number = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]


class Identity(msgspec.Struct, forbid_unknown_fields=True):
    """Identity and location of the node."""

    name: str
    address: str
    zone: str
    region: str


class Listen(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses to listen on, each ``IP:PORT``; empty: not served."""

    front: str
    ready: str
    directory: str
    metrics: str = ''


class Peers(msgspec.Struct, forbid_unknown_fields=True):
    """Connections between nodes."""

    ports: Annotated[list[Port], msgspec.Meta(min_length=1)]
    key: str
    seeds: list[str] = []


class Store(msgspec.Struct, forbid_unknown_fields=True):
    """The platform's store."""

    address: str


class Bounds(msgspec.Struct, forbid_unknown_fields=True):
    """Bounds set by the operators; times in seconds.

    In any span of `quota_window` at most ``(rate * quota_window + burst) * (1
    + quota_excess) + quota_slack`` requests of a tenant run. If `strict_revoke`
    is set, a node that is out of touch for `revoke_ms` milliseconds takes no
    more keys.
    """

    grace: Seconds = 6.0
    retry_ratio: Number = 0.2
    retry_slack: Number = 50
    longest_ttl: Seconds = 5.0
    quota_window: Seconds = 5.0
    quota_excess: Number = 0.1
    quota_slack: Number = 20
    strict_revoke: bool = False
    revoke_ms: Number = 5000
    # Part of a region's requests that may change the region in which they
    # run from one window of two seconds to the next.
    max_shift: Fraction = 0.15


class Limits(msgspec.Struct, forbid_unknown_fields=True):
    """Resources of the machine."""

    descriptors: int = 4096
    memory: float = 300  # MB
    link: float = 1000  # Mbit/s


class Placement(msgspec.Struct, forbid_unknown_fields=True):
    """How requests are placed; see docs/design/placement.md.

    `shares`: whether the servers' shares of the work follow their sizes, with
    few moves of objects. `forecast`: seconds ahead of the demand to which the
    shares of the regions lead; 0: they follow the demand.
    """

    shares: Literal['usual', 'by-size'] = 'usual'
    forecast: Seconds = 0


class Log(msgspec.Struct, forbid_unknown_fields=True):
    """Event log."""

    level: Literal['debug', 'info', 'warning', 'error'] = 'info'


class NodeSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All sections of the file."""

    node: Identity
    listen: Listen
    peers: Peers
    store: Store
    zones: dict[str, str]
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: Limits = msgspec.field(default_factory=Limits)
    placement: Placement = msgspec.field(default_factory=Placement)
    log: Log = msgspec.field(default_factory=Log)

    @property
    def placement_terms(self) -> PlacementTerms:
        """What these settings ask of the placement."""
        return PlacementTerms(
            self.placement.shares == 'by-size',
            self.placement.forecast,
            self.bounds.max_shift,
        )

    @property
    def revocation(self) -> RevocationBounds:
        """How long this node takes keys while it is out of touch."""
        return RevocationBounds(
            self.bounds.strict_revoke, self.bounds.revoke_ms / 1000
        )

    @property
    def relay_address(self) -> str:
        """Address for requests that other nodes pass on; empty: not served."""
        first, last = self.peers.ports[0], self.peers.ports[-1]
        return '' if first == last else f'{self.node.address}:{last}'


def parse_node_settings(text: str, source: str = '<text>') -> NodeSettings:
    """Return the settings of an INI text.

    Raises
    ------
    InputError
        The text is not INI, or a value is missing, unknown or wrong.

    Examples
    --------
    >>> parse_node_settings('[node]')
    Traceback (most recent call last):
    sesameroute.exceptions.InputError: <text>: Object missing required ...

    """
    parser = RawConfigParser(
        delimiters=('=',),
        comment_prefixes=('#',),
        default_section='',
    )
    parser.optionxform = str  # zones keep their case
    try:
        parser.read_string(text, source)
    except Error as error:
        raise InputError(f'{source}: {error.message}') from error
    sections = {
        section: dict(_split_lists(parser.items(section)))
        for section in parser.sections()
    }
    try:
        return msgspec.convert(sections, NodeSettings, strict=False)
    except msgspec.ValidationError as error:
        raise InputError(f'{source}: {describe_error(error)}') from error


def _split_lists(pairs: list[tuple[str, str]]) -> list[tuple[str, object]]:
    return [
        (key, _split(text) if key in _LIST_KEYS else text)
        for key, text in pairs
        if text
    ]


def _split(text: str) -> list[str]:
    return [part.strip() for part in text.split(',') if part.strip()]
