"""Addresses of the tests of this package."""

import os

# Test runs at the same time on one machine use different addresses.
NETWORK = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
