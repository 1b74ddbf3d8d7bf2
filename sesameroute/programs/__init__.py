"""The command line programs and the nodes that they run.

Submodules load on first use, so that a program only pays for the parts
that it uses.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_entry_node': ['EntryNode'],
        '_lookup_node': ['LookupNode'],
        '_surroundings': ['Outside'],
    },
)
