"""`sesame-entry`: receives callers' requests on one entry VM."""

from sesameroute.programs._entry_node import EntryNode
from sesameroute.programs._service import run_service

__all__ = ['run']

_USAGE = """Serves callers on one entry VM until SIGTERM.

Example:
  sesame-entry --config /etc/sesame/entry.ini
"""


def run() -> None:
    """Run the program."""
    run_service(EntryNode, _USAGE)


if __name__ == '__main__':
    run()
