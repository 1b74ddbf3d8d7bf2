"""Tests of the plotted curves and of a missing matplotlib."""

from importlib.util import find_spec

import pytest

from sesameroute.exceptions import InputError
from sesameroute.local._sampler import Sample
from sesameroute.local.plot import (
    import_figure_class,
    list_panels,
    measure_rate,
)


def _sample(second, answered):
    return Sample(second, answered, 0, 0, 0, 1, 0, 0)


def test_rate_is_growth_over_one_second():
    samples = [_sample(step / 10, step * 5) for step in range(30)]
    rates = measure_rate(samples, 'answered')
    assert rates[0] == 0
    assert {round(rate) for rate in rates[1:]} == {50}


def test_every_curve_has_one_point_per_sample():
    samples = [_sample(0, 0), _sample(0.1, 1)]
    lengths = {
        len(values)
        for curves in list_panels(samples).values()
        for values in curves.values()
    }
    assert lengths == {2}


@pytest.mark.skipif(
    find_spec('matplotlib') is not None,
    reason='the optional matplotlib is installed',
)
def test_missing_matplotlib_is_reported_with_install_command():
    with pytest.raises(InputError, match=r'sesameroute\[plot\]'):
        import_figure_class()
