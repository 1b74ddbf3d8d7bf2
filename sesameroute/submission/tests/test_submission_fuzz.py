"""No submission is lost, doubled or reported wrongly, whatever the store does.

The oracle is the list of configurations that the store accepted. Guards
are removed one by one to show that it bites.
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
    StoreDownError,
    StoreUnknownError,
)
from sesameroute.membership import encode_configuration
from sesameroute.statement import read_statement
from sesameroute.submission import ConfigurationStore, Submitter, add_drain
from sesameroute.submission.tests.faulty_store import (
    Fault,
    FaultyStore,
    StepClock,
)
from sesameroute.submission.tests.small import build_small_statement

FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=8,
    database=None,
)
BITE = settings(FUZZ, max_examples=600, phases=[Phase.generate])
FAULTS = st.lists(st.sampled_from(Fault), min_size=3, max_size=5)


class BlindStore(ConfigurationStore):
    """Submits anew after a lost answer."""

    def replace(self, base, configuration):
        """Swap, and swap anew on top of what is there then."""
        packed = encode_configuration(configuration)
        try:
            self.store.swap(self.key, packed, base.revision)
        except StoreUnknownError:
            newest = self.read()
            again = replace(
                configuration,
                version=newest.version + 1,
                submission=f'{configuration.submission}-again',
            )
            self.replace(newest, again)


class ForgetfulStore(ConfigurationStore):
    """Settles a lost answer by the newest submission alone."""

    def _settle(self, base, configuration, failure):
        current = self.read(after=base.revision)
        if current.configuration.submission != configuration.submission:
            raise ConflictError('another')


class TrustfulStore(ConfigurationStore):
    """Takes a lost answer for one without effect."""

    def replace(self, base, configuration):
        """Swap once."""
        packed = encode_configuration(configuration)
        try:
            self.store.swap(self.key, packed, base.revision)
        except StoreUnknownError as error:
            raise StoreDownError('lost') from error


class CredulousStore(ConfigurationStore):
    """Takes a stale read for the newest."""

    def read(self, after=-1):
        """Return what the first read gives."""
        return super().read()


class SubmissionMachine(RuleBasedStateMachine):
    """Operators submit and drain while the store fails."""

    store_type = ConfigurationStore

    def __init__(self):
        """Start with an empty store."""
        super().__init__()
        self.store = FaultyStore()
        self.number = 1000
        self.drained = set()

    def operate(self, act):
        """Run an operation; return the verdict on its effect."""
        configurations = self.store_type(
            self.store,
            'key',
            StepClock(),
            patience=3,
            seed=1,
        )
        try:
            act(Submitter(configurations))
        except (ConflictError, StoreDownError):
            return False
        except StoreUnknownError:
            return None
        finally:
            self.store.faults.clear()
            self.store.deliver()
        return True

    def count(self, mark):
        """Return how many accepted submissions brought a mark."""
        return sum(
            mark in later.text and mark not in earlier
            for earlier, later in zip(
                ('', *(known.text for known in self.store.accepted)),
                self.store.accepted,
                strict=False,
            )
        )

    @initialize()
    def start(self):
        """Submit the first statement undisturbed."""
        statement = build_small_statement()
        assert self.operate(lambda submitter: submitter.submit(statement))

    @rule(faults=FAULTS)
    def submit(self, faults):
        """Submit a statement based on the newest version."""
        self.number += 1
        newest = self.store.accepted[-1]
        statement = read_statement(newest.text)
        policy = replace(statement.policy, queue_ms=self.number)
        statement = replace(statement, policy=policy)
        self.store.faults.extend(faults)
        was_accepted = self.operate(
            lambda submitter: submitter.submit(statement, newest.version),
        )
        self.check(f'queue_ms = {self.number}', was_accepted)

    @rule(faults=FAULTS, number=st.integers(1, 6))
    def drain(self, faults, number):
        """Drain an upstream, or find that it is drained."""
        subject = f'order-desk-{number}'
        mark = f'[drain {subject}]'
        is_new = mark not in self.store.accepted[-1].text
        self.store.faults.extend(faults)
        was_accepted = self.operate(
            lambda submitter: submitter.edit(
                lambda statement: add_drain(statement, subject),
            ),
        )
        if is_new:
            self.check(mark, was_accepted)
        if was_accepted:
            self.drained.add(mark)

    def check(self, mark, was_accepted):
        """Compare what was reported with what the store accepted."""
        if was_accepted is None:
            assert self.count(mark) <= 1
        else:
            assert self.count(mark) == int(was_accepted)

    @invariant()
    def hold(self):
        """Versions grow, no id stands twice, no drain got lost."""
        accepted = self.store.accepted
        versions = [known.version for known in accepted]
        ids = {known.submission for known in accepted}
        assert versions == sorted(set(versions))
        assert len(ids) == len(accepted)
        for mark in self.drained:
            assert mark in accepted[-1].text


TestSubmission = SubmissionMachine.TestCase
TestSubmission.settings = FUZZ


@pytest.mark.parametrize(
    'store_type',
    [
        BlindStore,
        ForgetfulStore,
        TrustfulStore,
        CredulousStore,
    ],
)
def test_oracle_bites(store_type):
    """Without one of the guards the oracle finds a wrong report."""
    unguarded = type(
        'Unguarded',
        (SubmissionMachine,),
        {'store_type': store_type},
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(unguarded, settings=BITE)
