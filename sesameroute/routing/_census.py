"""After a start: which of our slots others still hold."""

from sesameroute.limits import Lease
from sesameroute.ports import Peers
from sesameroute.routing._book import SlotBook
from sesameroute.routing._geography import Geography
from sesameroute.routing._messages import GrantCensus, GrantHeld

__all__ = ['Census']

_REPEAT = 0.2  # seconds between questions to a VM that has not answered


class Census:
    """Asks all entry VMs what they hold, so as to use own slots earlier.

    A new process has forgotten what it lent in an earlier life. Until the
    longest lease of that life has ended it leaves its own slots alone, but
    when all others have said what they hold, or refuse connections and thus
    run no process that holds any, it need not wait.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    peers : Peers
        Streams to the other entry VMs.

    """

    def __init__(self, book: SlotBook, peers: Peers) -> None:
        """Store the arguments; nobody is asked."""
        self.book = book
        self.peers = peers
        self.boot_ = book.clock.read_wall()
        self.answered_: set[str] = set()
        self.done_ = False
        self._started = book.clock.read_monotonic()
        self._asked = -_REPEAT

    def ask_missing(self) -> None:
        """Ask those who have not answered yet, now and then."""
        geography = self.book.read_geography()
        now = self.book.clock.read_monotonic()
        if self.done_ or geography is None or now - self._asked < _REPEAT:
            return
        self._asked = now
        refused = self.peers.list_refused()
        self.answered_.update(
            vm for vm, since in refused.items() if since >= self._started
        )
        missing = self._list_missing(geography)
        if not missing:
            self._settle(now)
        for vm in missing:
            self.peers.cast(vm, GrantCensus(self.boot_))

    def count(self, sender: str, answer: GrantHeld) -> None:
        """Take in what a VM still holds."""
        geography = self.book.read_geography()
        if self.done_ or geography is None or answer.boot != self.boot_:
            return
        now = self.book.clock.read_monotonic()
        for holding in answer.held:
            ledger = self.book.ledgers_.get(holding.upstream)
            upstream = geography.statement.upstreams.get(holding.upstream)
            if ledger is None or upstream is None:
                continue
            term = self.book.build_term(upstream.service, standing=True)
            ledger.lent[sender] = Lease(holding.slots, now + term.hold)
        self.answered_.add(sender)
        if not self._list_missing(geography):
            self._settle(now)

    def _list_missing(self, geography: Geography) -> list[str]:
        vms = geography.statement.vms.keys()
        return sorted(vms - self.answered_ - {self.book.vm})

    def _settle(self, now: float) -> None:
        self.done_ = True
        for ledger in self.book.ledgers_.values():
            ledger.settled = min(ledger.settled, now)
