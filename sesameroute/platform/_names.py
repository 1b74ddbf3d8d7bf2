"""Names of HTTP headers, paths and store keys defined by the platform."""

__all__ = [
    'AFFINITY_HEADER',
    'API_KEY_HEADER',
    'ATTEMPT_HEADER',
    'CONFIGURATION_KEY',
    'DEADLINE_HEADER',
    'EVACUATION_PREFIX',
    'EXPECTED_INSTANCE_HEADER',
    'LEAVING_HEADER',
    'LIMIT_HEADER',
    'LOAD_HEADER',
    'MEMBER_PREFIX',
    'ERA_HEADER',
    'NOT_RUN_HEADER',
    'PAUSE_HEADER',
    'OPERATOR_PREFIX',
    'READY_PATH',
    'REGISTRY_PREFIX',
    'RESOLVE_PATH',
    'SEAL_HEADER',
    'TENANT_HEADER',
]

# Identifier of the attempt; a backend server returns it with its answer.
ATTEMPT_HEADER = 'Sesameroute-Attempt-Id'
# Time left in milliseconds.
DEADLINE_HEADER = 'Sesameroute-Deadline-Ms'
# Identifies the object that the request concerns.
AFFINITY_HEADER = 'Sesameroute-Affinity-Key'
# Present if the answer comes from the backend server itself.
SEAL_HEADER = 'Sesameroute-Server-Seal'
# Name of the backend server that is to run the request.
EXPECTED_INSTANCE_HEADER = 'Sesameroute-Expect-Instance'
# Requests running, requests waiting and slots of the backend server.
LOAD_HEADER = 'Sesameroute-Server-Load'
# Requests per second that the backend server takes from all nodes together.
LIMIT_HEADER = 'Server-Limit'
# `1` if the backend server takes no new requests until its end.
LEAVING_HEADER = 'Server-Leaving'
# With a 503, seconds for which a backend server wants no requests.
PAUSE_HEADER = 'Retry-After'
# Guarantees that the backend server has not run the request.
NOT_RUN_HEADER = 'Sesameroute-Not-Run'
# Number in the store's answers that rises when it is restored from a copy.
ERA_HEADER = 'Store-Era'

# Secret by which a caller's tenant is known; no backend server sees it.
API_KEY_HEADER = 'X-Api-Key'
# Name of the tenant whose request a backend server gets.
TENANT_HEADER = 'Sesameroute-Tenant'

# Paths that a node serves.
READY_PATH = '/-/ready'
RESOLVE_PATH = '/-/resolve'

# Keys in the store.
OPERATOR_PREFIX = 'op/'
CONFIGURATION_KEY = f'{OPERATOR_PREFIX}config'
EVACUATION_PREFIX = f'{OPERATOR_PREFIX}evacuate/'
REGISTRY_PREFIX = 'servers/'
MEMBER_PREFIX = 'sesameroute/members/'
