"""Messages of membership, and what other parts contribute to them."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = ['ConfigurationAsk', 'Digest', 'ServiceHeadroom', 'VmReport']


@dataclass(frozen=True, slots=True)
class ServiceHeadroom:
    """Slots of one service that an entry VM counts for itself."""

    service: str
    free: int
    total: int


@dataclass(frozen=True, slots=True)
class VmReport:
    """What the parts of this VM contribute to its digest.

    Attributes
    ----------
    prefix : str
        Request-key prefix of its present epoch; empty if it takes none.
    headroom : tuple of ServiceHeadroom
        Free slots by service.
    leaving : tuple of str
        Backend servers that it knows at first hand to be leaving.
    quarantine : tuple of (str, float)
        Request fingerprints refused, with the seconds left.
    draining : bool
        Whether it should get no new work.

    """

    prefix: str = ''
    headroom: tuple[ServiceHeadroom, ...] = ()
    leaving: tuple[str, ...] = ()
    quarantine: tuple[tuple[str, float], ...] = ()
    draining: bool = False


@register_message('digest')
@dataclass(frozen=True, slots=True)
class Digest:
    """Heartbeat of one entry VM.

    Attributes
    ----------
    version : int
        Its configuration version.
    leaving : tuple of (str, float)
        Names of VMs and backend servers that leave, with the seconds for
        which this is still to be believed; relayed, so that it may come
        from any VM.
    quarantine : tuple of (str, float)
        Request fingerprints refused, with the seconds left; relayed.

    """

    vm: str
    incarnation: str
    version: int
    prefix: str = ''
    headroom: tuple[ServiceHeadroom, ...] = ()
    leaving: tuple[tuple[str, float], ...] = ()
    quarantine: tuple[tuple[str, float], ...] = ()
    draining: bool = False


@register_message('configuration-ask', quick=True)
@dataclass(frozen=True, slots=True)
class ConfigurationAsk:
    """Asks for the peer's configuration if it is above `version`."""

    version: int
