"""Tests of sesameroute.caller."""
