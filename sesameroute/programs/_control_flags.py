"""Command line flags of `sesamectl`."""

from absl import flags

__all__ = ['define_flags']

_STORE_TIMEOUT_SECONDS = 30
_PAGE_TIMEOUT_SECONDS = 2
_SHIFT_RAMP_SECONDS = 60
_SHIFT_FRACTION = 0.5
_SHIFT_CAP_PER_SECOND = 10


def define_flags() -> flags.FlagValues:
    """Return new flags, so that one process can run several commands."""
    options = flags.FlagValues()
    _define_general(options)
    _define_shift(options)
    return options


def _define_general(options: flags.FlagValues) -> None:
    flags.DEFINE_boolean(
        'help',
        default=False,
        help='Show this text.',
        short_name='h',
        flag_values=options,
    )
    flags.DEFINE_string(
        'config',
        default='sesamectl.ini',
        help='Settings file (INI) with [store] and [operator].',
        flag_values=options,
    )
    flags.DEFINE_string(
        'base',
        default='',
        help='submit: version that the file is based on, or "newest".',
        flag_values=options,
    )
    flags.DEFINE_boolean(
        'dry_run',
        default=False,
        help='drain, undrain, shift, unshift: only show the change.',
        flag_values=options,
    )
    _define_seconds(
        options,
        'timeout',
        _STORE_TIMEOUT_SECONDS,
        'Seconds to retry the store or to wait for a version.',
    )
    _define_seconds(
        options,
        'page_timeout',
        _PAGE_TIMEOUT_SECONDS,
        'Seconds to wait for a page of one entry VM.',
    )


def _define_shift(options: flags.FlagValues) -> None:
    for name in ('service', 'source', 'target'):
        flags.DEFINE_string(
            name,
            default='',
            help=f'shift: the {name}; source and target are regions.',
            flag_values=options,
        )
    flags.DEFINE_float(
        'fraction',
        default=_SHIFT_FRACTION,
        help="shift: fraction of the source's requests moved after the ramp.",
        flag_values=options,
    )
    flags.DEFINE_float(
        'cap',
        default=_SHIFT_CAP_PER_SECOND,
        help='shift: largest number of requests moved per second.',
        flag_values=options,
    )
    _define_seconds(
        options,
        'seconds',
        _SHIFT_RAMP_SECONDS,
        'shift: length of the ramp in seconds.',
    )


def _define_seconds(
    options: flags.FlagValues,
    name: str,
    default_seconds: float,
    help_text: str,
) -> None:
    flags.DEFINE_float(
        name,
        default=default_seconds,
        help=help_text,
        lower_bound=0,
        flag_values=options,
    )
