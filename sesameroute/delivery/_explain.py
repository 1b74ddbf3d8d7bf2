"""Reports for operators on what an entry VM knows about a request key."""

from dataclasses import dataclass

from sesameroute.delivery._key import RequestKey
from sesameroute.delivery._parts import Components
from sesameroute.delivery._record_entry import RecordEntry
from sesameroute.exceptions import InputError

__all__ = ['KeyReport', 'explain_key']


@dataclass(frozen=True, slots=True)
class KeyReport:
    """What one entry VM knows about a request key.

    Attributes
    ----------
    home, witness : str
        Names of the VMs in the key, empty if the key names none.
    state : str
        State in this VM's record; ``unknown`` if the key is not in it.
    reason : str
        Verdict, code and message of a failure, or the response status.

    """

    key: str
    home: str = ''
    witness: str = ''
    state: str = 'unknown'
    reason: str = ''


def explain_key(components: Components, text: str) -> KeyReport:
    """Return what the record of this VM contains about a request key."""
    try:
        key = RequestKey.parse(text)
    except InputError as error:
        return KeyReport(text, state='not-a-key', reason=error.message)
    witness = key.witness.vm if key.witness else ''
    for entry in components.record.list_entries():
        if entry.key == key:
            return KeyReport(
                text,
                key.home.vm,
                witness,
                entry.state.name.lower(),
                _describe(entry),
            )
    return KeyReport(text, key.home.vm, witness)


def _describe(entry: RecordEntry) -> str:
    if entry.stored_answer is not None:
        return f'answered with status {entry.stored_answer.status}'
    if entry.failure is not None:
        failure = entry.failure
        return f'{failure.verdict}, {failure.code}: {failure.message}'
    return 'no result yet'
