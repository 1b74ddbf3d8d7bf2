"""Tests of sesameroute.routing."""
