"""Stateful fuzz: no node goes down in version or holds one not accepted."""

from unittest.mock import patch

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sesameroute.exceptions import StoreUnknownError
from sesameroute.membership import (
    CONFIGURATION_KEY,
    Configuration,
    ConfigurationKeeper,
    Freshness,
    decode_configuration,
    encode_configuration,
)
from sesameroute.membership._freshness import PAUSE_SECONDS
from sesameroute.membership.tests.world import ROUND_SECONDS, VMS, World

_NAMES = st.sampled_from(sorted(VMS))
_SETTLE_ROUNDS = 16  # 4 s
_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    database=None,
)


_MUTANT_SETTINGS = settings(_SETTINGS, phases=(Phase.generate,))


class FleetMachine(RuleBasedStateMachine):
    """Operators, the store, cuts, pauses and restarts against an oracle."""

    def __init__(self):
        """Start a world with an empty list of accepted configurations."""
        super().__init__()
        self.world = World()
        self.accepted = []
        self.held = {}
        self.submissions = 0

    @rule(text=st.sampled_from(['good', 'good', 'bad']), loses=st.booleans())
    def submit(self, text, loses):
        """An operator submits; a bad text comes past the checks."""
        store = self.world.store
        if store.is_down:
            return
        store.loses_answer = loses
        seen = store.history[-1] if store.history else None
        self._swap(seen, self._make(seen, text))

    @rule()
    def submit_after_backup(self):
        """An operator who can't see the fleet submits after a restore."""
        store = self.world.store
        if store.is_down or len(store.history) < 2:
            return
        store.history.pop()
        seen = store.history[-1]
        stored = decode_configuration(seen.content).version
        self.submissions += 1
        text = f'rival {self.submissions}'
        rival = Configuration(stored + 1, f's{self.submissions}', text)
        self._swap(seen, rival)

    @rule()
    def restore_backup(self):
        """The store comes back as it was before the last write."""
        if self.world.store.history:
            self.world.store.history.pop()

    @rule(is_down=st.booleans(), lag=st.integers(0, 2))
    def change_store(self, is_down, lag):
        """The store goes down or comes back; its reads lag."""
        self.world.store.is_down = is_down
        self.world.store.lag = lag

    @rule(names=st.frozensets(_NAMES), is_from_store=st.booleans())
    def cut(self, names, is_from_store):
        """A partition between nodes, or between nodes and the store."""
        if is_from_store:
            self.world.cut_from_store = names
        else:
            self.world.cut = names

    @rule(is_late=st.booleans(), loses_reply=st.booleans())
    def disturb(self, is_late, loses_reply):
        """Casts come late, a reply gets lost."""
        self.world.is_late = is_late
        self.world.loses_reply = loses_reply

    @rule(name=_NAMES)
    def restart(self, name):
        """A node loses all it knew."""
        self.world.start(name)
        self.held.pop(name, None)

    @rule(names=st.frozensets(_NAMES, max_size=3), rounds=st.integers(1, 20))
    def pause(self, names, rounds):
        """Nodes are paused and wake up stale."""
        self.world.paused = set(names)
        self.world.run(rounds)
        self.world.paused = set()
        if rounds * ROUND_SECONDS > PAUSE_SECONDS:
            assert all(self.world.nodes[name].is_stale for name in names)

    @rule(rounds=st.integers(1, 8))
    def run(self, rounds):
        """Time passes."""
        self.world.run(rounds)

    @rule()
    def settle(self):
        """All heals: within 4 s every node has the newest that is left."""
        world = self.world
        world.heal()
        newest = self._find_newest()
        world.run(_SETTLE_ROUNDS)
        versions = {node.version for node in world.nodes.values()}
        assert versions == {newest}
        assert not any(node.is_stale for node in world.nodes.values())

    @invariant()
    def check_held(self):
        """No version goes down, changes its content or was not accepted."""
        for name, node in self.world.nodes.items():
            current = node.keeper.current
            if current is None:
                continue
            before = self.held.get(name, current)
            assert current.version >= before.version
            assert current == before or current.version > before.version
            assert current in self.accepted
            self.held[name] = current

    def _swap(self, seen, configuration):
        """Compare-and-swap as an operator does, settling a lost answer."""
        packed = encode_configuration(configuration)
        revision = seen.revision if seen else 0
        store = self.world.store
        try:
            store.swap(CONFIGURATION_KEY, packed, revision)
        except StoreUnknownError:
            found = decode_configuration(store.history[-1].content)
            assert found.submission == configuration.submission
        if configuration.text != 'bad':
            self.accepted.append(configuration)

    def _make(self, seen, text='good'):
        """Return the next configuration after what an operator has seen."""
        self.submissions += 1
        stored = decode_configuration(seen.content).version if seen else 0
        known = [node.version for node in self.world.nodes.values()]
        version = max(stored, *known) + 1
        return Configuration(version, f's{self.submissions}', text)

    def _find_newest(self):
        versions = [node.version for node in self.world.nodes.values()]
        for value in self.world.store.history[-1:]:
            stored = decode_configuration(value.content)
            versions.append(0 if stored.text == 'bad' else stored.version)
        return max(versions)


def test_fleet_machine():
    """The real code keeps to the oracle."""
    run_state_machine_as_test(FleetMachine, settings=_SETTINGS)


def _follow_any(_keeper, _configuration):
    return True


def _follow_rival(keeper, configuration):
    return configuration.version >= keeper.version


def _follow_unread(keeper, _configuration):
    return keeper.statement or 'unread'


def _find_no_gap(_freshness):
    return False


@pytest.mark.parametrize(
    ('owner', 'guard', 'mutant'),
    [
        (ConfigurationKeeper, '_is_newer', _follow_any),
        (ConfigurationKeeper, '_is_newer', _follow_rival),
        (ConfigurationKeeper, '_parse', _follow_unread),
        (Freshness, '_has_gap', _find_no_gap),
    ],
)
def test_guard_needed(owner, guard, mutant):
    """Without any one of these guards the fuzz fails."""
    with (
        patch.object(owner, guard, mutant),
        pytest.raises((AssertionError, AttributeError)),
    ):
        run_state_machine_as_test(FleetMachine, settings=_MUTANT_SETTINGS)
