"""Whether this node reaches the backend servers, from its connections."""

import logging
import threading
from collections.abc import Callable

from sesameroute.ports import Clock

__all__ = ['Reachability', 'SettleCallback']

# Without any contact for this time, running requests are reason for doubt.
_MAX_SILENCE_SECONDS = 0.5

# Called with whether the backend server is at fault for a failed try.
SettleCallback = Callable[[bool], None]

_logger = logging.getLogger(__name__)


class Reachability:
    """Decides who is at fault when tries at backend servers fail.

    A node whose links to all backend servers are down sees each of them fail.
    So the outcome of a failed try is held back until a connection to some
    backend server shows that the links work, or several that can't be opened
    show that they don't.

    Only new connections count as contact that clears the node: in a partition,
    open ones may live on.

    Parameters
    ----------
    clock : Clock
        Source of time.
    others_reach : callable
        Returns whether another node reaches the backend servers. If none
        does, they are at fault.

    Attributes
    ----------
    is_cut_off_ : bool
        Whether this node reaches no backend server.
    doubt_ : threading.Event
        Set while the links should be checked.

    """

    def __init__(
        self, clock: Clock, others_reach: Callable[[], bool] = bool
    ) -> None:
        """Start with working links."""
        self.clock = clock
        self.others_reach = others_reach
        self.is_cut_off_ = False
        self.doubt_ = threading.Event()
        self._lock = threading.Lock()
        self._last_contact = clock.read_monotonic()
        self._failed: set[tuple[str, int]] = set()
        self._held: list[SettleCallback] = []

    @property
    def should_detour(self) -> bool:
        """Whether other nodes should send this node's requests."""
        return self.is_cut_off_ and self.others_reach()

    def hold(self, settle: SettleCallback) -> None:
        """Call `settle` as soon as it is known who is at fault for a failure.

        It must not block.
        """
        with self._lock:
            is_held = not self.is_cut_off_
            if is_held:
                self._held.append(settle)
                self.doubt_.set()
        if not is_held:
            settle(not self.others_reach())

    def observe_answer(self) -> None:
        """Note that a backend server has answered."""
        self._last_contact = self.clock.read_monotonic()

    def observe_opened(self) -> None:
        """Note that a connection to a backend server was opened."""
        self._last_contact = self.clock.read_monotonic()
        if self.is_cut_off_ or self.doubt_.is_set():
            self.conclude_sound()
        else:
            self._failed.clear()

    def observe_failed(self, target: tuple[str, int]) -> None:
        """Note that a connection to a backend server could not be opened."""
        self._failed.add(target)

    def observe_running(self, count: int) -> None:
        """Doubt the links if requests run and nothing has come for long."""
        silence = self.clock.read_monotonic() - self._last_contact
        if count and silence > _MAX_SILENCE_SECONDS:
            self.doubt_.set()

    def conclude_sound(self) -> None:
        """Note that nothing speaks against the links of this node."""
        if self._change(is_cut_off=False):
            _logger.warning('backend servers reached again')

    def conclude_cut_off(self) -> None:
        """Note that none of several backend servers could be reached."""
        failed = len(self._failed)
        if self._change(is_cut_off=True):
            _logger.warning(
                'backend servers not reached',
                extra={'failed': failed, 'others_reach': self.others_reach()},
            )

    def has_failed(self, target: tuple[str, int]) -> bool:
        """Whether a backend server has failed since the last contact."""
        return target in self._failed

    def _change(self, *, is_cut_off: bool) -> bool:
        """Settle what is held; return whether the state has changed."""
        with self._lock:
            has_changed = self.is_cut_off_ != is_cut_off
            self.is_cut_off_ = is_cut_off
            held = tuple(self._held)
            self._held.clear()
            self.doubt_.clear()
            self._failed.clear()
        is_server_at_fault = not is_cut_off or not self.others_reach()
        for settle in held:
            settle(is_server_at_fault)
        return has_changed
