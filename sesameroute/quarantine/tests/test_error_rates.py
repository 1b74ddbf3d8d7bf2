"""Rates of both errors of the quarantine, on a model of a fleet."""

import pytest

from sesameroute.quarantine.tests.fleet_model import FleetModel

_SEEDS = range(3)
_SECONDS = 20
_HARMLESS_PATHS = 60
_REQUEST_RATE = 350.0
# Bound as stated, for a request under which three servers have ended.
_MAX_LATE_RETRIES = 3


def build_rates():
    """Return requests a second of harmless paths, some asked for more often."""
    shares = [(number + 1) ** -0.7 for number in range(_HARMLESS_PATHS)]
    return {
        f'/{number}': _REQUEST_RATE * share / sum(shares)
        for number, share in enumerate(shares)
    }


def harm_nobody(_now, _path, _place):
    """Return the probability that a harmless request ends its server."""
    return 0


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize(
    ('count', 'rate', 'since'),
    [(1, 3, 0), (1, 3, 5), (1, 0.5, 5), (1, 20, 5), (4, 3, 0), (4, 3, 5)],
)
def test_harmful_requests_are_stopped_beside_others(seed, count, rate, since):
    """Harmful from the start or after good answers, one or several at once."""
    check_harmful_paths_are_stopped(seed, count, rate, since)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('rate', [3, 20])
def test_request_that_ends_servers_silently_is_stopped(seed, rate):
    """Losses found after a time-out counted as copies of one another."""
    check_harmful_paths_are_stopped(seed, 1, rate, 5, is_silent=True)


@pytest.mark.parametrize('seed', _SEEDS)
def test_several_requests_that_end_servers_silently_are_stopped(seed):
    """The blame for crashes moved between them."""
    check_harmful_paths_are_stopped(seed, 4, 3, 5, is_silent=True)


def check_harmful_paths_are_stopped(
    seed, count, rate, since, *, is_silent=False
):
    """Play paths that are harmful from some moment on, and check them."""
    harmful = [f'/harmful-{number}' for number in range(count)]

    def compute_harm(now, path, _place):
        return float(path in harmful and now >= since)

    rates = {**build_rates(), **dict.fromkeys(harmful, rate)}
    model = FleetModel(seed, rates, compute_harm)
    model.is_silent = is_silent
    model.play(_SECONDS)
    late = [model.count_late_retries(path) for path in harmful]
    assert min(len(model.crashes[path]) for path in harmful)
    assert max(late) <= _MAX_LATE_RETRIES
    assert not model.held.keys() - set(harmful)


def restart_in_turn(model):
    """End a server every half second."""
    for step in range(28):
        server = model.servers[step % len(model.servers)]
        model.schedule(2 + step / 2, model.end, server)


def lose_region(model):
    """End two thirds of the servers at the same moment, three times."""
    for second in (3, 6, 9):
        model.schedule(second, model.end, *model.servers[:9])


def lose_all(model):
    """End all servers at the same moment, five times."""
    for second in (3, 5, 7, 9, 11):
        model.schedule(second, model.end, *model.servers)


def fail_under_load(model):
    """Let one request in a hundred end its server, for ten seconds."""
    model.compute_harm = lambda now, _path, _place: 0.01 * (5 < now < 15)


def keep_a_server_that_always_ends(model):
    """Let the server in one place end under whatever it gets."""
    model.compute_harm = lambda now, _path, place: float(place == 3 and now > 5)


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize(
    'disturb',
    [
        restart_in_turn,
        lose_region,
        lose_all,
        fail_under_load,
        keep_a_server_that_always_ends,
    ],
)
def test_requests_beside_lost_servers_are_not_held(seed, disturb):
    """Servers that end for reasons that are no request's."""
    model = FleetModel(seed, build_rates(), harm_nobody)
    disturb(model)
    model.play(_SECONDS)
    assert model.answered
    assert not model.held
