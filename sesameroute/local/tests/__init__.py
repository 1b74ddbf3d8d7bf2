"""Tests of sesameroute.local."""
