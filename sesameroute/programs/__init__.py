"""Command line programs and the entry and look-up processes they run.

Submodules are imported on first use, so that a program only loads the ones
that it needs.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_entry_node': ['EntryNode'],
        '_lookup_node': ['LookupNode'],
        '_host_environment': ['HostEnvironment'],
    },
)
