"""The platform's names of headers, calls and keys."""

__all__ = [
    'AFFINITY_HEADER',
    'ATTEMPT_HEADER',
    'CONFIGURATION_KEY',
    'DEADLINE_HEADER',
    'EVACUATION_PREFIX',
    'EXPECT_HEADER',
    'LOAD_HEADER',
    'MEMBER_PREFIX',
    'NOT_RUN_HEADER',
    'READY_PATH',
    'REGISTRY_PREFIX',
    'RESOLVE_PATH',
    'SEAL_HEADER',
]

ATTEMPT_HEADER = 'Sesameroute-Attempt-Id'
DEADLINE_HEADER = 'Sesameroute-Deadline-Ms'
AFFINITY_HEADER = 'Sesameroute-Affinity-Key'
SEAL_HEADER = 'Sesameroute-Server-Seal'
EXPECT_HEADER = 'Sesameroute-Expect-Instance'
LOAD_HEADER = 'Sesameroute-Server-Load'
NOT_RUN_HEADER = 'Sesameroute-Not-Run'

READY_PATH = '/-/ready'
RESOLVE_PATH = '/-/resolve'

CONFIGURATION_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
REGISTRY_PREFIX = 'servers/'
MEMBER_PREFIX = 'sesameroute/members/'
