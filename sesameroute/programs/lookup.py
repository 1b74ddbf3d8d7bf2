"""`sesame-lookup`: tells callers which entry VM to use."""

from sesameroute.programs._lookup_node import LookupNode
from sesameroute.programs._service import run_service

__all__ = ['run']

_USAGE = """Answers look-ups on one entry VM until SIGTERM.

Example:
  sesame-lookup --config /etc/sesame/entry.ini
"""


def run() -> None:
    """Run the program."""
    run_service(LookupNode, _USAGE)


if __name__ == '__main__':
    run()
