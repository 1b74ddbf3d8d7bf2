"""Messages of membership, and the reports that go into digests."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = ['ConfigurationRequest', 'Digest', 'ServiceHeadroom', 'VmReport']


@dataclass(frozen=True, slots=True)
class ServiceHeadroom:
    """Slots of one service that an entry VM owns: free and in total."""

    service: str
    free: int
    total: int


@dataclass(frozen=True, slots=True)
class VmReport:
    """Input of the other components of this VM to its digest.

    Attributes
    ----------
    prefix : str
        Prefix of the request keys that this VM takes now; empty if it takes
        none. It names the VM, its process run and its witness.
    headroom : tuple of ServiceHeadroom
        Free slots by service.
    leaving : tuple of str
        Backend servers that told this VM that they are leaving.
    quarantine : tuple of (str, float)
        Fingerprints of requests that are refused because they seem to crash
        backend servers, with the seconds left.
    draining : bool
        Whether this VM should get no new work.

    """

    prefix: str = ''
    headroom: tuple[ServiceHeadroom, ...] = ()
    leaving: tuple[str, ...] = ()
    quarantine: tuple[tuple[str, float], ...] = ()
    draining: bool = False


@register_message('digest')
@dataclass(frozen=True, slots=True)
class Digest:
    """Content of an entry VM's heartbeat.

    Attributes
    ----------
    version : int
        Version of the configuration in force on the VM.
    leaving : tuple of (str, float)
        VMs and backend servers that are leaving, with the seconds until
        this entry expires. Relayed between VMs, so that an entry may have
        come from any VM.
    quarantine : tuple of (str, float)
        Fingerprints of refused requests, with the seconds left. Relayed
        like `leaving`.

    """

    vm: str
    incarnation: str
    version: int
    prefix: str = ''
    headroom: tuple[ServiceHeadroom, ...] = ()
    leaving: tuple[tuple[str, float], ...] = ()
    quarantine: tuple[tuple[str, float], ...] = ()
    draining: bool = False


@register_message('configuration-ask', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests the peer's configuration if its version is above `version`."""

    version: int
