"""Stateful fuzz of the configuration's distribution over a fleet.

Guards against a node that falls back to an older version, changes the content
of a version, or holds a configuration that no operator submitted. Store
outages, restored backups, partitions, lost messages, pauses and restarts
might cause each of these.
"""

from unittest.mock import patch

import pytest
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sesameroute.exceptions import StoreOutcomeUnknownError
from sesameroute.membership import (
    CONFIGURATION_KEY,
    Configuration,
    ConfigurationKeeper,
    PauseDetector,
    decode_configuration,
    encode_configuration,
)
from sesameroute.membership._freshness import MIN_PAUSE_SECONDS
from sesameroute.membership.tests.simulated_fleet import (
    ROUND_SECONDS,
    VMS,
    FakeStore,
    SimulatedFleet,
)

_NAMES = st.sampled_from(sorted(VMS))
_CONVERGENCE_ROUNDS = 16  # 4 s
_SETTINGS = settings(
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    database=None,
)


# The search ends with the first example that fails.
_MUTANT_SETTINGS = settings(
    _SETTINGS,
    max_examples=1000,
    phases=(Phase.generate,),
    report_multiple_bugs=False,
)


class FleetMachine(RuleBasedStateMachine):
    """Random operator actions and faults, checked after every step.

    Attributes
    ----------
    accepted : list of Configuration
        All valid configurations that the store accepted.
    last_seen : dict of str to Configuration
        Configuration in force at the last check, by node.

    """

    def __init__(self):
        """Start a fleet without a configuration."""
        super().__init__()
        self.fleet = SimulatedFleet()
        self.accepted = []
        self.last_seen = {}
        self.submissions = 0

    @rule(
        text=st.sampled_from(['good', 'good', 'bad']),
        is_answer_lost=st.booleans(),
    )
    def submit(self, text, is_answer_lost):
        """An operator submits; ``bad`` is a text that is not valid."""
        store = self.fleet.store
        if store.is_down:
            return
        store.loses_answer = is_answer_lost
        stored_value = store.history[-1] if store.history else None
        self._swap(stored_value, self._make_next(stored_value, text))

    @rule()
    def submit_after_restore(self):
        """An operator submits after a restore, without asking the fleet.

        The new version is one that nodes may hold with other content.
        """
        store = self.fleet.store
        if store.is_down or len(store.history) < 2:
            return
        store.history.pop()
        stored_value = store.history[-1]
        stored = decode_configuration(stored_value.content).version
        self.submissions += 1
        text = f'rival {self.submissions}'
        conflicting = Configuration(stored + 1, f's{self.submissions}', text)
        self._swap(stored_value, conflicting)

    @rule()
    def restore_backup(self):
        """The store is restored to its state before the last write."""
        if self.fleet.store.history:
            self.fleet.store.history.pop()

    @rule(is_submitted=st.booleans())
    def restore_settled(self, is_submitted):
        """The store is restored while all nodes have its newest version.

        After that, an operator may submit without asking the fleet.
        """
        self.fleet.heal()
        self.submit('good', is_answer_lost=False)
        self.settle()
        self.check_versions()
        if is_submitted:
            self.submit_after_restore()
        else:
            self.restore_backup()
        self.settle()

    @rule(is_down=st.booleans(), lag=st.integers(0, 2))
    def change_store(self, is_down, lag):
        """The store goes down or comes back, and its reads may lag."""
        self.fleet.store.is_down = is_down
        self.fleet.store.lag = lag

    @rule(names=st.frozensets(_NAMES), is_from_store=st.booleans())
    def cut_connections(self, names, is_from_store):
        """Some nodes are cut off from the others, or from the store."""
        if is_from_store:
            self.fleet.without_store = names
        else:
            self.fleet.partition = names

    @rule(delays_casts=st.booleans(), loses_reply=st.booleans())
    def disturb_messages(self, delays_casts, loses_reply):
        """Messages without a reply are delayed, or a reply gets lost."""
        self.fleet.delays_casts = delays_casts
        self.fleet.loses_reply = loses_reply

    @rule(name=_NAMES)
    def restart(self, name):
        """A node restarts and loses all its state."""
        self.fleet.start(name)
        self.last_seen.pop(name, None)

    @rule(names=st.frozensets(_NAMES, max_size=3), rounds=st.integers(1, 20))
    def pause(self, names, rounds):
        """Nodes are paused; after a long pause they are stale."""
        self.fleet.paused = set(names)
        self.fleet.run(rounds)
        self.fleet.paused = set()
        if rounds * ROUND_SECONDS > MIN_PAUSE_SECONDS:
            assert all(self.fleet.nodes[name].is_stale for name in names)

    @rule(rounds=st.integers(1, 8))
    def run(self, rounds):
        """The fleet runs for some rounds."""
        self.fleet.run(rounds)

    @rule()
    def settle(self):
        """All faults end: within 4 s all nodes have the newest version left.

        That is the highest one in force on a node or valid in the store.
        """
        fleet = self.fleet
        fleet.heal()
        newest = self._find_newest_version()
        fleet.run(_CONVERGENCE_ROUNDS)
        versions = {node.version for node in fleet.nodes.values()}
        assert versions == {newest}
        assert not any(node.is_stale for node in fleet.nodes.values())

    @invariant()
    def check_versions(self):
        """No node went back, changed a version or holds one not accepted."""
        for name, node in self.fleet.nodes.items():
            current = node.keeper.current
            if current is None:
                continue
            before = self.last_seen.get(name, current)
            assert current.version >= before.version
            assert current == before or current.version > before.version
            assert current in self.accepted
            self.last_seen[name] = current

    def _swap(self, stored_value, configuration):
        """Compare-and-swap like an operator's tool.

        If the answer got lost, the submission id shows that the write took
        effect.
        """
        packed = encode_configuration(configuration)
        revision = stored_value.revision if stored_value else 0
        store = self.fleet.store
        try:
            store.swap(CONFIGURATION_KEY, packed, revision)
        except StoreOutcomeUnknownError:
            found = decode_configuration(store.history[-1].content)
            assert found.submission == configuration.submission
        if configuration.text != 'bad':
            self.accepted.append(configuration)

    def _make_next(self, stored_value, text='good'):
        """Return a configuration above all versions known to an operator."""
        self.submissions += 1
        stored = (
            decode_configuration(stored_value.content).version
            if stored_value
            else 0
        )
        node_versions = [node.version for node in self.fleet.nodes.values()]
        version = max(stored, *node_versions) + 1
        return Configuration(version, f's{self.submissions}', text)

    def _find_newest_version(self):
        versions = [node.version for node in self.fleet.nodes.values()]
        for value in self.fleet.store.history[-1:]:
            stored = decode_configuration(value.content)
            versions.append(0 if stored.text == 'bad' else stored.version)
        return max(versions)


