"""Picture of a local run; needs matplotlib, an optional extra."""

from importlib import import_module
from typing import Any

from sesameroute.exceptions import InputError
from sesameroute.local._sampler import Sample
from sesameroute.local._session import Result

__all__ = ['draw_result', 'import_figure']

_SIZE = (10, 11)  # inches
_RATE_STEPS = 10  # samples over which a rate is taken
_FAULT_COLOUR = 'tab:red'
_FAULT_ALPHA = 0.15

Series = dict[str, list[float]]


def import_figure() -> Any:
    """Return matplotlib's class of figures.

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


def draw_result(result: Result, path: str) -> None:
    """Draw load, queues, headroom and links over time, faults marked.

    Parameters
    ----------
    result : Result
        What to draw.
    path : str
        File to write, such as ``run.png``.

    """
    figure = import_figure()(figsize=_SIZE, layout='constrained')
    panels = list_panels(result.sampler.samples)
    axes = figure.subplots(len(panels), 1, sharex=True)
    for axis, title in zip(axes, panels, strict=True):
        axis.set_ylabel(title)
        _draw_panel(axis, panels[title], result)
    axes[-1].set_xlabel('seconds')
    deployment = result.scene.deployment
    figure.suptitle(
        f'{deployment.statement.institution},'
        f' {deployment.options.rate:g} requests/s,'
        f' seed {deployment.options.seed}',
    )
    figure.savefig(path)


def _draw_panel(axis: Any, series: Series, result: Result) -> None:
    seconds = [sample.second for sample in result.sampler.samples]
    for label, values in series.items():
        axis.plot(seconds, values, label=label)
    axis.legend(loc='upper left')
    _mark_faults(axis, result)


def list_panels(samples: list[Sample]) -> dict[str, Series]:
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
        'part of slots': {
            'least headroom': [each.headroom for each in samples],
            'fullest region': [each.region for each in samples],
        },
        'part of cap': {'fullest link': [each.link for each in samples]},
    }


def measure_rate(samples: list[Sample], field: str) -> list[float]:
    """Return the growth of a count per second at each sample."""
    rates = []
    for place, later in enumerate(samples):
        earlier = samples[max(place - _RATE_STEPS, 0)]
        seconds = later.second - earlier.second
        grown = getattr(later, field) - getattr(earlier, field)
        rates.append(grown / seconds if seconds else 0)
    return rates


def _mark_faults(axis: Any, result: Result) -> None:
    top = axis.get_ylim()[1]
    for span in result.spans:
        axis.axvspan(
            span.begins,
            span.ends,
            color=_FAULT_COLOUR,
            alpha=_FAULT_ALPHA,
        )
        axis.text(span.begins, top, span.fault.name, va='top', fontsize=8)
