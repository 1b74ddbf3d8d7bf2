"""How often a VM tells its peers that it runs.

Load answered: each VM hears each other one, so that the heartbeats of a fleet
grow with the square of its size, and take the processor from requests.
"""

__all__ = [
    'choose_heartbeat_interval',
    'choose_list_interval',
    'choose_silence_limit',
]

_MIN_SECONDS = 1.0
_MAX_SECONDS = 1.4
# How late a heartbeat may be. A lost VM has to be known within 4 s.
_MAX_LATENESS_SECONDS = 1.8
_SECONDS_PER_PEER = 0.0125
_MIN_LIST_INTERVAL = 5
_VMS_PER_LIST = 6


def choose_heartbeat_interval(peers: int) -> float:
    """Return the time between two heartbeats in seconds.

    Parameters
    ----------
    peers : int
        Number of peers that hear them.

    Examples
    --------
    >>> [choose_heartbeat_interval(peers) for peers in (6, 100, 299)]
    [1.0, 1.25, 1.4]

    """
    return min(max(_SECONDS_PER_PEER * peers, _MIN_SECONDS), _MAX_SECONDS)


def choose_silence_limit(peers: int) -> float:
    """Return the silence in seconds after which a stream counts as dead.

    Parameters
    ----------
    peers : int
        Number of peers that are heard.

    Examples
    --------
    >>> [choose_silence_limit(peers) for peers in (6, 100, 299)]
    [2.8, 3.05, 3.2]

    """
    return choose_heartbeat_interval(peers) + _MAX_LATENESS_SECONDS


def choose_list_interval(vms: int) -> int:
    """Return how many heartbeats pass between two with the list of all VMs.

    In a large fleet each VM hears many such lists a second: what each sends
    may become rarer as their number grows.

    Parameters
    ----------
    vms : int
        Number of VMs on the list.

    Examples
    --------
    >>> [choose_list_interval(vms) for vms in (7, 30, 300)]
    [5, 5, 50]

    """
    return max(vms // _VMS_PER_LIST, _MIN_LIST_INTERVAL)
