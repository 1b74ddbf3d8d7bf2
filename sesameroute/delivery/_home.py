"""Requests whose home is this process: recorded, then run at most once."""

from functools import partial
from typing import Final

from sesameroute.delivery._body import read_whole
from sesameroute.delivery._entry import Entry, KeptAnswer, State
from sesameroute.delivery._epoch import EpochKeeper
from sesameroute.delivery._key import Identity, RequestKey
from sesameroute.delivery._message import RecordAsk, WitnessStatus
from sesameroute.delivery._record import Record
from sesameroute.delivery._retry import Retrier
from sesameroute.exceptions import PeerError, RequestError
from sesameroute.ports import Choice, Clock, Peers, Request
from sesameroute.verdict import Verdict

__all__ = ['Home']

_WITNESS_SECONDS: Final = 0.3  # for one ask; the witness is nearby
_WITNESS_ASKS: Final = 2


class Home:
    """Runs requests under keys of its own epochs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Way to the witness.
    keeper : EpochKeeper
        Opens a new epoch when a witness fails.
    record : Record
        What became of each key.
    retrier : Retrier
        Sends to backend servers.

    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        keeper: EpochKeeper,
        record: Record,
        retrier: Retrier,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.peers = peers
        self.keeper = keeper
        self.record = record
        self.retrier = retrier

    def deliver(
        self,
        request: Request,
        key: RequestKey,
        fingerprint: str,
    ) -> KeptAnswer:
        """Return the answer to a request or to the first copy of it.

        Raises
        ------
        RequestError
            The final word; `NOT_RUN` is sealed in the record.
        InputError
            The key belongs to another request.

        """
        now = self.clock.read_monotonic()
        entry, is_new = self.record.admit(key, fingerprint, now)
        if not is_new:
            return self.record.wait(entry, request.deadline - now)
        try:
            kept = self._run(entry, request)
        except RequestError as error:
            self.record.fail(entry, error)
            raise
        except BaseException:
            self.record.fail(entry, _describe_fault(entry))
            raise
        self.record.keep(entry, kept)
        return kept

    def _run(self, entry: Entry, request: Request) -> KeptAnswer:
        self.retrier.attempt.quarantine.check(entry.fingerprint)
        answer = self.retrier.deliver(
            request,
            entry.fingerprint,
            partial(self._approve, entry),
        )
        return KeptAnswer(answer.status, answer.headers, read_whole(answer))

    def _approve(self, entry: Entry, choice: Choice) -> None:
        """Let a request run only after its witness acknowledged the key."""
        witness = entry.key.witness
        if witness:
            self._acknowledge(entry.key, witness)
        self.record.mark_sent(entry)

    def _acknowledge(self, key: RequestKey, witness: Identity) -> None:
        status = self._ask(key, witness)
        if status is WitnessStatus.RECORDED:
            return
        self.keeper.give_up(key, status or 'unreachable')
        raise RequestError(
            'the witness did not acknowledge the key; a new key will do',
            Verdict.NOT_RUN,
            'witness-lost',
        )

    def _ask(self, key: RequestKey, witness: Identity) -> WitnessStatus | None:
        """Return the witness's word, None if there is none."""
        for _ in range(_WITNESS_ASKS):
            try:
                reply = self.peers.call(
                    witness.vm,
                    RecordAsk(str(key)),
                    _WITNESS_SECONDS,
                )
            except PeerError:
                continue
            return reply.status
        return None


def _describe_fault(entry: Entry) -> RequestError:
    sent = entry.state is State.SENT
    return RequestError(
        'the request ended by a fault of the entry',
        Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
        'internal',
    )
