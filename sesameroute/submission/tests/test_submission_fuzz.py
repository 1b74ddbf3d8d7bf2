"""No submission is lost, repeated or misreported while the store has faults.

The reported result of each submission is compared with the list of
configurations that the store accepted. Mutated stores, each without one of
the safeguards of `ConfigurationStore`, show that the test detects errors.
"""

from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sesameroute.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.membership import encode_configuration
from sesameroute.statement import read_statement
from sesameroute.submission import ConfigurationStore, Submitter, add_drain
from sesameroute.submission.tests.faulty_store import (
    FakeClock,
    Fault,
    FaultyStore,
)
from sesameroute.submission.tests.small_statement import build_small_statement

FUZZ_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=8,
    database=None,
)
MUTATION_SETTINGS = settings(
    FUZZ_SETTINGS, max_examples=600, phases=[Phase.generate]
)
FAULTS = st.lists(st.sampled_from(Fault), min_size=3, max_size=5)


class ResubmittingStore(ConfigurationStore):
    """Mutation: submits again under another id after a lost answer."""

    def replace(self, base, configuration):
        """Swap; after a lost answer, swap again based on the newest value."""
        encoded = encode_configuration(configuration)
        try:
            self.store.swap(self.key, encoded, base.revision)
        except StoreOutcomeUnknownError:
            newest = self.read()
            resubmitted = replace(
                configuration,
                version=newest.version + 1,
                submission=f'{configuration.submission}-again',
            )
            self.replace(newest, resubmitted)


class NewestIdOnlyStore(ConfigurationStore):
    """Mutation: looks for its submission id in the newest submission only."""

    def _resolve_conflict(self, base, configuration, failure):
        current = self.read(after=base)
        if current.configuration.submission != configuration.submission:
            raise ConflictError('another')


class AssumesFailureStore(ConfigurationStore):
    """Mutation: reports a swap whose answer was lost as not applied."""

    def replace(self, base, configuration):
        """Swap once."""
        encoded = encode_configuration(configuration)
        try:
            self.store.swap(self.key, encoded, base.revision)
        except StoreOutcomeUnknownError as error:
            raise StoreUnreachableError('lost') from error


class StaleReadStore(ConfigurationStore):
    """Mutation: accepts stale reads."""

    def read(self, after=None):
        """Return the first value read, whatever its revision."""
        return super().read()


class SubmissionMachine(RuleBasedStateMachine):
    """Operators submit statements and drains while the store has faults."""

    store_type = ConfigurationStore

    def __init__(self):
        """Start with an empty store."""
        super().__init__()
        self.store = FaultyStore()
        self.number = 1000
        self.drained_markers = set()

    def run_operation(self, operation):
        """Run an operation.

        Returns
        -------
        bool or None
            Whether the operation was reported as accepted; None if it was
            reported as unknown.

        """
        configurations = self.store_type(
            self.store,
            'key',
            FakeClock(),
            timeout_seconds=3,
            seed=1,
        )
        try:
            operation(Submitter(configurations))
        except (ConflictError, StoreUnreachableError):
            return False
        except StoreOutcomeUnknownError:
            return None
        finally:
            self.store.faults.clear()
            self.store.deliver_delayed()
        return True

    def count_accepted(self, marker):
        """Return how many accepted submissions added a marker."""
        return sum(
            marker in later.text and marker not in earlier
            for earlier, later in zip(
                ('', *(stored.text for stored in self.store.accepted)),
                self.store.accepted,
                strict=False,
            )
        )

    @initialize()
    def start(self):
        """Submit the first statement without faults."""
        statement = build_small_statement()
        assert self.run_operation(lambda submitter: submitter.submit(statement))

    @rule(faults=FAULTS)
    def submit(self, faults):
        """Submit a statement based on the newest version."""
        self.number += 1
        newest = self.store.accepted[-1]
        statement = read_statement(newest.text)
        policy = replace(statement.policy, queue_ms=self.number)
        statement = replace(statement, policy=policy)
        self.store.faults.extend(faults)
        was_accepted = self.run_operation(
            lambda submitter: submitter.submit(statement, newest.version),
        )
        self.check_report(f'queue_ms = {self.number}', was_accepted)

    @rule(faults=FAULTS, number=st.integers(1, 6))
    def drain(self, faults, number):
        """Drain an upstream, which may be drained already."""
        subject = f'order-desk-{number}'
        marker = f'[drain {subject}]'
        is_new = marker not in self.store.accepted[-1].text
        self.store.faults.extend(faults)
        was_accepted = self.run_operation(
            lambda submitter: submitter.edit(
                lambda statement: add_drain(statement, subject),
            ),
        )
        if is_new:
            self.check_report(marker, was_accepted)
        if was_accepted:
            self.drained_markers.add(marker)

    def check_report(self, marker, was_accepted):
        """Compare the reported result with what the store accepted.

        A submission whose result is unknown may be accepted at most once.
        """
        if was_accepted is None:
            assert self.count_accepted(marker) <= 1
        else:
            assert self.count_accepted(marker) == int(was_accepted)

    @invariant()
    def check_history(self):
        """Versions increase, ids are unique and no drain is lost."""
        accepted = self.store.accepted
        versions = [stored.version for stored in accepted]
        ids = {stored.submission for stored in accepted}
        assert versions == sorted(set(versions))
        assert len(ids) == len(accepted)
        for marker in self.drained_markers:
            assert marker in accepted[-1].text


TestSubmission = SubmissionMachine.TestCase
TestSubmission.settings = FUZZ_SETTINGS


@pytest.mark.parametrize(
    'store_type',
    [
        ResubmittingStore,
        NewestIdOnlyStore,
        AssumesFailureStore,
        StaleReadStore,
    ],
)
def test_missing_guard_is_detected(store_type):
    """The state machine detects the removal of each safeguard."""
    machine_type = type(
        'Unguarded',
        (SubmissionMachine,),
        {'store_type': store_type},
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine_type, settings=MUTATION_SETTINGS)
