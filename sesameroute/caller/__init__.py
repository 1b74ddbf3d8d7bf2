"""Library for the institutions' callers."""