def _run_machine(number, run_settings):
    """Run the fuzz with examples that depend on no name or source text."""
    machine = seed(number)(type('SeededMachine', (FleetMachine,), {}))
    run_state_machine_as_test(machine, settings=run_settings)


@pytest.mark.parametrize('number', range(3))
def test_versions_only_grow_and_converge(number):
    """The unmodified code passes the fuzz."""
    _run_machine(number, _SETTINGS)


def _accept_any(_keeper, _configuration):
    return True


def _accept_same_version(keeper, configuration):
    return configuration.version >= keeper.version


def _accept_unparsed(keeper, _configuration):
    return keeper.statement or 'unread'


def _detect_no_gap(_freshness):
    return False


def _watch_higher_revision(store, key, revision, _timeout, _tag):
    found = store.read(key)
    return found if found and found.revision > revision else None


@pytest.mark.parametrize(
    ('owner', 'guard', 'mutant'),
    [
        (ConfigurationKeeper, '_is_newer', _accept_any),
        (ConfigurationKeeper, '_is_newer', _accept_same_version),
        (ConfigurationKeeper, '_parse', _accept_unparsed),
        (PauseDetector, '_has_gap', _detect_no_gap),
        (FakeStore, 'watch', _watch_higher_revision),
    ],
)
def test_fuzz_fails_without_guard(owner, guard, mutant):
    """Without any one of these guards the fuzz fails, so it detects faults."""
    with (
        patch.object(owner, guard, mutant),
        pytest.raises((AssertionError, AttributeError)),
    ):
        _run_machine(0, _MUTANT_SETTINGS)
