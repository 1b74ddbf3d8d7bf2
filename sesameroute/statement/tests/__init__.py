"""Tests of sesameroute.statement."""
