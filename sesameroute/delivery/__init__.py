"""A request from admission to its verdict."""
