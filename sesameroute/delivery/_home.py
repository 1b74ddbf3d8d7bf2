"""Requests whose home is this process; each runs at most once."""

from functools import partial
from typing import Final

from sesameroute.delivery._body import read_body
from sesameroute.delivery._epoch import EpochManager
from sesameroute.delivery._key import ProcessIdentity, RequestKey
from sesameroute.delivery._message import RecordKeyRequest, WitnessStatus
from sesameroute.delivery._record import Record
from sesameroute.delivery._record_entry import (
    KeyState,
    RecordEntry,
    StoredAnswer,
)
from sesameroute.delivery._retry import Retrier
from sesameroute.exceptions import PeerError, RequestError
from sesameroute.ports import Choice, Clock, Peers, Request
from sesameroute.verdict import Verdict

__all__ = ['Home']

_WITNESS_TIMEOUT_SECONDS: Final = 0.3  # per call; the witness is nearby
_MAX_WITNESS_CALLS: Final = 2


class Home:
    """Runs requests whose keys were issued by this process.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    peers : Peers
        Sends messages to the witness.
    epoch_manager : EpochManager
        Opens a new epoch when a witness fails.
    record : Record
        Holds the state of each key.
    retrier : Retrier
        Sends requests to backend servers.

    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        epoch_manager: EpochManager,
        record: Record,
        retrier: Retrier,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.peers = peers
        self.epoch_manager = epoch_manager
        self.record = record
        self.retrier = retrier

    def deliver(
        self,
        request: Request,
        key: RequestKey,
        fingerprint: str,
    ) -> StoredAnswer:
        """Run a request, or wait for its first copy; return the response.

        Raises
        ------
        RequestError
            No response; with verdict `NOT_RUN`, the record ensures that the
            request never runs under this key.
        InputError
            The key belongs to another request.

        """
        now = self.clock.read_monotonic()
        entry, is_new = self.record.admit(key, fingerprint, now)
        if not is_new:
            return self.record.wait(entry, request.deadline - now)
        try:
            stored_answer = self._run(entry, request)
        except RequestError as error:
            self.record.fail(entry, error)
            raise
        except BaseException:
            self.record.fail(entry, _make_internal_error(entry))
            raise
        self.record.store_answer(entry, stored_answer)
        return stored_answer

    def _run(self, entry: RecordEntry, request: Request) -> StoredAnswer:
        self.retrier.attempt.quarantine.check(entry.fingerprint)
        answer = self.retrier.deliver(
            request,
            entry.fingerprint,
            partial(self._approve, entry),
        )
        return StoredAnswer(answer.status, answer.headers, read_body(answer))

    def _approve(self, entry: RecordEntry, choice: Choice) -> None:
        """Let a request be sent only after its witness recorded the key."""
        witness = entry.key.witness
        if witness:
            self._require_acknowledgement(entry.key, witness)
        self.record.mark_sent(entry)

    def _require_acknowledgement(
        self, key: RequestKey, witness: ProcessIdentity
    ) -> None:
        status = self._call_witness(key, witness)
        if status is WitnessStatus.RECORDED:
            return
        self.epoch_manager.abandon_epoch(key, status or 'unreachable')
        raise RequestError(
            'the witness did not acknowledge the key; try again with a new key',
            Verdict.NOT_RUN,
            'witness-lost',
        )

    def _call_witness(
        self, key: RequestKey, witness: ProcessIdentity
    ) -> WitnessStatus | None:
        """Return the status that the witness replies, None without a reply."""
        for _ in range(_MAX_WITNESS_CALLS):
            try:
                reply = self.peers.call(
                    witness.vm,
                    RecordKeyRequest(str(key)),
                    _WITNESS_TIMEOUT_SECONDS,
                )
            except PeerError:
                continue
            return reply.status
        return None


def _make_internal_error(entry: RecordEntry) -> RequestError:
    sent = entry.state is KeyState.SENT
    return RequestError(
        'the entry process failed while handling the request',
        Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN,
        'internal',
    )
