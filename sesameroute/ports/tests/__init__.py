"""Tests of sesameroute.ports."""
