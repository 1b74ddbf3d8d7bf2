"""Orders run at most once, and `NOT_RUN` is true, under any faults.

The second test breaks one safety rule at a time and checks that the state
machine detects it.
"""

import os

import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from sesameroute.delivery._epoch_table import EpochTable
from sesameroute.delivery._home import Home
from sesameroute.delivery._message import WitnessReply, WitnessStatus
from sesameroute.delivery._pipeline import Pipeline
from sesameroute.delivery._record import Record
from sesameroute.delivery._witness import Witness
from sesameroute.delivery.tests.machine import DeliveryMachine
from sesameroute.delivery.tests.tasks import CrashError
from sesameroute.exceptions import InputError
from sesameroute.verdict import Verdict

# More examples than CI runs: SESAME_FUZZ=5000 python -m pytest ...
EXAMPLES = int(os.environ.get('SESAME_FUZZ', '100'))
SETTINGS = settings(
    derandomize='SESAME_FUZZ' not in os.environ,
    deadline=None,
    database=None,
    max_examples=EXAMPLES,
    stateful_step_count=40,
)
MUTANT_SETTINGS = settings(
    SETTINGS,
    derandomize=False,
    max_examples=2000,
    phases=(Phase.generate,),
    print_blob=False,
    report_multiple_bugs=False,
)


def test_orders_run_at_most_once_under_faults():
    run_state_machine_as_test(DeliveryMachine, settings=SETTINGS)


def skip_acknowledgement(self, key, witness):
    """Simulate a home that doesn't wait for its witness."""


def seal_without_fence(self, key):
    """Simulate a witness that replies `SEALED` without fencing the epoch."""
    epoch_state = self._find_epoch_state(key)
    if epoch_state is None:
        return WitnessReply(WitnessStatus.FORGOTTEN)
    if key.nonce in epoch_state.nonces:
        return WitnessReply(WitnessStatus.RECORDED)
    return WitnessReply(WitnessStatus.SEALED)


def forget_failure(self, entry, failure):
    """Simulate a record that doesn't remember failures with `NOT_RUN`."""
    RECORD_FAIL(self, entry, failure)
    epoch_record = self.table_.epoch_records_.get(entry.key.epoch)
    if epoch_record and failure.verdict is Verdict.NOT_RUN:
        epoch_record.entries.pop(entry.key.nonce)


def forget_refusal(self, epoch_record, entry, failure, now):
    """Simulate a full record that doesn't remember what it refused."""


def accept_earlier_incarnation(self, key):
    """Simulate a home that accepts keys of its earlier incarnation."""
    return key.home.vm == self.identity.vm


def accept_any_witness(self, key):
    """Simulate a witness that accepts keys of its earlier incarnation."""
    return True


RECORD_FAIL = Record.fail
EXECUTION_FAULTS = 'ran twice|ran after NOT_RUN|without a run|wrong response'


class MutantMachine(DeliveryMachine):
    """Fails only on wrong executions or results; accepts InputError."""

    allowed = (CrashError, InputError)


@pytest.mark.parametrize(
    ('owner', 'name', 'mutant', 'number'),
    [
        (Home, '_require_acknowledgement', skip_acknowledgement, 2),
        (Witness, 'fence', seal_without_fence, 5),
        (Record, 'fail', forget_failure, 1),
        (EpochTable, 'add_refused', forget_refusal, 0),
        (Pipeline, '_is_own_incarnation', accept_earlier_incarnation, 2),
        (Witness, '_names_this_witness', accept_any_witness, 2),
    ],
)
def test_state_machine_detects_each_broken_rule(
    monkeypatch, owner, name, mutant, number
):
    # The number is a seed with which the mutant is found early.
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(AssertionError, match=EXECUTION_FAULTS):
        run_state_machine_as_test(
            seed(number)(MutantMachine), settings=MUTANT_SETTINGS
        )
