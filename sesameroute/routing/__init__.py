"""Look-up and choice of region and backend server."""
