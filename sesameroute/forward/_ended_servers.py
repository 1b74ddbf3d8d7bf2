"""What a node knows of the backend server that runs a request."""

from sesameroute.forward._answer_wait import ServerCondition
from sesameroute.forward._request_state import RequestState
from sesameroute.reachability import EndDetector
from sesameroute.registry import BackendState, RegistryEntry

__all__ = ['find_condition']

# Name and incarnation.
Server = tuple[str, int]


def find_condition(
    state: RequestState, end_detector: EndDetector
) -> ServerCondition:
    """Return the condition of the server that runs a request.

    A silent server is checked each time that another objective has passed.
    One that leaves refuses connections, but ends the requests that it has. A
    request that must not run twice waits as long as the server may answer:
    its entry must be gone, too. Only what this node has found itself counts:
    one that was cut off may have told the others of ends that were none.
    """
    server, sent_at = state.sent_try.server, state.sent_try.sent_at
    entry = end_detector.find_entry(server[0])
    if _is_draining(entry, server):
        state.left_server = server
    if state.left_server == server:
        return ServerCondition.ALIVE
    if entry is not None:
        _check_silent(state, end_detector)
    if end_detector.has_refused(server, sent_at) and (
        state.route.kind.is_idempotent or _is_gone(entry, server)
    ):
        return ServerCondition.ENDED
    if end_detector.is_unreached(server, sent_at):
        return ServerCondition.UNREACHED
    return ServerCondition.ALIVE


def _check_silent(state: RequestState, end_detector: EndDetector) -> None:
    sent_try = state.sent_try
    now = end_detector.connections.clock.read_monotonic()
    checked_at = max(state.checked_server_at, sent_try.sent_at)
    if now >= checked_at + state.route.latency_target:
        state.checked_server_at = now
        end_detector.observe_timeout(sent_try.server, sent_try.sent_at)


def _is_draining(entry: RegistryEntry | None, server: Server) -> bool:
    """Whether the registry lists this run of a server as leaving."""
    return (
        entry is not None
        and entry.backend.incarnation == server[1]
        and entry.backend.state is BackendState.DRAINING
    )


def _is_gone(entry: RegistryEntry | None, server: Server) -> bool:
    """Whether the registry no longer lists this run of a server."""
    return (
        entry is None
        or not entry.is_listed()
        or entry.backend.incarnation != server[1]
    )
