"""`sesamectl`: command line program for operators."""

import inspect
import sys
from collections.abc import Callable
from types import MappingProxyType

from absl import flags

from sesameroute.exceptions import ExitCode, SesameError
from sesameroute.programs import (
    _control_change,
    _control_query,
    _control_statement,
)
from sesameroute.programs._control_context import Context
from sesameroute.programs._control_flags import define_flags

__all__ = ['main', 'run']

_USAGE = """sesamectl COMMAND [ARGUMENT] --config FILE

Examples:
  python examples/kalina.py | sesamectl check -
  sesamectl submit examples/kalina.ini --config sesamectl.ini
  sesamectl show --config sesamectl.ini > kalina.ini
  sesamectl submit kalina.ini --config sesamectl.ini
  sesamectl wait 2 --config sesamectl.ini
  sesamectl drain sofia-a-1 --config sesamectl.ini
  sesamectl undrain sofia-a-1 --config sesamectl.ini
  sesamectl shift night --service order-desk --source sofia --target varna
  sesamectl unshift night --config sesamectl.ini
  sesamectl status --config sesamectl.ini
  sesamectl explain order-desk --config sesamectl.ini

Exit codes: 0 success, 1 internal error, 2 bad input, 3 conflict,
4 store or VMs not reached, 5 refused.
"""

_COMMANDS = MappingProxyType(
    {
        'check': _control_statement.check,
        'print': _control_statement.print_canonical,
        'submit': _control_statement.submit,
        'show': _control_statement.show,
        'wait': _control_query.wait,
        'drain': _control_change.drain,
        'undrain': _control_change.undrain,
        'shift': _control_change.shift,
        'unshift': _control_change.unshift,
        'status': _control_query.status,
        'explain': _control_query.explain,
    }
)


def run() -> None:
    """Run the program."""
    try:
        code = main(sys.argv)
    except KeyboardInterrupt:
        print(
            'interrupted: check with `sesamectl show` what took effect',
            file=sys.stderr,
        )
        code = ExitCode.UNREACHABLE
    sys.exit(int(code))


def main(argv: list[str]) -> ExitCode:
    """Run one command and return the exit code.

    Examples
    --------
    >>> main(['sesamectl', 'check', 'examples/no-such.ini'])
    <ExitCode.INPUT: 2>

    """
    options = define_flags()
    try:
        command_line = options(argv)[1:]
    except flags.Error as error:
        return _report_usage_error(f'bad-input: {error}')
    if options.help:
        print(_describe_usage(options))
        return ExitCode.OK
    if not command_line or command_line[0] not in _COMMANDS:
        return _report_usage_error(
            f'bad-input: allowed commands: {_list_commands()}'
        )
    try:
        return _run_command(Context(options), command_line)
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return error.exit_code


def _run_command(context: Context, command_line: list[str]) -> ExitCode:
    command: Callable[..., ExitCode] = _COMMANDS[command_line[0]]
    parameter_names = list(inspect.signature(command).parameters)[1:]
    if len(command_line) - 1 != len(parameter_names):
        expected = ' '.join(map(str.upper, parameter_names)) or 'no argument'
        return _report_usage_error(
            f'bad-input: {command_line[0]} takes {expected}'
        )
    return command(context, *command_line[1:])


def _report_usage_error(text: str) -> ExitCode:
    print(f'{text}\nsesamectl --help shows examples', file=sys.stderr)
    return ExitCode.INPUT


def _list_commands() -> str:
    return ', '.join(_COMMANDS)


def _describe_usage(options: flags.FlagValues) -> str:
    commands = '\n'.join(
        f'  {name:10}{inspect.getdoc(command)}'
        for name, command in _COMMANDS.items()
    )
    return f'{_USAGE}\nCommands:\n{commands}\n{options.get_help()}'


if __name__ == '__main__':
    run()
