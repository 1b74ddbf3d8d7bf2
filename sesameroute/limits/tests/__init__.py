"""Tests of sesameroute.limits."""
