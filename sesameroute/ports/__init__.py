"""Interfaces between the routing logic and its surroundings.

Surroundings are the clock, the network, the platform's store and VM list, the
backend servers and peers. Submodules load on first use, so that a program
spends time and memory only on those that it uses.
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
            'BACKEND_STOP_SECONDS',
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
