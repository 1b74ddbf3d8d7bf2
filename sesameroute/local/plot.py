"""Plots a local run; needs matplotlib, an optional extra."""

from importlib import import_module
from typing import Any

from sesameroute.exceptions import InputError
from sesameroute.local._sampler import Sample
from sesameroute.local._session import RunResult

__all__ = ['plot_result', 'import_figure_class']

_FIGURE_INCHES = (10, 11)
_RATE_WINDOW_SAMPLES = 10
_FAULT_COLOUR = 'tab:red'
_FAULT_ALPHA = 0.15

Curves = dict[str, list[float]]


def import_figure_class() -> Any:
    """Return the `Figure` class of matplotlib.

    Raises
    ------
    InputError
        matplotlib is not installed.

    """
    try:
        return import_module('matplotlib.figure').Figure
    except ImportError as error:
        raise InputError(
            '--plot needs matplotlib: pip install "sesameroute[plot]"',
        ) from error


def plot_result(result: RunResult, path: str) -> None:
    """Plot load, queues, headroom and link use over time, with the faults.

    Parameters
    ----------
    result : RunResult
        Result to plot.
    path : str
        File to write, such as ``run.png``.

    Raises
    ------
    InputError
        matplotlib is not installed.

    """
    figure = import_figure_class()(figsize=_FIGURE_INCHES, layout='constrained')
    panels = list_panels(result.sampler.samples)
    axes = figure.subplots(len(panels), 1, sharex=True)
    for axis, title in zip(axes, panels, strict=True):
        axis.set_ylabel(title)
        _draw_panel(axis, panels[title], result)
    axes[-1].set_xlabel('seconds')
    deployment = result.context.deployment
    figure.suptitle(
        f'{deployment.statement.institution},'
        f' {deployment.options.rate:g} requests/s,'
        f' seed {deployment.options.seed}',
    )
    figure.savefig(path)


def _draw_panel(axis: Any, curves: Curves, result: RunResult) -> None:
    seconds = [sample.second for sample in result.sampler.samples]
    for label, values in curves.items():
        axis.plot(seconds, values, label=label)
    axis.legend(loc='upper left')
    _mark_faults(axis, result)


def list_panels(samples: list[Sample]) -> dict[str, Curves]:
    """Return the curves of each panel by title and label."""
    return {
        'requests/s': {
            'answered': measure_rate(samples, 'answered'),
            'refused': measure_rate(samples, 'refused'),
            'shed by servers': measure_rate(samples, 'shed'),
        },
        'waiting': {
            'at backend servers': [float(each.queued) for each in samples],
        },
        'fraction of slots': {
            'lowest headroom': [each.headroom for each in samples],
            'most loaded region': [each.region_load for each in samples],
        },
        'fraction of link limit': {
            'most used link': [each.link_load for each in samples],
        },
    }


def measure_rate(samples: list[Sample], field_name: str) -> list[float]:
    """Return the rate of a counter per second at each sample.

    The rate is taken over the last `_RATE_WINDOW_SAMPLES` samples.
    """
    rates = []
    for index, later in enumerate(samples):
        earlier = samples[max(index - _RATE_WINDOW_SAMPLES, 0)]
        seconds = later.second - earlier.second
        growth = getattr(later, field_name) - getattr(earlier, field_name)
        rates.append(growth / seconds if seconds else 0)
    return rates


def _mark_faults(axis: Any, result: RunResult) -> None:
    top = axis.get_ylim()[1]
    for interval in result.intervals:
        axis.axvspan(
            interval.begins,
            interval.ends,
            color=_FAULT_COLOUR,
            alpha=_FAULT_ALPHA,
        )
        axis.text(
            interval.begins,
            top,
            interval.fault.name,
            va='top',
            fontsize=8,
        )
