"""Tests of sesameroute.fakes."""
