"""Interfaces between the decisions and the outside.

Submodules load on first use, so that a program only pays for the parts
that it uses.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_clock': ['Clock', 'SystemClock'],
        '_message': ['decode_message', 'encode_message', 'register_message'],
        '_peer': [
            'DeferredReply',
            'MessageHandler',
            'PeerIdentity',
            'PeerRole',
            'Peers',
        ],
        '_steering': [
            'STOP_SECONDS',
            'Choice',
            'Outcome',
            'OutcomeCode',
            'Steering',
        ],
        '_store': ['Store', 'StoredValue'],
        '_answer': ['Answer', 'Headers'],
        '_upstream': ['Request', 'Upstreams'],
        '_vmlist': ['ListedVm', 'VmList'],
        '_wire': ['TcpWire', 'Wire'],
    },
)
