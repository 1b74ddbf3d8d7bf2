"""The command line programs and the nodes that they run."""

from sesameroute.programs._entry_node import EntryNode
from sesameroute.programs._lookup_node import LookupNode
from sesameroute.programs._surroundings import Outside

__all__ = ['EntryNode', 'LookupNode', 'Outside']
