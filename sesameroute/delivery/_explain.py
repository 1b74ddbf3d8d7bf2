"""What an entry VM knows of a request key, for operators."""

from dataclasses import dataclass

from sesameroute.delivery._entry import Entry
from sesameroute.delivery._key import RequestKey
from sesameroute.delivery._parts import Parts
from sesameroute.exceptions import InputError

__all__ = ['KeyReport', 'explain_key']


@dataclass(frozen=True, slots=True)
class KeyReport:
    """What one entry VM knows of a request key.

    Attributes
    ----------
    home, witness : str
        Names of the VMs in the key; empty if there is none.
    state : str
        State in this VM's record; ``unknown`` if the key is not in it.
    reason : str
        Code and message of a failure, or the answer's status.

    """

    key: str
    home: str = ''
    witness: str = ''
    state: str = 'unknown'
    reason: str = ''


def explain_key(parts: Parts, text: str) -> KeyReport:
    """Return what this VM's record says of a request key."""
    try:
        key = RequestKey.parse(text)
    except InputError as error:
        return KeyReport(text, state='not-a-key', reason=error.message)
    witness = key.witness.vm if key.witness else ''
    for entry in parts.record.list_entries():
        if entry.key == key:
            return KeyReport(
                text,
                key.home.vm,
                witness,
                entry.state.name.lower(),
                _describe(entry),
            )
    return KeyReport(text, key.home.vm, witness)


def _describe(entry: Entry) -> str:
    if entry.kept is not None:
        return f'answered with status {entry.kept.status}'
    if entry.failure is not None:
        failure = entry.failure
        return f'{failure.verdict}, {failure.code}: {failure.message}'
    return 'no word yet'
